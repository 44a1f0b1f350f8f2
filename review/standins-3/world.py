"""Stand-ins for the platform around `buckthorndeck packets`, on loopback.

One process holds the platform's store, the backend servers, the clients and
the routers; the entry hosts are the project's own program, one process each.
Nothing here decides for the entry hosts. Written from PROTOCOL.md and
DEPLOY.md; names of fields are those of these pages.
"""
import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import zlib

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEAD = struct.Struct(">HHIIIHIIB3sI")
SYN, BOUNCED, FIN, ACK, RST = 128, 64, 32, 8, 1
SUM_KEY = b"loopback"
ZONES = ["hella", "selfoss", "vik"]


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """One packet of a flow, see "Packets" in PROTOCOL.md."""

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, echo=0, data=b"", total=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data
        self.total = total

    def expected_sum(self):
        """The keyed sum over all fields except echo, pad and BOUNCED."""
        text = struct.pack(">HHIIHIIB", self.sport, self.dport, self.src, self.dst, len(self.data),
                           self.seq, self.ack, self.flags & ~BOUNCED) + self.data
        return zlib.crc32(SUM_KEY + text) & 0xFFFFFFFF

    def encode(self):
        total = self.expected_sum() if self.total is None else self.total
        return HEAD.pack(self.sport, self.dport, self.src, self.dst, self.echo, len(self.data), self.seq,
                         self.ack, self.flags, b"\0\0\0", total) + self.data

    @staticmethod
    def decode(text):
        if len(text) < HEAD.size:
            return None
        sport, dport, src, dst, echo, size, seq, ack, flags, _, total = HEAD.unpack(text[:HEAD.size])
        if size != len(text) - HEAD.size:
            return None
        return Packet(src, sport, dst, dport, flags, seq, ack, echo, text[HEAD.size:], total)

    def whole(self):
        return self.total == self.expected_sum()


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))
        self.file.flush()


class DatagramEnd(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.receive(data, address)


class Store:
    """The platform's store: reads, watches, and the keys of servers and operator."""

    def __init__(self, world, ip):
        self.world, self.ip = world, ip
        self.revision = 1
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.config = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def change(self, key, value):
        """One key as it is written now; each answer that has it repeats this text."""
        created = self.items[key][0] if key in self.items else self.revision
        text = json.dumps({"Key": key, "Value": base64.b64encode(value).decode(), "Revision": self.revision,
                           "Created": created, "Lease": 0}).encode()
        self.items[key] = (created, text)
        self.events.append((self.revision, key, text))

    async def tell(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        self.revision += 1
        self.change(key, json.dumps(value).encode())
        await self.tell()

    async def write(self, puts):
        """One kv-txn of another writer; takes at most 32 entries."""
        assert len(puts) <= 32
        self.revision += 1
        for key, value in puts.items():
            self.change(key, value)
        await self.tell()

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        text = json.dumps({"Key": key, "Revision": self.revision, "Removed": True}).encode()
        self.events.append((self.revision, key, text))
        await self.tell()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                size = 0
                for line in head.split("\r\n")[1:]:
                    if line.lower().startswith("content-length:"):
                        size = int(line.split(":")[1])
                if size:
                    await reader.readexactly(size)
                path, _, query = target.partition("?")
                fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
                await asyncio.sleep(0.004)
                status, text = await self.answer(method, path, fields)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def body(self, name, texts, more=b""):
        return b'{"%s": [%s]%s, "AsOf": %d}' % (name, b", ".join(texts), more, self.revision)

    async def answer(self, method, path, fields):
        prefix = fields.get("Prefix", "")
        if method == "GET" and path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > fields.get("after", ""))
            return 200, self.body(b"items", [self.items[key][1] for key in keys[:500]],
                                  b', "HasMore": true' if len(keys) > 500 else b', "HasMore": false')
        if method == "GET" and path == "/v1/kv-watch":
            after, deadline = int(fields["after"]), time.monotonic() + int(fields["WaitMs"]) / 1000
            while True:
                first = bisect.bisect_right(self.events, after, key=lambda event: event[0])
                news = [text for _, key, text in self.events[first:] if key.startswith(prefix)]
                left = deadline - time.monotonic()
                if news or left <= 0:
                    return 200, self.body(b"events", news)
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, b"{}"


class ServerFlow:
    def __init__(self, packet, seq):
        self.client_next = packet.seq + 1
        self.seq = seq
        self.next = seq + 1
        self.echo = packet.echo
        self.open = False
        self.answer = None      # The last answer, until it is acknowledged.
        self.running = False
        self.timer = None


class Server:
    """A backend server as in "Servers" and "Flows" of PROTOCOL.md."""

    def __init__(self, world, name, service, zone, ip):
        self.world, self.name, self.service, self.zone, self.ip = world, name, service, zone, ip
        self.number = int(name.rsplit("-", 1)[1], 16)
        self.slots, self.busy = 3, 0
        self.flows = {}
        self.runs = []
        self.resets = []        # (time, client port, route port) of resets that it sent
        self.born = int(time.time() * 1000)
        self.lose_syn_ack = None  # called with a packet; true: the network loses it
        self.work = 0.04
        self.waiting = []

    async def start(self):
        loop = asyncio.get_running_loop()
        for _ in range(50):
            self.http = await asyncio.start_server(self.health, self.ip, 0)
            self.port = self.http.sockets[0].getsockname()[1]
            try:
                self.transport, _ = await loop.create_datagram_endpoint(
                    lambda: DatagramEnd(self.receive), local_addr=(self.ip, self.port))
                break
            except OSError:
                self.http.close()
        self.alive = True
        self.heartbeat = 0
        await self.report()

    async def report(self, state="ready"):
        self.heartbeat += 1
        await self.world.store.put("servers/" + self.name, {
            "Service": self.service, "Address": "%s:%d" % (self.ip, self.port), "Zone": self.zone,
            "Version": "v1", "Slots": self.slots, "State": state, "WarmupLeftMs": 0,
            "Sequence": self.heartbeat, "born": self.born})

    async def health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.name).encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def send(self, packet):
        self.transport.sendto(packet.encode(), (ip_text(packet.dst), self.world.packet_port))

    def reply(self, packet, flags, seq, ack, echo, data=b""):
        return Packet(packet.dst, packet.dport, packet.src, packet.sport, flags, seq, ack, echo, data)

    def receive(self, text, sender):
        if len(text) < 8:
            return
        wanted = struct.unpack(">Q", text[:8])[0]
        if wanted not in (0, self.number):
            return              # It sends nothing if it is not the intended server.
        packet = Packet.decode(text[8:])
        if not packet:
            return
        if not packet.whole():
            self.world.record.write("UNASKED a changed packet reached %s" % self.name)
            self.world.broken.append("UNASKED")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if not flow:
                flow = self.flows[key] = ServerFlow(packet, self.world.random.getrandbits(32))
                self.world.syn_taken(self, packet, sender)
                self.syn_ack(packet, flow, 0)
            else:
                flow.echo = packet.echo
                if not flow.open:
                    self.send_syn_ack(packet, flow)
            return
        if not flow or (not flow.open and packet.ack != (flow.seq + 1) & 0xFFFFFFFF):
            # A packet of a flow that it does not hold.
            if not packet.flags & RST:
                self.resets.append((self.world.record.now(), packet.sport, packet.dport))
                self.world.record.write("server %s: reset for client port %d: it does not hold the flow"
                                        % (self.name, packet.sport))
                self.send(self.reply(packet, RST, packet.ack, packet.seq, packet.echo))
            return
        if packet.flags & RST:
            self.flows.pop(key)
            return
        if not flow.open:
            flow.open = True
            self.world.record.write("server %s: flow of client port %d is open" % (self.name, packet.sport))
            self.world.opened(key, self)
        flow.echo = packet.echo
        if flow.answer and packet.ack == (flow.next + len(flow.answer)) & 0xFFFFFFFF:
            flow.next, flow.answer = packet.ack, None
            if flow.timer:
                flow.timer.cancel()
        if not packet.data:
            return
        if packet.seq == flow.client_next:
            flow.client_next = (flow.client_next + len(packet.data)) & 0xFFFFFFFF
            flow.running = True
            self.waiting.append((packet, flow))
            self.run_next()
        elif flow.answer and not flow.running:
            self.send_answer(packet, flow)

    def syn_ack(self, packet, flow, sent):
        """Sends the SYN+ACK, again after 200 ms and doubled times up to 1.6 s, 8 times at most."""
        if flow.open or self.flows.get((packet.src, packet.sport, packet.dst, packet.dport)) is not flow:
            return
        if sent > 8:
            self.flows.pop((packet.src, packet.sport, packet.dst, packet.dport))
            return
        self.send_syn_ack(packet, flow)
        asyncio.get_running_loop().call_later(min(0.2 * 2 ** sent, 1.6), self.syn_ack, packet, flow, sent + 1)

    def send_syn_ack(self, packet, flow):
        answer = self.reply(packet, SYN | ACK, flow.seq, (packet.seq + 1) & 0xFFFFFFFF, flow.echo)
        if self.lose_syn_ack and self.lose_syn_ack(self, answer):
            self.world.record.write("network: the SYN+ACK of %s to client port %d is lost"
                                    % (self.name, packet.sport))
            return
        self.send(answer)

    def run_next(self):
        while self.waiting and self.busy < self.slots:
            packet, flow = self.waiting.pop(0)
            self.busy += 1
            request = packet.data.decode()
            self.runs.append(request)
            self.world.record.write("server %s: runs %s" % (self.name, request))
            asyncio.get_running_loop().call_later(self.work, self.finish, packet, flow, request)

    def finish(self, packet, flow, request):
        self.busy -= 1
        flow.running = False
        flow.answer = ("200 %s %s " % (request, self.name)).encode() + b"x" * 600
        self.send_answer(packet, flow)
        self.again(packet, flow, flow.answer, 0)
        self.run_next()

    def again(self, packet, flow, answer, sent):
        if flow.answer is not answer or sent >= 8:
            return
        if sent:
            self.send_answer(packet, flow)
        flow.timer = asyncio.get_running_loop().call_later(min(0.2 * 2 ** sent, 1.6), self.again, packet, flow,
                                                           answer, sent + 1)

    def send_answer(self, packet, flow):
        self.send(self.reply(packet, ACK, flow.next, flow.client_next, flow.echo, flow.answer))


class ClientFlow:
    def __init__(self, client, port, route):
        self.client, self.port, self.route = client, port, route
        self.seq = client.world.random.getrandbits(32)
        self.next = (self.seq + 1) & 0xFFFFFFFF
        self.echo = 0
        self.server_next = None  # Once a SYN+ACK was accepted.
        self.reset = None
        self.answer = None
        self.changed = asyncio.Event()

    def packet(self, flags, seq, ack, data=b""):
        return Packet(self.client.number, self.port, self.route[0], self.route[1], flags, seq, ack, self.echo, data)


class Client:
    """A client as in "Flows" of PROTOCOL.md."""

    def __init__(self, world, name, ip, first_port=20000):
        self.world, self.name, self.ip, self.number = world, name, ip, ip_number(ip)
        self.flows, self.next_port = {}, first_port

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramEnd(self.receive), local_addr=(self.ip, self.world.packet_port))

    def send(self, flow, packet):
        host = self.world.route_to(self.number, flow.port, flow.route)
        if host:
            self.transport.sendto(packet.encode(), (host.ip, self.world.packet_port))

    def receive(self, text, sender):
        packet = Packet.decode(text)
        flow = packet and self.flows.get(packet.dport)
        if not flow or (packet.src, packet.sport) != flow.route:
            return
        own_reset = packet.flags == RST and not packet.data and packet.total == 0
        if not packet.whole() and not own_reset:
            self.world.record.write("MIXED a changed packet reached %s" % self.name)
            self.world.broken.append("MIXED")
            return
        if packet.flags & RST:
            if flow.reset is None:
                flow.reset = "%s:%d" % sender
                self.world.record.write("client %s port %d: reset sent from %s" % (self.name, flow.port, flow.reset))
                self.world.client_reset(self, flow, sender, own_reset)
                flow.changed.set()
            return
        # "The client and the server each place in their own packets the last
        # `echo` that they received on a flow."
        if self.world.last_echo or not packet.flags & SYN:
            flow.echo = packet.echo
        if packet.flags & SYN:
            if flow.server_next is None and packet.ack == flow.next:
                flow.echo = packet.echo
                flow.server_next = (packet.seq + 1) & 0xFFFFFFFF
                flow.changed.set()
                self.send(flow, flow.packet(ACK, flow.next, flow.server_next))
            return
        if flow.server_next is None:
            return
        if packet.data and packet.seq == flow.server_next:
            flow.server_next = (flow.server_next + len(packet.data)) & 0xFFFFFFFF
            flow.answer = packet.data
            flow.changed.set()
        if packet.data:
            self.send(flow, flow.packet(ACK, flow.next, flow.server_next))

    async def wait(self, flow, seconds, done):
        deadline = time.monotonic() + seconds
        while not done() and flow.reset is None:
            flow.changed.clear()
            try:
                await asyncio.wait_for(flow.changed.wait(), max(0, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                return

    async def open(self, route):
        """Opens a flow; null if none opened within 1.4 s."""
        flow = ClientFlow(self, self.next_port, route)
        self.next_port += 1
        self.flows[flow.port] = flow
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(flow, flow.packet(SYN, flow.seq, copy))
            await self.wait(flow, wait, lambda: flow.server_next is not None)
            if flow.server_next is not None or flow.reset:
                break
        if flow.server_next is None:
            self.flows.pop(flow.port)
            return None
        return flow

    async def request(self, flow, request, budget):
        """Returns answered, reset or timed_out."""
        data, seq = request.encode(), flow.next
        flow.next = (flow.next + len(data)) & 0xFFFFFFFF
        flow.answer = None
        self.world.record.write("client %s port %d: sends %s" % (self.name, flow.port, request))
        deadline, wait = time.monotonic() + budget, 0.2
        while flow.answer is None and flow.reset is None and time.monotonic() < deadline:
            self.send(flow, flow.packet(ACK, seq, flow.server_next, data))
            await self.wait(flow, min(wait, deadline - time.monotonic()), lambda: flow.answer is not None)
            wait = min(2 * wait, 1.6)
        if flow.answer is not None:
            answered = flow.answer.decode()
            if not answered.startswith("200 " + request + " "):
                self.world.broken.append("MIXED")
                self.world.record.write("MIXED client %s got a foreign answer to %s" % (self.name, request))
            result = "answered"
        else:
            result = "reset" if flow.reset else "timed_out"
        self.world.record.write("client %s port %d: %s: %s" % (self.name, flow.port, request, result))
        return result


class Host:
    """An entry host: the project's own program with the deploy file's command."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process = None
        self.misses = 2

    def settings(self):
        world = self.world
        return {
            "name": self.name, "failure_domain": self.zone, "failure_domains": ZONES,
            "packet_listen": "%s:%d" % (self.ip, world.packet_port),
            "ready_listen": "%s:%d" % (self.ip, world.ready_port), "ready_path": "/v1/readiness",
            "metrics_listen": "%s:%d" % (self.ip, world.control_port), "host_ip": self.ip,
            "internal_ports": [world.internal_port, world.internal_port + 15],
            "seeds": ["%s:%d" % (host.ip, world.control_port) for host in world.hosts[:3]],
            "store": "%s:%d" % (world.store.ip, world.store.port),
            "detect_within_ms": 4000, "apply_within_ms": 3000, "drain_within_ms": 3000, "processor_share": 0.25,
            "regions": {zone: "sudurland" for zone in ZONES}, "flow_lifetime_s": 60}

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["BUCKTHORNDECK_CONFIG"] = path
        log = open(os.path.join(self.world.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(["target/buckthorndeck", "packets"], cwd=REPOSITORY, env=environment,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def stop(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def check(self):
        """The routers' readiness check, twice a second."""
        while True:
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.ip, self.world.ready_port), 0.4)
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 0.4)
                writer.close()
                ready = b" 200 " in line
            except (OSError, asyncio.TimeoutError):
                ready = False
            self.misses = 0 if ready else self.misses + 1
            await asyncio.sleep(0.5)

    def in_rotation(self):
        return self.misses < 2


def free_port_everywhere(ips, kind):
    """A port that is free on all of these addresses."""
    while True:
        sockets = []
        try:
            first = socket.socket(socket.AF_INET, kind)
            sockets.append(first)
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            if port > 60000:
                continue
            for ip in ips[1:]:
                other = socket.socket(socket.AF_INET, kind)
                sockets.append(other)
                other.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


class World:
    def __init__(self, record_path, seed=1, hosts=3, clients=6):
        self.record = Record(record_path)
        self.random = random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="buckthorndeck-review-")
        self.store = Store(self, "127.0.4.1")
        self.hosts = [Host(self, "front-%s-%d" % (ZONES[i % 3], i // 3 + 1), ZONES[i % 3], "127.0.1.%d" % (i + 1))
                      for i in range(hosts)]
        self.clients = [Client(self, "client-%d" % (i + 1), "127.0.3.%d" % (i + 1)) for i in range(clients)]
        self.servers = []
        self.broken = []        # Rules that were seen broken.
        self.owner = {}         # Server of each open flow.
        # Whether clients take the echo of a SYN+ACK that they don't accept too.
        self.last_echo = True
        self.tasks = []
        every = [each.ip for each in self.hosts + self.clients]
        ports = []
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM, socket.SOCK_STREAM, socket.SOCK_DGRAM):
            port = free_port_everywhere(every, kind)
            while port in ports:
                port = free_port_everywhere(every, kind)
            ports.append(port)
        self.packet_port, self.ready_port, self.control_port, self.internal_port = ports
        self.reset_rule = lambda client, flow, sender, own: None

    def route_to(self, client, port, route):
        """The routers' hash (`mod`) over the hosts in rotation."""
        ready = [host for host in self.hosts if host.in_rotation()] or self.hosts
        text = struct.pack(">IHIH", client, port, route[0], route[1])
        return ready[zlib.crc32(text) % len(ready)]

    def syn_taken(self, server, packet, sender):
        """A server has taken the opening packet of a flow."""

    def opened(self, key, server):
        self.owner[key] = server

    def client_reset(self, client, flow, sender, own):
        self.reset_rule(client, flow, sender, own)

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.append(task)
        return task

    async def start(self):
        await self.store.start()
        for client in self.clients:
            await client.start()

    async def start_hosts(self):
        for host in self.hosts:
            host.start()
            self.spawn(host.check())
        for _ in range(100):
            if all(host.in_rotation() for host in self.hosts):
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self, keep_logs=None):
        for host in self.hosts:
            host.end()
        for task in self.tasks:
            task.cancel()
        if keep_logs:
            for host in self.hosts:
                path = os.path.join(self.folder, host.name + ".log")
                if os.path.exists(path):
                    shutil.copy(path, keep_logs)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(ip, port):
    return (ip_number(ip), port)


def route_entry(name, address, service, kind="safe", target=200, timeout=2000, priority=2, **more):
    entry = {"Name": name, "Host": ip_text(address[0]), "Prefix": "/%d/" % address[1], "Kind": kind,
             "TimeoutMs": timeout, "TargetLatencyMs": target, "Priority": priority, "MaxAttempts": 2}
    entry.update({"Service": service} if isinstance(service, str) else {"WeightedServices": service})
    entry.update(more)
    return entry


def config(version, routes, services):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/health"} for name in services],
            "Limits": {"IdleTimeoutMs": 15000}}


def main(play):
    """Runs a case and exits with its code; a SIGTERM ends it and all that it started."""
    def stop(*_):
        raise SystemExit(2)
    signal.signal(signal.SIGTERM, stop)
    code = 2
    try:
        code = asyncio.run(play())
    finally:
        raise SystemExit(code)
