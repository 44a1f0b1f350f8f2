#include "buckthorndeck/entryhost/PacketHost.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/entryhost/HealthCheck.h"
#include "buckthorndeck/entryhost/PacketMetrics.h"
#include "buckthorndeck/forwarding/Forwarder.h"
#include "buckthorndeck/forwarding/RegistryReader.h"
#include "buckthorndeck/net/DatagramBatch.h"
#include "buckthorndeck/net/HttpServer.h"
#include "buckthorndeck/net/Notifier.h"

#include <algorithm>

namespace buckthorndeck::entryhost {

using forwarding::DueActions;
using forwarding::FlowKey;
using forwarding::Forwarder;
using forwarding::HealthCheckOutcome;
using forwarding::PacketAction;
using forwarding::PacketDecision;
using forwarding::PacketFormat;
using forwarding::PacketHeader;
using forwarding::Peer;
using forwarding::PeerDirectory;
using forwarding::Server;
using forwarding::ServerToken;

namespace {

//! Datagrams handled by one wake-up before other tasks run.
constexpr std::size_t BatchCapacity = 32;
//! A full packet is 1,234 bytes; longer datagrams are refused by the decoder.
constexpr std::size_t PacketBufferBytes = 1300;
//! Callers repeat packets after 200 ms and more.
constexpr Milliseconds MaxPacketHold{300};
//! Due work is done in steps of this size, to share wake-ups.
constexpr Milliseconds TimerStep{10};
//! A host that starts while the store is away hears of a peer within about this
//! time.
constexpr Milliseconds HeartbeatInterval{500};
//! Routers ask twice a second and take a host out after two misses.
constexpr Milliseconds RouterReaction{1250};
//! Without packets for this time the routers have moved on.
constexpr Milliseconds QuietTime{400};
constexpr Milliseconds StopPollInterval{100};

TcpEndpoint healthAddress(const Server &Target) {
  return {Target.Record.Address.address(), Target.Record.Address.port()};
}

} // namespace

struct PacketHost::Parts {
  Parts(const Executor &Where, const PacketSettings &Options,
        const PacketFormat &Format, forwarding::RegistrySource Calls,
        UdpSocket Packets, UdpSocket Heartbeats, HttpServer Ready,
        HttpServer MetricsServer)
      : Where(Where), Options(Options), Format(Format),
        Source(std::move(Calls)), Packets(std::move(Packets)),
        Heartbeats(std::move(Heartbeats)), Ready(std::move(Ready)),
        MetricsServer(std::move(MetricsServer)),
        Batch({.Capacity = BatchCapacity,
               .HeadroomBytes = Format.ServerPrefixBytes,
               .DatagramBytes = PacketBufferBytes}),
        Decisions({.Domain = Options.FailureDomain,
                   .DomainCount = Options.FailureDomainCount,
                   .FlowLifetime = Options.FlowLifetime,
                   .RandomSeed = Options.RandomSeed}),
        Peers({.Name = Options.Name,
               .Domain = Options.FailureDomain,
               .Heartbeat = this->Heartbeats.localEndpoint(),
               .Snapshot = this->MetricsServer.localEndpoint()},
              Options.Seeds),
        Feed(Where,
             {.WatchWait = Options.WatchWait,
              .ChangePause = Options.ChangePause,
              .RandomSeed = Options.RandomSeed + 1},
             this->Source, Decisions, Peers),
        Random(Options.RandomSeed + 2), Timer(Where), Stopped(Where) {}

  Task<> receivePackets();
  Task<> holdPackets();
  Task<> runTimer();
  Task<> sendHeartbeats();
  Task<> receiveHeartbeats();
  void sendHeartbeat(const FailureDomainName &Domain,
                     const UdpEndpoint &Receiver, TimePoint Now);
  void recordHeartbeat(const ReceivedDatagram &Datagram);
  Task<> checkServer(ServerToken Token, TcpEndpoint Address);
  Task<HealthCheckOutcome> checkIdentity(TcpEndpoint Address, std::string Path,
                                         std::string Name);
  Task<std::optional<HttpResponse>> answerReady(HttpRequest Request);
  Task<std::optional<HttpResponse>> answerMetrics(HttpRequest Request);
  void handle(std::size_t Index, TimePoint Now);
  void sendReset(const FlowKey &Flow, std::uint32_t Sequence);
  void sendToServer(ByteView Packet, const Server &Target);
  void doWork(TimePoint Now);
  bool isReady() const;

  Executor Where;
  PacketSettings Options;
  PacketFormat Format;
  forwarding::RegistrySource Source;
  UdpSocket Packets;
  UdpSocket Heartbeats;
  HttpServer Ready;
  HttpServer MetricsServer;
  DatagramBatch Batch;
  Forwarder Decisions;
  PeerDirectory Peers;
  forwarding::RegistryReader Feed;
  RandomEngine Random;
  Notifier Timer;
  Notifier Stopped;
  TimePoint TimerDue = TimePoint::max(); //!< What the timer task waits for.
  TimePoint PacketAt;                    //!< Of the last packet.
  PacketHostState State;
  bool Stopping = false;
};

PacketHost::PacketHost(std::unique_ptr<Parts> Owned)
    : Owned(std::move(Owned)) {}
PacketHost::~PacketHost() = default;

Expected<std::unique_ptr<PacketHost>>
PacketHost::start(const Executor &Where, const PacketSettings &Options,
                  const PacketFormat &Format,
                  forwarding::RegistrySource Source) {
  auto Packets = UdpSocket::bind(Where, Options.PacketListen);
  if (!Packets)
    return Unexpected(Packets.error());
  auto Heartbeats = UdpSocket::bind(Where, Options.HeartbeatListen);
  if (!Heartbeats)
    return Unexpected(Heartbeats.error());
  auto Ready = HttpServer::bind(Where, Options.ReadyListen);
  if (!Ready)
    return Unexpected(Ready.error());
  auto MetricsServer = HttpServer::bind(Where, Options.MetricsListen);
  if (!MetricsServer)
    return Unexpected(MetricsServer.error());
  return std::unique_ptr<PacketHost>(new PacketHost(std::make_unique<Parts>(
      Where, Options, Format, std::move(Source), std::move(*Packets),
      std::move(*Heartbeats), std::move(*Ready), std::move(*MetricsServer))));
}

bool PacketHost::Parts::isReady() const {
  return !Stopping && Decisions.ready(Clock::now());
}

void PacketHost::Parts::sendReset(const FlowKey &Flow, std::uint32_t Sequence) {
  const Bytes Packet = Format.EncodeReset(Flow, Sequence);
  const UdpEndpoint Receiver(boost::asio::ip::address_v4(Flow.Caller.Ip),
                             Options.PacketListen.port());
  if (!Packets.send(Packet, Receiver))
    ++State.SendsDropped;
}

void PacketHost::Parts::handle(std::size_t Index, TimePoint Now) {
  const std::span<std::uint8_t> Packet = Batch.datagram(Index);
  const std::optional<PacketHeader> Header = Format.Decode(Packet);
  if (!Header) {
    ++State.Undecodable;
    log(LogLevel::Debug, "packet_undecodable", {{"bytes", Packet.size()}});
    return;
  }
  PacketAt = Now;
  const PacketDecision Result = Decisions.handle(Packet, *Header, Now);
  if (Result.Action == PacketAction::Reset)
    sendReset(Header->Flow, Header->Acknowledged);
  if (Result.Action != PacketAction::Forward)
    return;
  if (Header->Syn)
    Format.WriteToken(Packet, Result.Target->Token);
  const auto Datagram = Batch.withHeadroom(Index, Format.ServerPrefixBytes);
  Format.WriteServerPrefix(Datagram.first(Format.ServerPrefixBytes),
                           Result.Target->Record.Id.value());
  Batch.queue(Packets, Datagram, Result.Target->Record.Address);
}

//! Lets packets wait in the socket until this host knows where they belong, or
//! drops them if that took long: their senders have repeated them since.
Task<> PacketHost::Parts::holdPackets() {
  const TimePoint Started = Clock::now();
  co_await Feed.waitLoaded();
  if (Clock::now() - Started < MaxPacketHold)
    co_return;
  std::size_t Dropped = 0;
  while (const std::size_t Count = Batch.receive(Packets))
    Dropped += Count;
  log(LogLevel::Info, "held_packets_dropped", {{"packets", Dropped}});
}

Task<> PacketHost::Parts::receivePackets() {
  co_await holdPackets();
  while (Packets.isOpen()) {
    const bool Readable = co_await Packets.waitReadable();
    if (!Readable)
      co_return;
    const TimePoint Now = Clock::now();
    const std::size_t Count = Batch.receive(Packets);
    for (std::size_t Index = 0; Index < Count; ++Index)
      handle(Index, Now);
    State.SendsDropped += Batch.flush(Packets);
    doWork(Now);
  }
}

//! Sends a copy of a packet that was kept.
void PacketHost::Parts::sendToServer(ByteView Packet, const Server &Target) {
  Bytes Datagram(Format.ServerPrefixBytes + Packet.size());
  const std::span<std::uint8_t> Whole(Datagram);
  std::copy(Packet.begin(), Packet.end(),
            Datagram.begin() +
                static_cast<std::ptrdiff_t>(Format.ServerPrefixBytes));
  Format.WriteServerPrefix(Whole.first(Format.ServerPrefixBytes),
                           Target.Record.Id.value());
  Format.WriteToken(Whole.subspan(Format.ServerPrefixBytes), Target.Token);
  if (!Packets.send(Datagram, Target.Record.Address))
    ++State.SendsDropped;
}

void PacketHost::Parts::doWork(TimePoint Now) {
  const DueActions Work = Decisions.takeDueActions(Now);
  for (const auto &Outgoing : Work.Packets)
    if (const Server *Target = Decisions.servers().find(Outgoing.Target))
      sendToServer(Outgoing.Packet, *Target);
  for (const auto &Reset : Work.Resets)
    sendReset(Reset.Flow, Reset.Sequence);
  for (const ServerToken Token : Work.HealthChecks)
    if (const Server *Target = Decisions.servers().find(Token))
      spawn(Where, "health_check", checkServer(Token, healthAddress(*Target)));
  if (Decisions.takeRefreshRequest())
    Feed.refresh();
  if (Decisions.nextActionTime() < TimerDue)
    Timer.notifyAll();
}

Task<> PacketHost::Parts::runTimer() {
  while (Packets.isOpen()) {
    const TimePoint Soonest = Clock::now() + TimerStep;
    TimerDue = std::max(Decisions.nextActionTime(), Soonest);
    co_await Timer.waitUntil(TimerDue);
    TimerDue = TimePoint::min();
    doWork(Clock::now());
  }
}

//! Lets hosts that have just started know whom they can ask.
Task<> PacketHost::Parts::sendHeartbeats() {
  while (!Stopping) {
    const TimePoint Now = Clock::now();
    for (const UdpEndpoint &Receiver : Peers.heartbeatReceivers(Now, Random))
      sendHeartbeat(Peers.self().Domain, Receiver, Now);
    Peers.removeStale(Now);
    co_await sleepFor(HeartbeatInterval);
  }
}

void PacketHost::Parts::sendHeartbeat(const FailureDomainName &Domain,
                                      const UdpEndpoint &Receiver,
                                      TimePoint Now) {
  // A lost heartbeat is made good by the next.
  Heartbeats.send(encodeHeartbeat(Peers.heartbeatFor(Domain, Now, Random)),
                  Receiver);
}

void PacketHost::Parts::recordHeartbeat(const ReceivedDatagram &Datagram) {
  const auto Message =
      forwarding::decodeHeartbeat(Datagram.Payload, toString(Datagram.Sender));
  if (!Message) {
    ++State.Undecodable;
    log(LogLevel::Debug, "heartbeat_undecodable",
        {{"error", describe(Message.error())}});
    return;
  }
  const TimePoint Now = Clock::now();
  const Peer &Sender = Message->Sender;
  if (Peers.update(*Message, Now)) {
    log(LogLevel::Info, "peer_found",
        {{"peer", Sender.Name.value()},
         {"failure_domain", Sender.Domain.value()},
         {"peers", Peers.size()}});
    sendHeartbeat(Sender.Domain, Sender.Heartbeat, Now);
  }
  Feed.onPeerDiscovered();
}

Task<> PacketHost::Parts::receiveHeartbeats() {
  while (true) {
    const Expected<ReceivedDatagram> Received = co_await Heartbeats.receive();
    if (!Received)
      co_return;
    recordHeartbeat(*Received);
  }
}

//! Tells a server from another that has got its address.
Task<HealthCheckOutcome> PacketHost::Parts::checkIdentity(TcpEndpoint Address,
                                                          std::string Path,
                                                          std::string Name) {
  const Expected<std::string> Answering =
      co_await Source.ReadServerName(Address, Path);
  if (!Answering) {
    log(LogLevel::Info, "identity_unknown",
        {{"server", Name}, {"error", describe(Answering.error())}});
    co_return HealthCheckOutcome::Inconclusive;
  }
  co_return *Answering == Name ? HealthCheckOutcome::Connected
                               : HealthCheckOutcome::Replaced;
}

Task<> PacketHost::Parts::checkServer(ServerToken Token, TcpEndpoint Address) {
  const TimePoint Started = Clock::now();
  std::optional<TcpEndpoint> Control;
  if (const Server *Other = Decisions.referenceServerFor(Token))
    Control = healthAddress(*Other);
  HealthCheckOutcome Outcome = co_await checkHealth(Address, Control);
  const std::optional<std::string> Path = Decisions.identityPath(Token);
  const Server *Target = Decisions.servers().find(Token);
  if (Outcome == HealthCheckOutcome::Connected && Path && Target) {
    const std::string Name = Target->Record.Name;
    Outcome = co_await checkIdentity(Address, *Path, Name);
  }
  const TimePoint Now = Clock::now();
  Decisions.recordHealthCheck(Token, Outcome, Started, Now);
  doWork(Now);
}

Task<std::optional<HttpResponse>>
PacketHost::Parts::answerReady(HttpRequest Request) {
  HttpResponse Answer;
  if (Request.Target != Options.ReadyPath)
    Answer.Status = 404;
  else
    Answer.Status = isReady() ? 200 : 503;
  co_return Answer;
}

Task<std::optional<HttpResponse>>
PacketHost::Parts::answerMetrics(HttpRequest Request) {
  HttpResponse Answer;
  if (Request.Target == forwarding::SnapshotPath && Feed.loaded()) {
    Answer.ContentType = "application/cbor";
    Answer.Body = std::string(toText(Feed.snapshot()));
    co_return Answer;
  }
  if (Request.Target != "/metrics") {
    Answer.Status = 404;
    co_return Answer;
  }
  State.StoreCalls = Feed.callCount();
  State.StoreAnswerAgeSeconds =
      std::chrono::duration<double>(Clock::now() - Feed.lastAnswerAt()).count();
  State.Ready = isReady();
  Answer.ContentType = "text/plain; version=0.0.4";
  Answer.Body = formatMetrics(Decisions, State);
  co_return Answer;
}

PacketHostEndpoints PacketHost::endpoints() const {
  return {.Packets = Owned->Packets.localEndpoint(),
          .Ready = Owned->Ready.localEndpoint(),
          .Metrics = Owned->MetricsServer.localEndpoint()};
}

Task<> PacketHost::run() {
  Parts &Host = *Owned;
  log(LogLevel::Info, "started",
      {{"failure_domain", Host.Options.FailureDomain.value()},
       {"packets", toString(Host.Packets.localEndpoint())},
       {"store", toString(Host.Options.Store)}});
  spawn(Host.Where, "registry_reader", Host.Feed.run());
  spawn(Host.Where, "readiness", Host.Ready.serve([&Host](HttpRequest Request) {
    return Host.answerReady(std::move(Request));
  }));
  spawn(Host.Where, "metrics",
        Host.MetricsServer.serve([&Host](HttpRequest Request) {
          return Host.answerMetrics(std::move(Request));
        }));
  spawn(Host.Where, "packets", Host.receivePackets());
  spawn(Host.Where, "timer", Host.runTimer());
  spawn(Host.Where, "heartbeat_sender", Host.sendHeartbeats());
  spawn(Host.Where, "heartbeat_receiver", Host.receiveHeartbeats());
  co_await Host.Stopped.wait();
}

Task<> PacketHost::stop() {
  Parts &Host = *Owned;
  Host.Stopping = true;
  const TimePoint Started = Clock::now();
  const TimePoint Latest = Started + Host.Options.StopGrace;
  while (true) {
    co_await sleepFor(StopPollInterval);
    const TimePoint Now = Clock::now();
    const bool Quiet =
        Now - Started >= RouterReaction && Now - Host.PacketAt >= QuietTime;
    if (Quiet || Now >= Latest)
      break;
  }
  Host.Feed.stop();
  Host.Packets.close();
  Host.Heartbeats.close();
  Host.Stopped.notifyAll();
}

} // namespace buckthorndeck::entryhost
