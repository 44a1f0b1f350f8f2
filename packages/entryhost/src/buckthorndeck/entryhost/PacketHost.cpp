#include "buckthorndeck/entryhost/PacketHost.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/entryhost/HealthCheck.h"
#include "buckthorndeck/entryhost/PacketMetrics.h"
#include "buckthorndeck/forwarding/Forwarder.h"
#include "buckthorndeck/forwarding/RegistryReader.h"
#include "buckthorndeck/net/DatagramBatch.h"
#include "buckthorndeck/net/HttpServer.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/PauseDetector.h"

#include <algorithm>
#include <utility>

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

//! Datagrams handled per wake-up before other tasks run.
constexpr std::size_t BatchCapacity = 32;
//! Batches that are handled as late after a pause; a socket buffer holds fewer.
constexpr unsigned MaxLateBatches = 64;
//! A full packet is 1,234 bytes; longer datagrams are refused by the decoder.
constexpr std::size_t PacketBufferBytes = 1300;
//! Callers retransmit packets after 200 ms or more.
constexpr Milliseconds MaxPacketHold{300};
//! A packet that waited longer may have been sent again through another host.
constexpr Milliseconds MaxSynHold{150};
//! A host runs at least this often, so that it detects a pause before it
//! handles packets that waited.
constexpr Milliseconds PauseCheckInterval{100};
//! Together with PauseCheckInterval at most the 200 ms after which callers
//! retransmit a SYN.
constexpr Milliseconds MaxRunDelay{100};
//! Actions that become due within this time share one wake-up.
constexpr Milliseconds TimerGranularity{10};
//! A host that starts while the store is unreachable learns of a peer within
//! about this time.
constexpr Milliseconds HeartbeatInterval{500};
//! Routers check readiness twice a second and remove a host after two failures.
constexpr Milliseconds RouterFailoverTime{1250};
//! If no packet arrives for this time, the routers have switched to other
//! hosts.
constexpr Milliseconds NoPacketsTime{400};
constexpr Milliseconds StopPollInterval{100};

TcpEndpoint healthAddress(const Server &Target) {
  return {Target.Record.Address.address(), Target.Record.Address.port()};
}

} // namespace

struct PacketHost::Impl {
  Impl(const Executor &Where, const PacketSettings &Options,
       const PacketFormat &Format, forwarding::RegistrySource RegistryCalls,
       UdpSocket Packets, UdpSocket Heartbeats, HttpServer Ready,
       HttpServer MetricsServer)
      : Where(Where), Options(Options), Format(Format),
        Source(std::move(RegistryCalls)), Packets(std::move(Packets)),
        Heartbeats(std::move(Heartbeats)), Ready(std::move(Ready)),
        MetricsServer(std::move(MetricsServer)),
        Batch({.Capacity = BatchCapacity,
               .HeadroomBytes = Format.ServerPrefixBytes,
               .DatagramBytes = PacketBufferBytes}),
        PacketForwarder({.Domain = Options.FailureDomain,
                         .DomainCount = Options.FailureDomainCount,
                         .FlowLifetime = Options.FlowLifetime,
                         .RandomSeed = Options.RandomSeed,
                         .Warmup = {.Overage = Options.WarmupOverage,
                                    .Slack = Options.WarmupSlack},
                         .OutlierDetection = Options.OutlierDetection,
                         .OverloadControl = Options.OverloadControl,
                         .AdaptiveSlowStart = Options.AdaptiveSlowStart,
                         .Regions = Options.Regions}),
        Peers({.Name = Options.Name,
               .Domain = Options.FailureDomain,
               .Heartbeat = this->Heartbeats.localEndpoint(),
               .Snapshot = this->MetricsServer.localEndpoint(),
               .ProcessorPermille = Options.ProcessorPermille},
              Options.Seeds),
        Registry(Where,
                 {.WatchWait = Options.WatchWait,
                  .ChangePause = Options.ChangePause,
                  .FreshnessLimit = Options.FreshnessLimit,
                  .RelayWait = Options.RelayWait,
                  .RelayPause = Options.RelayPause,
                  .RemovalLimit = Options.RemovalLimit,
                  .RandomSeed = Options.RandomSeed + 1},
                 this->Source, PacketForwarder, Peers),
        Random(Options.RandomSeed + 2), Timer(Where), Stopped(Where) {
    const TimePoint Now = Clock::now();
    PacketForwarder.warmups().setView(
        {Options.Name, /*HasSeeds=*/!Options.Seeds.empty(), Now}, Now);
  }

  Task<> receivePackets();
  Task<> holdPackets();
  Task<> runTimer();
  Task<> sendHeartbeats();
  Task<> receiveHeartbeats();
  void sendHeartbeat(const FailureDomainName &Domain,
                     const UdpEndpoint &Receiver, TimePoint Now);
  void recordHeartbeat(const ReceivedDatagram &Datagram);
  void updateDomainView(TimePoint Now);
  Task<> checkServer(ServerToken Token, TcpEndpoint Address);
  Task<HealthCheckOutcome> checkIdentity(TcpEndpoint Address, std::string Path,
                                         std::string Name);
  Task<std::optional<HttpResponse>> answerReady(HttpRequest Request);
  Task<std::optional<HttpResponse>> answerMetrics(HttpRequest Request);
  void handle(std::size_t Index, TimePoint Now, bool MayBeLate);
  std::size_t handleReceived(TimePoint Now, bool MayBeLate);
  void handleWaitingPackets(TimePoint Now);
  void detectPause(TimePoint Now);
  void sendReset(const FlowKey &Flow, std::uint32_t Sequence);
  void sendToServer(ByteView Packet, const Server &Target);
  void performDueActions(TimePoint Now);
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
  Forwarder PacketForwarder;
  PeerDirectory Peers;
  forwarding::RegistryReader Registry;
  RandomEngine Random;
  Notifier Timer;
  Notifier Stopped;
  PauseDetector Pauses{MaxRunDelay};
  //! The time that runTimer() waits for.
  TimePoint TimerDue = TimePoint::max();
  TimePoint LastPacketAt; //!< Arrival of the last decoded packet.
  PacketHostState State;
  bool DropLateSyns = false; //!< The view is too old for new flows.
  std::uint64_t LateSynsDropped = 0;
  bool Stopping = false;
};

PacketHost::PacketHost(std::unique_ptr<Impl> Implementation)
    : Implementation(std::move(Implementation)) {}
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
  return std::unique_ptr<PacketHost>(new PacketHost(std::make_unique<Impl>(
      Where, Options, Format, std::move(Source), std::move(*Packets),
      std::move(*Heartbeats), std::move(*Ready), std::move(*MetricsServer))));
}

bool PacketHost::Impl::isReady() const {
  return !Stopping && Registry.loaded() && PacketForwarder.ready(Clock::now());
}

void PacketHost::Impl::sendReset(const FlowKey &Flow, std::uint32_t Sequence) {
  const Bytes Packet = Format.EncodeReset(Flow, Sequence);
  const UdpEndpoint Receiver(boost::asio::ip::address_v4(Flow.Caller.Ip),
                             Options.PacketListen.port());
  if (!Packets.send(Packet, Receiver))
    ++State.SendsDropped;
}

void PacketHost::Impl::handle(std::size_t Index, TimePoint Now,
                              bool MayBeLate) {
  const std::span<std::uint8_t> Packet = Batch.datagram(Index);
  const std::optional<PacketHeader> Header = Format.Decode(Packet);
  if (!Header) {
    ++State.MalformedMessages;
    log(LogLevel::Debug, "packet_undecodable", {{"bytes", Packet.size()}});
    return;
  }
  LastPacketAt = Now;
  if (MayBeLate && Header->Syn && DropLateSyns) {
    ++LateSynsDropped;
    return;
  }
  const PacketDecision Result =
      PacketForwarder.handle(Packet, *Header, Now, MayBeLate);
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

//! Handles a batch of packets and returns their number.
std::size_t PacketHost::Impl::handleReceived(TimePoint Now, bool MayBeLate) {
  const std::size_t Count = Batch.receive(Packets);
  for (std::size_t Index = 0; Index < Count; ++Index)
    handle(Index, Now, MayBeLate);
  State.SendsDropped += Batch.flush(Packets);
  return Count;
}

//! Handles the packets that have waited in the socket buffer.
void PacketHost::Impl::handleWaitingPackets(TimePoint Now) {
  for (unsigned Count = 0; Count < MaxLateBatches; ++Count)
    if (handleReceived(Now, /*MayBeLate=*/true) < BatchCapacity)
      return;
}

//! Discards what was observed before a pause of this process, if there was one,
//! and handles the packets that waited.
void PacketHost::Impl::detectPause(TimePoint Now) {
  if (!Pauses.check(Now, BootClock::now()))
    return;
  ++State.Pauses;
  PacketForwarder.recordPause(Now);
  // Until the registry is loaded, holdPackets() decides on waiting packets.
  if (!Registry.loaded() || !Packets.isOpen())
    return;
  // The failure domain of every server may have been evacuated meanwhile. The
  // callers have sent these SYNs again through other hosts.
  DropLateSyns = Registry.viewAge() > Options.EvacuateWithin;
  handleWaitingPackets(Now);
  DropLateSyns = false;
  if (const std::uint64_t Dropped = std::exchange(LateSynsDropped, 0))
    log(LogLevel::Info, "late_syns_dropped", {{"packets", Dropped}});
}

//! Leaves packets in the socket buffer until the registry is loaded. Drops them
//! if that took MaxPacketHold or longer: callers have retransmitted them since.
Task<> PacketHost::Impl::holdPackets() {
  // The machine may be suspended meanwhile.
  const BootClock::time_point Started = BootClock::now();
  co_await Registry.waitLoaded();
  const BootClock::duration Held = BootClock::now() - Started;
  if (Held < MaxPacketHold) {
    if (Held >= MaxSynHold)
      handleWaitingPackets(Clock::now());
    co_return;
  }
  std::size_t Dropped = 0;
  while (const std::size_t Count = Batch.receive(Packets))
    Dropped += Count;
  log(LogLevel::Info, "held_packets_dropped", {{"packets", Dropped}});
}

Task<> PacketHost::Impl::receivePackets() {
  co_await holdPackets();
  while (Packets.isOpen()) {
    const bool Readable = co_await Packets.waitReadable();
    if (!Readable)
      co_return;
    const TimePoint Now = Clock::now();
    detectPause(Now);
    handleReceived(Now, /*MayBeLate=*/false);
    performDueActions(Now);
  }
}

//! Sends a copy of a packet that the forwarder stored.
void PacketHost::Impl::sendToServer(ByteView Packet, const Server &Target) {
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

void PacketHost::Impl::performDueActions(TimePoint Now) {
  const DueActions Actions = PacketForwarder.takeDueActions(Now);
  for (const auto &Outgoing : Actions.Packets)
    if (const Server *Target = PacketForwarder.servers().find(Outgoing.Target))
      sendToServer(Outgoing.Packet, *Target);
  for (const auto &Reset : Actions.Resets)
    sendReset(Reset.Flow, Reset.Sequence);
  for (const ServerToken Token : Actions.HealthChecks)
    if (const Server *Target = PacketForwarder.servers().find(Token))
      spawn(Where, "health_check", checkServer(Token, healthAddress(*Target)));
  if (PacketForwarder.takeRefreshRequest())
    Registry.refresh();
  if (PacketForwarder.nextActionTime() < TimerDue)
    Timer.notifyAll();
}

Task<> PacketHost::Impl::runTimer() {
  while (Packets.isOpen()) {
    const TimePoint Started = Clock::now();
    TimerDue =
        std::clamp(PacketForwarder.nextActionTime(), Started + TimerGranularity,
                   Started + PauseCheckInterval);
    Pauses.expectRunBy(TimerDue);
    co_await Timer.waitUntil(TimerDue);
    TimerDue = TimePoint::min();
    const TimePoint Now = Clock::now();
    detectPause(Now);
    performDueActions(Now);
  }
}

//! Heartbeats tell hosts that have just started which peers can supply a
//! snapshot.
Task<> PacketHost::Impl::sendHeartbeats() {
  while (!Stopping) {
    const TimePoint Now = Clock::now();
    for (const UdpEndpoint &Receiver : Peers.heartbeatReceivers(Now, Random))
      sendHeartbeat(Peers.self().Domain, Receiver, Now);
    Peers.removeStale(Now);
    updateDomainView(Now);
    co_await sleepFor(HeartbeatInterval);
  }
}

void PacketHost::Impl::sendHeartbeat(const FailureDomainName &Domain,
                                     const UdpEndpoint &Receiver,
                                     TimePoint Now) {
  // A lost heartbeat is not repeated: the next one has the same effect.
  forwarding::PeerHeartbeat Message = Peers.heartbeatFor(Domain, Now, Random);
  Message.Knowledge = Registry.knowledge();
  Heartbeats.send(encodeHeartbeat(Message), Receiver);
}

void PacketHost::Impl::recordHeartbeat(const ReceivedDatagram &Datagram) {
  const auto Message =
      forwarding::decodeHeartbeat(Datagram.Payload, toString(Datagram.Sender));
  if (!Message) {
    ++State.MalformedMessages;
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
  updateDomainView(Now);
  Registry.onPeerDiscovered();
}

//! Passes the hosts of this failure domain on to the limits of cold servers.
void PacketHost::Impl::updateDomainView(TimePoint Now) {
  std::vector<std::string> Names;
  for (const Peer *Each : Peers.domainPeers())
    Names.push_back(Each->Name.value());
  PacketForwarder.warmups().updateView(std::move(Names), Peers.size() > 0, Now);
}

Task<> PacketHost::Impl::receiveHeartbeats() {
  while (true) {
    const Expected<ReceivedDatagram> Received = co_await Heartbeats.receive();
    if (!Received)
      co_return;
    recordHeartbeat(*Received);
  }
}

//! Detects another server that has been given the address of this one.
Task<HealthCheckOutcome> PacketHost::Impl::checkIdentity(TcpEndpoint Address,
                                                         std::string Path,
                                                         std::string Name) {
  const Expected<std::string> FoundName =
      co_await Source.ReadServerName(Address, Path);
  if (!FoundName) {
    log(LogLevel::Info, "identity_unknown",
        {{"server", Name}, {"error", describe(FoundName.error())}});
    co_return HealthCheckOutcome::Inconclusive;
  }
  co_return *FoundName == Name ? HealthCheckOutcome::Connected
                               : HealthCheckOutcome::Replaced;
}

Task<> PacketHost::Impl::checkServer(ServerToken Token, TcpEndpoint Address) {
  const TimePoint Started = Clock::now();
  std::optional<TcpEndpoint> Reference;
  if (const Server *ReferenceServer = PacketForwarder.referenceServerFor(Token))
    Reference = healthAddress(*ReferenceServer);
  HealthCheckOutcome Outcome = co_await checkHealth(
      Address, Reference, PacketForwarder.healthCheckKind(Token));
  const std::optional<std::string> Path = PacketForwarder.identityPath(Token);
  const Server *Target = PacketForwarder.servers().find(Token);
  if (Outcome == HealthCheckOutcome::Connected && Path && Target) {
    const std::string Name = Target->Record.Name;
    Outcome = co_await checkIdentity(Address, *Path, Name);
  }
  const TimePoint Now = Clock::now();
  detectPause(Now);
  PacketForwarder.recordHealthCheck(Token, Outcome, Started, Now);
  performDueActions(Now);
}

Task<std::optional<HttpResponse>>
PacketHost::Impl::answerReady(HttpRequest Request) {
  HttpResponse Answer;
  if (Request.Target != Options.ReadyPath)
    Answer.Status = 404;
  else
    Answer.Status = isReady() ? 200 : 503;
  co_return Answer;
}

//! Serves the metrics, and snapshots and changes for peers.
Task<std::optional<HttpResponse>>
PacketHost::Impl::answerMetrics(HttpRequest Request) {
  HttpResponse Answer;
  if (Request.Target == forwarding::SnapshotPath && Registry.loaded()) {
    Answer.ContentType = "application/cbor";
    Answer.Body = std::string(toText(Registry.snapshot()));
    co_return Answer;
  }
  if (const auto Query = forwarding::parseChangesTarget(Request.Target)) {
    if (!Registry.loaded()) {
      Answer.Status = 503;
      co_return Answer;
    }
    co_return co_await Registry.answerChanges(*Query);
  }
  if (Request.Target != "/metrics") {
    Answer.Status = 404;
    co_return Answer;
  }
  State.Registry = Registry.counters();
  State.RegistryAgeSeconds =
      std::chrono::duration<double>(Registry.viewAge()).count();
  State.StoreAnswerAgeSeconds =
      std::chrono::duration<double>(Clock::now() - Registry.lastAnswerAt())
          .count();
  State.Ready = isReady();
  Answer.ContentType = "text/plain; version=0.0.4";
  Answer.Body = formatMetrics(PacketForwarder, State);
  co_return Answer;
}

PacketHostEndpoints PacketHost::endpoints() const {
  return {.Packets = Implementation->Packets.localEndpoint(),
          .Ready = Implementation->Ready.localEndpoint(),
          .Metrics = Implementation->MetricsServer.localEndpoint()};
}

Task<> PacketHost::run() {
  Impl &Host = *Implementation;
  log(LogLevel::Info, "started",
      {{"failure_domain", Host.Options.FailureDomain.value()},
       {"packets", toString(Host.Packets.localEndpoint())},
       {"store", toString(Host.Options.Store)}});
  spawn(Host.Where, "registry_reader", Host.Registry.run());
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
  Impl &Host = *Implementation;
  Host.Stopping = true;
  const TimePoint Started = Clock::now();
  const TimePoint Latest = Started + Host.Options.StopGrace;
  while (true) {
    co_await sleepFor(StopPollInterval);
    const TimePoint Now = Clock::now();
    const bool RoutersStopped = Now - Started >= RouterFailoverTime &&
                                Now - Host.LastPacketAt >= NoPacketsTime;
    if (RoutersStopped || Now >= Latest)
      break;
  }
  Host.Registry.stop();
  Host.Packets.close();
  Host.Heartbeats.close();
  Host.Stopped.notifyAll();
}

} // namespace buckthorndeck::entryhost
