"""Stand-ins for the platform's store, its routers, servers and clients, for the scripts of review/.

They speak what PROTOCOL.md says, on loopback addresses and the real clock. The hosts are real processes, started with
the command of deploy/system.toml. One asyncio loop runs all stand-ins of a script.
"""
import asyncio
import base64
import json
import logging
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SYN, BOUNCED, FIN, ACK, RST = 128, 64, 32, 8, 1
HEAD = struct.Struct(">HHIIIHIIB3sI")
SUM_KEY = b"review"
MAX_DATA = 1200
WINDOW = 16

# Bounds of the sites, in seconds. SettleWindowMs and ConfigApplyMs are options of Site.
FLOW_LIFETIME = 60.0
IDLE_TIMEOUT = 15.0
HEARTBEAT = 1.2
STORE_ANSWER = 0.004
VALUE_BYTES = 1_048_576
HISTORY = 20.0

START = time.monotonic()


def now():
    """Seconds since the script began, by the steady clock."""
    return time.monotonic() - START


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def write(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():9.3f} {event} {text}".rstrip() + "\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- packets


def packet_sum(sport, dport, src, dst, seq, ack, flags, data):
    fields = struct.pack(">HHIIHIIB", sport, dport, src, dst, len(data), seq, ack, flags & ~BOUNCED)
    return zlib.crc32(SUM_KEY + fields + data) or 1


def encode(src, dst, flags, seq, ack, echo, data=b""):
    """src and dst are pairs of an address as a number and a port."""
    seq, ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
    total = packet_sum(src[1], dst[1], src[0], dst[0], seq, ack, flags, data)
    return HEAD.pack(src[1], dst[1], src[0], dst[0], echo, len(data), seq, ack, flags, b"\0\0\0", total) + data


class Packet:
    __slots__ = ("src", "dst", "echo", "seq", "ack", "flags", "sum", "data", "whole")

    def __init__(self, raw):
        sport, dport, src, dst, self.echo, length, self.seq, self.ack, self.flags, _, self.sum = HEAD.unpack_from(raw)
        self.src, self.dst = (src, sport), (dst, dport)
        self.data = bytes(raw[HEAD.size:])
        self.whole = length == len(self.data) and self.sum == packet_sum(
            sport, dport, src, dst, self.seq, self.ack, self.flags, self.data)


class End:
    """One end of an open flow: an ordered byte stream with acknowledgements and retransmission."""

    def __init__(self, send, first_sent, first_expected, max_resends):
        self.send, self.base, self.expected = send, first_sent & 0xFFFFFFFF, first_expected & 0xFFFFFFFF
        self.max_resends = max_resends
        self.out, self.sent, self.incoming = bytearray(), 0, bytearray()
        self.interval, self.due, self.resends = 0.2, None, 0
        self.unacknowledged = 0

    def write(self, data):
        self.out += data
        self.pump()

    def pump(self):
        while self.sent < len(self.out) and self.sent < WINDOW * MAX_DATA:
            part = bytes(self.out[self.sent:self.sent + MAX_DATA])
            self.send(ACK, (self.base + self.sent) & 0xFFFFFFFF, self.expected, part)
            self.sent += len(part)
            self.unacknowledged = 0
        if self.sent and self.due is None:
            self.due = now() + self.interval

    def take(self, packet):
        if packet.flags & ACK:
            advance = (packet.ack - self.base) & 0xFFFFFFFF
            if 0 < advance <= self.sent:
                del self.out[:advance]
                self.base = packet.ack
                self.sent -= advance
                self.resends, self.interval = 0, 0.2
                self.due = now() + self.interval if self.sent else None
        if packet.data:
            if packet.seq == self.expected:
                self.incoming += packet.data
                self.expected = (self.expected + len(packet.data)) & 0xFFFFFFFF
                self.unacknowledged += 1
                if self.unacknowledged >= 2:
                    self.acknowledge()
            else:
                self.acknowledge()
        self.pump()

    def acknowledge(self):
        self.unacknowledged = 0
        self.send(ACK, (self.base + self.sent) & 0xFFFFFFFF, self.expected, b"")

    def tick(self):
        if self.due is None or now() < self.due or self.resends > self.max_resends:
            return
        self.resends += 1
        self.interval = min(self.interval * 2, 1.6)
        self.sent, self.due = 0, None
        self.pump()


def take_message(buffer):
    """Removes one whole HTTP message from buffer: (first line, headers, body), or None."""
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        return None
    lines = bytes(buffer[:end]).decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:])
    size = int(headers.get("Content-Length", 0))
    if len(buffer) < end + 4 + size:
        return None
    body = bytes(buffer[end + 4:end + 4 + size])
    del buffer[:end + 4 + size]
    return lines[0], headers, body


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, address):
        self.handler(data, address)


async def open_udp(address, handler):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(handler), local_addr=address)
    return transport


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    return head.split(" ")[1]


def http_answer(status, body, headers=()):
    lines = [f"HTTP/1.1 {status} X", "Content-Type: application/json", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---------------------------------------------------------------- the platform's store


class Store:
    """The store: items, watches and their history. Each host calls it at a port of its own."""

    PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000

    def __init__(self, record):
        self.record = record
        self.items, self.history, self.revision, self.lost_before = {}, [], 100, 100
        self.changed = asyncio.Event()
        self.link_bytes_per_s = None  # Of the link of each host; None: not limited.
        self.turned_away = set()  # Names of hosts that get no response.
        self.watch_began = {}  # Host -> start of its last watch.
        self.watches_hear, self.cut = True, asyncio.Event()
        self.listeners, self.links, self.link_free_at = [], {}, {}

    async def listen(self, host, address):
        async def serve(reader, writer):
            try:
                while True:
                    target = await read_request(reader)
                    if "/v1/kv-watch" in target:
                        self.watch_began[host] = now()
                    answer = await self.answer(target) if host not in self.turned_away else b""
                    if answer == b"" or host in self.turned_away:  # No response, also later.
                        return await asyncio.sleep(600)
                    if answer is None:  # The watch was cut.
                        break
                    await self.send(host, writer, answer)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()
        self.listeners.append(await asyncio.start_server(serve, *address))

    async def send(self, host, writer, answer):
        """Sends an answer over the link of the host, which its connections share."""
        if self.link_bytes_per_s is None:
            writer.write(answer)
            return await writer.drain()
        part = max(1, int(self.link_bytes_per_s / 50))
        for start in range(0, len(answer), part):
            async with self.links.setdefault(host, asyncio.Lock()):
                piece = answer[start:start + part]
                writer.write(piece)
                await writer.drain()
                free_at = max(now(), self.link_free_at.get(host, 0)) + len(piece) / self.link_bytes_per_s
                self.link_free_at[host] = free_at
                await asyncio.sleep(max(0, free_at - now()))
        return None

    def put(self, key, value):
        if len(value) > VALUE_BYTES:
            raise RuntimeError("the value is larger than ValueBytes")
        self.revision += 1
        text = base64.b64encode(value).decode()
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {"Key": key, "Value": text, "Revision": self.revision, "Created": created, "Lease": 0}
        self.items[key] = item
        self.remember(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.remember({"Key": key, "Revision": self.revision, "Removed": True})

    def remember(self, event):
        self.history.append((now(), event))
        while now() - self.history[0][0] > HISTORY:
            self.lost_before = self.history.pop(0)[1]["Revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, target):
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if part)
        await asyncio.sleep(STORE_ANSWER)
        if path == "/v1/kv-range":
            return self.read_range(fields)
        if path == "/v1/kv-watch":
            return await self.watch(fields)
        return http_answer(404, b"{}")

    def read_range(self, fields):
        keys = sorted(k for k in self.items if k.startswith(fields.get("Prefix", "")) and k > fields.get("after", ""))
        items, size = [], 0
        for key in keys:
            size += len(self.items[key]["Value"])
            if items and (len(items) == self.PAGE_ITEMS or size > self.PAGE_BYTES):
                break
            items.append(self.items[key])
        body = {"items": items, "HasMore": len(items) < len(keys), "AsOf": self.revision}
        return http_answer(200, json.dumps(body).encode())

    async def watch(self, fields):
        after, prefix = int(fields["after"]), fields.get("Prefix", "")
        until = now() + int(fields["WaitMs"]) / 1000
        while True:
            if after < self.lost_before:
                return http_answer(410, b"{}")
            events, size = [], 0
            for _, event in self.history:
                if event["Revision"] > after and event["Key"].startswith(prefix):
                    size += len(event.get("Value", ""))
                    if events and (len(events) == self.PAGE_ITEMS or size > self.PAGE_BYTES):
                        break
                    events.append(event)
            left = until - now()
            if not self.watches_hear:  # Until the history is dropped and the watch is cut.
                await self.cut.wait()
                return None
            if events or left <= 0:
                whole = not events or len(events) == sum(e["Revision"] > after for _, e in self.history)
                body = {"events": events, "AsOf": self.revision if whole else events[-1]["Revision"]}
                return http_answer(200, json.dumps(body).encode())
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def forget_history(self, change):
        """Watches hear nothing for a second while a change is made; then the history is dropped and they are cut."""
        self.record.write("store_history", state="watches_hear_nothing")
        self.watches_hear = False
        self.changed.set()
        self.changed = asyncio.Event()
        await asyncio.sleep(0.3)
        change()
        await asyncio.sleep(0.7)
        self.history, self.lost_before = [], self.revision
        self.watches_hear = True
        self.cut.set()
        self.cut = asyncio.Event()
        self.record.write("store_history", state="dropped", before_revision=self.revision)

    def close(self):
        for listener in self.listeners:
            listener.close()


# ---------------------------------------------------------------- servers


class Server:
    """A server of the form `echo`. It can crash, and start again under the id that it had."""

    def __init__(self, site, number, service, zone, address, slots=2, work=0.022):
        self.site, self.service, self.zone, self.address = site, service, zone, address
        self.name = f"i-{0x51000000 + number * 0x1357:08x}"
        self.id = int(self.name[2:], 16)
        self.slots, self.work = slots, work
        self.alive, self.udp, self.tcp = False, None, None
        self.disturbed_at = -1000.0  # End of the last disturbance.
        self.draining, self.life = False, 0
        self.sequence, self.beats, self.tasks = 0, None, set()

    async def start(self):
        self.flows, self.busy, self.waiting, self.ended = {}, 0, [], set()
        self.born = int(time.time() * 1000)
        self.life, self.started_at = self.life + 1, now()
        self.udp = await open_udp(self.address, self.receive)
        self.tcp = await asyncio.start_server(self.answer_health, *self.address)
        self.alive = True
        self.site.record.write("server_started", server=self.name, life=self.life, born=self.born)
        self.register()
        self.beats = asyncio.ensure_future(self.beat())

    def entry(self):
        return {"Service": self.service, "Address": f"{self.address[0]}:{self.address[1]}", "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": "draining" if self.draining else "ready",
                "WarmupLeftMs": self.warmup_left(), "Sequence": self.sequence, "born": self.born}

    def warmup_left(self):
        """A server that started while there is traffic is slow for two seconds."""
        return max(0, int(1000 * (self.started_at + 2.0 - now()))) if self.life > 1 else 0

    def register(self):
        self.site.store.put("servers/" + self.name, json.dumps(self.entry()).encode())

    async def beat(self):
        """The entry changes only when more than Sequence changes."""
        while True:
            await asyncio.sleep(HEARTBEAT)
            self.sequence += 1
            key = "servers/" + self.name
            stored = self.site.store.items.get(key)
            if stored is None or json.loads(base64.b64decode(stored["Value"])) | {"Sequence": 0} != \
                    self.entry() | {"Sequence": 0}:
                self.register()

    def crash(self):
        self.alive, self.disturbed_at = False, now()
        self.udp.close()
        self.tcp.close()
        self.beats.cancel()
        for task in self.tasks:
            task.cancel()
        self.flows = {}
        self.site.record.write("server_crashed", server=self.name, life=self.life)
        self.expiry = asyncio.get_running_loop().call_later(3 * HEARTBEAT, self.expire)

    def expire(self):
        if not self.alive:
            self.site.store.remove("servers/" + self.name)

    async def restart(self):
        self.disturbed_at = now()
        self.sequence = 0
        await self.start()

    async def answer_health(self, reader, writer):
        try:
            await read_request(reader)
            writer.write(http_answer(503 if self.draining else 200, b"{}", [f"Instance-Id: {self.name}"]))
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def receive(self, data, _):
        if len(data) < 8 + HEAD.size:
            return self.site.broken("UNASKED", server=self.name, cause="short datagram")
        target = struct.unpack_from(">Q", data)[0]
        if target not in (0, self.id):
            return None
        packet = Packet(data[8:])
        if not packet.whole or packet.flags & (SYN | ACK) == SYN | ACK:
            return self.site.broken("UNASKED", server=self.name, cause="a packet that its sender didn't write so")
        return self.handle(packet)

    def send(self, packet_to, flags, seq, ack, echo, data=b""):
        """Answers a packet: from its destination to its source."""
        client, service = packet_to
        self.udp.sendto(encode(service, client, flags, seq, ack, echo, data),
                        (ip_text(client[0]), self.site.packet_port))

    def handle(self, packet):
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                first = random.getrandbits(32)
                flow = self.flows[key] = {"first": first, "echo": packet.echo, "open": False, "queue": []}
                flow["end"] = End(lambda flags, seq, ack, data, f=flow: self.send(key, flags, seq, ack, f["echo"], data),
                                  first + 1, packet.seq + 1, 8)
                self.site.syn_arrived(self, key, packet)
            flow["echo"] = packet.echo
            return self.send(key, SYN | ACK, flow["first"], packet.seq + 1, flow["echo"])
        if flow is None and packet.flags & FIN and key in self.ended:
            return self.send(key, ACK, packet.ack, packet.seq + 1, packet.echo)
        if flow is None:
            if not packet.flags & RST:
                self.site.record.write("server_reset", server=self.name, life=self.life, flow=flow_text(key))
                self.send(key, RST, packet.ack, packet.seq, packet.echo)
            return None
        if packet.flags & RST:
            return self.flows.pop(key)
        if packet.flags & FIN:
            self.flows.pop(key)
            self.ended.add(key)
            return self.send(key, ACK | FIN, packet.ack, packet.seq + 1, packet.echo)
        if not flow["open"]:
            if packet.ack != (flow["first"] + 1) & 0xFFFFFFFF:
                return None
            flow["open"] = True
            self.site.flow_opened(self, key)
        flow["echo"] = packet.echo
        flow["end"].take(packet)
        message = take_message(flow["end"].incoming)
        if message:
            self.waiting.append((flow, message))
            self.start_work()
        return None

    def start_work(self):
        while self.waiting and self.busy < self.slots:
            flow, message = self.waiting.pop(0)
            self.busy += 1
            task = asyncio.ensure_future(self.run(flow, message))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def run(self, flow, message):
        line, headers, body = message
        request = headers["Request-Id"]
        self.site.request_ran(self, request, line, body)
        await asyncio.sleep(self.work * (1.6 if self.warmup_left() else 1.0))
        answer = request.encode() + b"." * int(headers["Answer-Bytes"])
        head = f"HTTP/1.1 200 OK\r\nServer-Signature: {self.name}\r\nContent-Length: {len(answer)}\r\n\r\n"
        flow["end"].write(head.encode() + answer)
        self.busy -= 1
        self.start_work()

    def tick(self):
        for flow in self.flows.values():
            if flow["open"]:
                flow["end"].tick()


def flow_text(key):
    client, service = key
    return f"{ip_text(client[0])}:{client[1]}>{ip_text(service[0])}:{service[1]}"


# ---------------------------------------------------------------- clients


class Client:
    """A client address. Its flows are long, with pauses between their requests."""

    def __init__(self, site, zone, address):
        self.site, self.zone, self.ip = site, zone, ip_number(address)
        self.flows, self.next_port, self.address = {}, 20000, address

    async def start(self):
        self.udp = await open_udp((self.address, self.site.packet_port), self.receive)

    def send(self, flow, flags, seq, ack, data=b""):
        raw = encode(flow["key"][0], flow["key"][1], flags, seq, ack, flow["echo"], data)
        host = flow["host"] or self.site.route(self.zone, flow["key"])
        if host:
            self.udp.sendto(raw, (host.ip, self.site.packet_port))

    def receive(self, data, address):
        if len(data) < HEAD.size:
            return self.site.broken("MIXED", client=self.address, cause="short datagram")
        packet = Packet(data)
        flow = self.flows.get(packet.dst[1])
        if flow is None or flow["key"][1] != packet.src:
            return None
        if packet.flags == RST and packet.sum == 0:
            return self.system_reset(flow, packet, address)
        if not packet.whole:
            return self.site.broken("MIXED", client=self.address, cause="a packet that its sender didn't write so")
        if packet.flags & RST:
            flow["over"] = "reset by the server"
        elif packet.flags & SYN:
            if flow["end"] is None and packet.ack == (flow["first"] + 1) & 0xFFFFFFFF:
                flow["echo"] = packet.echo
                flow["end"] = End(lambda flags, seq, ack, part: self.send(flow, flags, seq, ack, part),
                                  flow["first"] + 1, packet.seq + 1, 1000)
                flow["end"].acknowledge()
        elif flow["end"]:
            flow["echo"] = packet.echo
            flow["end"].take(packet)
        flow["news"].set()
        return None

    def system_reset(self, flow, packet, address):
        """A reset of the system's own. On an open flow it holds if its number is near the last acknowledgement."""
        if flow["over"]:
            return
        end = flow["end"]
        if end and min((packet.seq - end.expected) & 0xFFFFFFFF, (end.expected - packet.seq) & 0xFFFFFFFF) > 76800:
            return
        flow["over"] = "reset by the system"
        flow["news"].set()
        self.site.system_reset(flow, address)

    async def open(self, route, host=None):
        """A new flow, or None if it did not open. With host, its packets are sent directly to that host."""
        self.next_port += 1
        key = ((self.ip, self.next_port), route)
        flow = {"key": key, "first": random.getrandbits(32), "echo": 0, "end": None, "over": None,
                "news": asyncio.Event(), "host": host, "opened_at": None, "last_at": now()}
        self.flows[self.next_port] = flow
        started = now()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self.site.syn_sent(key, copy)
            self.send(flow, SYN, flow["first"], copy)
            while flow["end"] is None and flow["over"] is None and now() < started + until:
                await self.wait(flow, started + until)
            if flow["end"] or flow["over"]:
                break
        if flow["end"] is None:
            self.flows.pop(self.next_port, None) if flow["over"] is None else None
            return None
        flow["opened_at"] = now()
        return flow

    async def wait(self, flow, until):
        flow["news"].clear()
        try:
            await asyncio.wait_for(flow["news"].wait(), max(0.0, until - now()))
        except asyncio.TimeoutError:
            pass

    async def request(self, flow, request, method, body, answer_bytes, budget):
        """Sends one request on an open flow; "answered", "reset by ...", "wrong answer" or "no answer"."""
        head = (f"{method} /x HTTP/1.1\r\nRequest-Id: {request}\r\nAnswer-Bytes: {answer_bytes}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        self.site.record.write("sent", request=request, flow=flow_text(flow["key"]))
        flow["last_at"] = now()
        flow["end"].write(head.encode() + body)
        until = now() + budget
        while True:
            message = take_message(flow["end"].incoming)
            if message:
                whole = message[2] == request.encode() + b"." * answer_bytes
                if not whole or "Server-Signature" not in message[1]:
                    self.site.broken("MIXED", request=request, cause="not this request's answer")
                flow["last_at"] = now()
                self.site.record.write("answered", request=request, server=message[1].get("Server-Signature"))
                return "answered"
            if flow["over"]:
                self.site.record.write("failed", request=request, cause=flow["over"].replace(" ", "_"))
                return flow["over"]
            if now() >= until:
                self.site.record.write("failed", request=request, cause="no_answer")
                flow["over"] = "given up"
                return "no answer"
            await self.wait(flow, until)

    def close(self, flow):
        """Ends a flow on which nothing is waiting; the server's end follows at once."""
        flow["over"] = "closed"
        end = flow["end"]
        self.send(flow, ACK | FIN, end.base, end.expected)

    def tick(self):
        for flow in self.flows.values():
            if flow["end"] and not flow["over"]:
                flow["end"].tick()


# ---------------------------------------------------------------- hosts and the site


class Host:
    def __init__(self, site, number, zone):
        self.site, self.zone, self.name = site, zone, f"front-{number}"
        self.ip, self.number = f"127.41.{1 + number}.1", number
        self.process, self.in_rotation, self.misses = None, False, 0

    def settings(self):
        """What platform/settings.template.json gives on this host."""
        site = self.site
        return {"name": self.name, "failure_domain": self.zone, "failure_domains": site.zones,
                "packet_listen": f"{self.ip}:{site.packet_port}", "ready_listen": f"{self.ip}:{site.ready_port}",
                "ready_path": "/v1/readiness", "metrics_listen": f"{self.ip}:{site.control_port}",
                "host_ip": self.ip, "internal_ports": [site.internal_port, site.internal_port + 1],
                "seeds": [f"{h.ip}:{site.control_port}" for h in site.hosts[:3]],
                "store": f"127.40.0.1:{site.store_port + self.number}",
                "detect_within_ms": int(1000 * site.settle), "apply_within_ms": int(1000 * site.apply_within),
                "drain_within_ms": int(1000 * site.apply_within), "processor_share": 0.25, "flow_lifetime_s": 60}

    def start(self):
        path = self.site.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        log = open(self.site.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(["target/buckthorndeck", "packets"], cwd=ROOT, stdout=log, stderr=log,
                                        env={"PATH": os.environ["PATH"], "BUCKTHORNDECK_CONFIG": str(path)})
        log.close()

    async def check_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.site.ready_port), 0.4)
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            good = b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            good = False
        self.misses = 0 if good else self.misses + 1
        if good:
            self.in_rotation = True
        elif self.misses >= 2:
            self.in_rotation = False


def is_free(address):
    """Whether a stand-in or a host can bind the address for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind == socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(address)
            except OSError:
                return False
    return True


class Site:
    """A small deployment on loopback addresses: nine hosts in three zones, like the site ezo-offcut."""

    zones = ["sapporo-kita", "ebetsu", "chitose"]

    def __init__(self, folder, hosts_per_zone=3, clients_per_zone=3, settle=4.0, apply_within=3.0):
        self.settle, self.apply_within = settle, apply_within
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.pick_ports()
        self.store = Store(self.record)
        self.hosts = [Host(self, i, self.zones[i % 3]) for i in range(3 * hosts_per_zone)]
        self.clients = [Client(self, self.zones[i % 3], f"127.43.0.{1 + i}") for i in range(3 * clients_per_zone)]
        self.servers, self.tasks, self.breaks = [], [], []
        self.opened = {}  # Flow -> (server, life) that it opened at.
        self.requests, self.ran, self.answered, self.count = {}, {}, 0, 0
        self.core_disturbed_at = -1000.0
        self.config = {"Version": 5, "Routes": [], "Services": [], "Limits": {
            "HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": int(1000 * IDLE_TIMEOUT)}}
        self.published = []  # (time, version, set of routes)

    def pick_ports(self):
        """Takes ports that are free at the first address of each kind."""
        for base in random.sample(range(20000, 30000, 50), 200):
            self.packet_port, self.ready_port, self.control_port = base, base + 1, base + 2
            self.internal_port, self.server_port, self.store_port = base + 3, base + 6, base + 10
            wanted = [("127.41.1.1", base + n) for n in range(5)] + [("127.42.0.1", base + 6), ("127.43.0.1", base)]
            wanted += [("127.40.0.1", base + 10 + n) for n in range(16)]
            if all(is_free(address) for address in wanted):
                return
        raise RuntimeError("no free ports")

    # Configuration

    def add_service(self, name):
        self.config["Services"].append({"Name": name, "HealthPath": "/health", "MaxConnections": 2000,
                                        "Protocol": "h1", "Tls": False})

    def add_route(self, name, address, port, service, kind="safe"):
        self.config["Routes"].append({"Name": name, "Host": address, "Prefix": f"/{port}/", "Kind": kind,
                                      "TimeoutMs": 800, "TargetLatencyMs": 120, "Priority": 2, "Service": service,
                                      "MaxAttempts": 2})
        return (ip_number(address), port)

    def publish(self):
        """Writes the configuration; the store's confirmation is the return of this call."""
        self.config["Version"] += random.randrange(1, 4)
        self.store.put("op/config", json.dumps(self.config, separators=(",", ":")).encode())
        routes = {(ip_number(r["Host"]), int(r["Prefix"].strip("/"))) for r in self.config["Routes"]}
        self.published.append((now(), self.config["Version"], routes))
        self.record.write("config_confirmed", version=self.config["Version"], routes=len(routes))

    # Observations

    def broken(self, rule, **fields):
        self.breaks.append(rule)
        self.record.write("RULE_BROKEN", rule=rule, **fields)

    def syn_sent(self, key, copy):
        if copy == 0:
            self.sent_at = getattr(self, "sent_at", {})
            self.sent_at[key] = now()
        self.record.write("opening_packet", flow=flow_text(key), copy=copy)

    def syn_arrived(self, server, key, packet):
        self.record.write("opening_packet_taken", flow=flow_text(key), server=server.name, life=server.life,
                          echo=packet.echo)

    def flow_opened(self, server, key):
        self.opened[key] = (server, server.life, now())
        self.record.write("flow_opened", flow=flow_text(key), server=server.name, life=server.life)

    def request_ran(self, server, request, line, body):
        times = self.ran[request] = self.ran.get(request, 0) + 1
        known = self.requests.get(request)
        self.record.write("ran", request=request, server=server.name, life=server.life)
        if known is None or known != (line.split(" ")[0], body):
            self.broken("UNASKED", request=request, cause="no client sent it so")
        elif times > 1 and line.startswith("POST"):
            self.broken("UNASKED", request=request, cause="ran twice")

    def system_reset(self, flow, address):
        """The rule FLOW (a), with its excuses."""
        key = flow["key"]
        server, life, opened_at = self.opened.get(key, (None, 0, 0))
        self.record.write("system_reset", flow=flow_text(key), host=address[0],
                          server=server.name if server else "none", life=life)
        if server is None:
            return
        lives = server.alive and server.life == life
        calm = now() - server.disturbed_at > self.settle and now() - self.core_disturbed_at > self.settle
        young = now() - opened_at < FLOW_LIFETIME and now() - flow["last_at"] < IDLE_TIMEOUT
        routed = all(key[1] in routes for at, _, routes in self.published if at > opened_at)
        if lives and calm and young and routed:
            self.broken("FLOW", flow=flow_text(key), server=server.name, life=life, host=address[0],
                        quiet_s=round(now() - server.disturbed_at, 1), age_s=round(now() - opened_at, 1))

    # Routers

    def route(self, zone, key):
        own = [h for h in self.hosts if h.zone == zone]
        ready = [h for h in own if h.in_rotation]
        if 2 * len(ready) < len(own):
            ready = own if ready else [h for h in self.hosts if h.in_rotation] or own
        text = struct.pack(">IHIH", key[0][0], key[0][1], key[1][0], key[1][1])
        return ready[zlib.crc32(text) % len(ready)]

    # Running

    def add_servers(self, service, count, work=0.022):
        for _ in range(count):
            number = len(self.servers)
            address = (f"127.42.0.{1 + number}", self.server_port)
            self.servers.append(Server(self, number, service, self.zones[number % 3], address, work=work))

    async def start(self):
        """Starts everything; returns once all hosts are in rotation."""
        for host in self.hosts:
            await self.store.listen(host.name, ("127.40.0.1", self.store_port + host.number))
        for server in self.servers:
            await server.start()
        for client in self.clients:
            await client.start()
        self.publish()
        for host in self.hosts:
            host.start()
        self.tasks.append(asyncio.ensure_future(self.poll_ready()))
        self.tasks.append(asyncio.ensure_future(self.tick()))
        until = now() + 15
        while not all(h.in_rotation for h in self.hosts):
            if now() > until or any(h.process.poll() is not None for h in self.hosts):
                raise RuntimeError("a host did not start")
            await asyncio.sleep(0.1)
        self.record.write("hosts_ready", hosts=len(self.hosts))

    async def poll_ready(self):
        while True:
            await asyncio.gather(*(host.check_ready() for host in self.hosts))
            await asyncio.sleep(0.5)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            for server in self.servers:
                if server.alive:
                    server.tick()
            for client in self.clients:
                client.tick()

    def next_request(self, method, body):
        self.count += 1
        request = f"r{self.count}"
        self.requests[request] = (method, body)
        return request

    async def long_flows(self, client, route, method, pause, until, body=b"", answer_bytes=600, budget=1.0):
        """Users with long flows of 2 to 6 requests, with pauses between them; one user after the other."""
        flow, left, begun = None, 0, False
        await asyncio.sleep(random.uniform(0, 3))
        while now() < until:
            if flow and not flow["over"] and left == 0:
                client.close(flow)
            if flow is None or flow["over"]:
                # The first flow is met in its course.
                flow, left, begun = await client.open(route), random.randint(2 if begun else 1, 6), True
                if flow is None:
                    await asyncio.sleep(0.1)
                    continue
            left -= 1
            request = self.next_request(method, body)
            outcome = await client.request(flow, request, method, body, answer_bytes, budget)
            self.answered += outcome == "answered"
            await asyncio.sleep(pause())

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process:
                host.process.wait()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play, rule, **options):
    """Runs play(site); the exit code says whether the rule was broken (1), held (0) or could not be judged (2)."""
    async def whole():
        site = Site(folder, **options)
        try:
            await asyncio.wait_for(play(site), 100)
            dead = [h.name for h in site.hosts if h.process.poll() is not None]
            if dead:
                site.broken("FAULT", hosts=",".join(dead))
            site.record.write("end", answered=site.answered, broken=len(site.breaks))
            if site.answered == 0:
                return 2
            print(f"trouble={int(site.trouble)} requests={site.count} answered={site.answered} "
                  + " ".join(f"{r}={site.breaks.count(r)}" for r in sorted(set(site.breaks) | {rule})))
            return 1 if rule in site.breaks else 0
        finally:
            site.stop()
            site.record.close()

    logging.disable(logging.CRITICAL)
    try:
        code = asyncio.run(whole())
    except Exception as failure:  # The case could not run.
        print("could not run:", repr(failure), file=sys.stderr)
        code = 2
    sys.stdout.flush()
    os._exit(code)  # Streams that are still open need no farewell.
