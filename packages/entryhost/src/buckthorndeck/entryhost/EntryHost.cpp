#include "buckthorndeck/entryhost/EntryHost.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/config/StoreClient.h"
#include "buckthorndeck/entryhost/ExplanationReport.h"
#include "buckthorndeck/entryhost/FlowRouter.h"
#include "buckthorndeck/entryhost/HostContext.h"
#include "buckthorndeck/entryhost/Metrics.h"
#include "buckthorndeck/entryhost/PeerLink.h"
#include "buckthorndeck/entryhost/RequestService.h"
#include "buckthorndeck/entryhost/StatusReport.h"
#include "buckthorndeck/entryhost/SubscriptionService.h"
#include "buckthorndeck/membership/Membership.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/UdpSocket.h"
#include "buckthorndeck/net/WebSocket.h"
#include "buckthorndeck/sync/ConfigSync.h"
#include "buckthorndeck/wire/Relay.h"

#include <boost/asio/this_coro.hpp>
#include <cstdio>
#include <fstream>

namespace buckthorndeck::entryhost {

namespace {

constexpr Milliseconds HousekeepingPeriod{1'000};
constexpr Milliseconds PlatformTimeout{5'000};
constexpr Milliseconds DiscoverPeersPeriod{10'000};
//! Time for the last announcements and answers to be sent.
constexpr Milliseconds FlushDelay{200};

Incarnation incarnationNow() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(SinceEpoch).count()));
}

//! Sockets of a host, bound before anything else starts.
struct Sockets {
  UdpSocket Caller;
  UdpSocket Peer;
  WebSocketListener Sync;
  std::unique_ptr<Metrics> Meter;
};

Expected<Sockets> bindSockets(const Executor &Where, const Settings &Options) {
  auto Caller = UdpSocket::bind(Where, Options.CallerListen);
  if (!Caller)
    return Unexpected(Caller.error());
  auto Peer = UdpSocket::bind(Where, Options.PeerListen);
  if (!Peer)
    return Unexpected(Peer.error());
  auto Sync = WebSocketListener::bind(Where, Options.SyncListen);
  if (!Sync)
    return Unexpected(Sync.error());
  auto Meter = Metrics::start(Options.MetricsListen);
  if (!Meter)
    return Unexpected(Meter.error());
  return Sockets{.Caller = std::move(*Caller),
                 .Peer = std::move(*Peer),
                 .Sync = std::move(*Sync),
                 .Meter = std::move(*Meter)};
}

membership::Member describeSelf(const Settings &Options, const Sockets &Bound,
                                Incarnation StartTime) {
  return {.Name = Options.Name,
          .Region = Options.Region,
          .FailureDomain = Options.FailureDomain,
          .PeerAddress = Bound.Peer.localEndpoint(),
          .SyncAddress = Bound.Sync.localEndpoint(),
          .StartTime = StartTime};
}

} // namespace

struct EntryHost::Impl {
  Impl(const Executor &Where, Settings InitialOptions, Sockets BoundSockets,
       Incarnation StartTime)
      : Where(Where), Options(std::move(InitialOptions)),
        Bound(std::move(BoundSockets)),
        Self(describeSelf(Options, Bound, StartTime)),
        PeerKey(deriveKey(Options.FleetKey, "peer")),
        Peers(Bound.Peer, PeerKey),
        Servers(Where,
                {.RandomSeed = Options.RandomSeed, .Host = Options.Name}),
        Context{.Where = Where,
                .Self = {.Name = Options.Name, .StartTime = StartTime},
                .Limits = {.Lifetime = Options.TokenLifetime},
                .TokenKey = deriveKey(Options.FleetKey, "token"),
                .StartedAt = Clock::now(),
                .CallerSocket = Bound.Caller,
                .Meter = *Bound.Meter,
                .Servers = Servers},
        Requests(Context, {.MaxRequestRecords = Options.MaxRequestRecords}),
        Subscriptions(Context, {.MaxSubscriptions = Options.MaxSubscriptions}),
        Members(Where, membershipOptions(),
                [this](const Bytes &Envelope, const UdpEndpoint &Peer) {
                  Peers.sendControl(Envelope, Peer);
                }),
        Store(storeOptions()),
        Sync(Where, syncOptions(), peerCalls(), sync::platformCalls(Store)),
        Router(Context, Requests, Subscriptions, Members, Peers),
        Stopped(Where) {}

  membership::MembershipOptions membershipOptions() {
    return {.Self = Self,
            .Seeds = Options.Seeds,
            .RandomSeed = Options.RandomSeed,
            .OnChange =
                [this](const membership::Member &) { Sync.membersChanged(); },
            .OnReplaced = [this](Incarnation Newer) { handleReplaced(Newer); }};
  }

  config::StoreClientOptions storeOptions() const {
    return {.Address = Options.Platform, .RandomSeed = Options.RandomSeed};
  }

  sync::SyncOptions syncOptions() {
    return {.RandomSeed = Options.RandomSeed,
            .OnApplied = [this](const sync::VersionHistory &History) {
              apply(*History.Set, History.Version);
            }};
  }

  sync::PeerCalls peerCalls() {
    return {.Members = [this] { return Members.members(); },
            .Send =
                [this](const Bytes &Envelope, const UdpEndpoint &Peer) {
                  Peers.sendControl(Envelope, Peer);
                }};
  }

  void apply(const config::ObjectSet &Objects, ConfigVersion Version);
  Task<> receiveFromCallers();
  Task<> receiveFromPeers();
  void handlePeerMessage(const wire::Envelope &Message,
                         const ReceivedDatagram &Received);
  void handleRelay(const wire::Envelope &Message, const UdpEndpoint &Sender);
  Task<> serveSync(WebSocket::Pointer Connection);
  void explain(WebSocket &Connection, const Json &Request);
  void handleReplaced(Incarnation Newer);
  Task<> discoverPeers();
  Task<> stop();
  Task<> runHousekeeping();
  StatusReport status() const;
  void updateMetrics();
  void writePortsFile() const;
  // Initializer lists in a coroutine's body corrupt its frame with g++ 12, so
  // coroutines log through plain functions.
  void logReady() const;
  void logLeaving() const;

  Executor Where;
  Settings Options;
  Sockets Bound;
  membership::Member Self;
  MacKey PeerKey;
  PeerLink Peers;
  routing::Dispatcher Servers;
  HostContext Context;
  RequestService Requests;
  SubscriptionService Subscriptions;
  membership::Membership Members;
  config::StoreClient Store;
  sync::ConfigSync Sync;
  FlowRouter Router;
  Notifier Stopped;
  std::uint64_t ControlBytesReceived = 0;
  bool Finished = false;
};

Expected<std::unique_ptr<EntryHost>> EntryHost::start(const Executor &Where,
                                                      Settings Options) {
  auto Bound = bindSockets(Where, Options);
  if (!Bound)
    return Unexpected(Bound.error());
  auto Implementation = std::make_unique<Impl>(
      Where, std::move(Options), std::move(*Bound), incarnationNow());
  return std::unique_ptr<EntryHost>(new EntryHost(std::move(Implementation)));
}

EntryHost::EntryHost(std::unique_ptr<Impl> Implementation)
    : Implementation(std::move(Implementation)) {}
EntryHost::~EntryHost() = default;

Task<> EntryHost::run() {
  Impl &Host = *Implementation;
  spawn(Host.Where, "membership", Host.Members.run());
  spawn(Host.Where, "peer_datagrams", Host.receiveFromPeers());
  spawn(Host.Where, "caller_datagrams", Host.receiveFromCallers());
  spawn(Host.Where, "config_sync", Host.Sync.run());
  spawn(Host.Where, "find_peers", Host.discoverPeers());
  spawn(Host.Where, "housekeeping", Host.runHousekeeping());
  spawn(Host.Where, "sync_listener",
        Host.Bound.Sync.serve([&Host](WebSocket::Pointer Connection) {
          return Host.serveSync(Connection);
        }));
  Host.writePortsFile();
  Host.logReady();
  while (!Host.Finished)
    co_await Host.Stopped.wait();
}

Task<> EntryHost::stop() { co_await Implementation->stop(); }

Task<> EntryHost::Impl::stop() {
  if (Context.Leaving)
    co_return;
  Context.Leaving = true;
  Members.announceLeaving();
  logLeaving();
  // No more tokens are issued, so after this time no valid token remains and
  // no new request can arrive.
  co_await sleepFor(Context.Limits.Lifetime + Context.Limits.Grace);
  co_await Requests.waitUntilIdle();
  co_await Servers.waitUntilIdle();
  Members.announceLeft();
  co_await sleepFor(FlushDelay);
  log(LogLevel::Info, "left");
  Finished = true;
  Stopped.notifyAll();
}

//! Stops this process: other hosts could not tell two owners of the same name
//! apart.
void EntryHost::Impl::handleReplaced(Incarnation Newer) {
  log(LogLevel::Error, "replaced", {{"incarnation", Newer.value()}});
  Finished = true;
  Stopped.notifyAll();
}

void EntryHost::Impl::apply(const config::ObjectSet &Objects,
                            ConfigVersion Version) {
  log(LogLevel::Info, "configuration_applied",
      {{"version", Version.value()}, {"before", Context.Version.value()}});
  Context.Version = Version;
  Context.Services = makeServiceTable(Objects);
  Servers.apply(Objects);
  Members.setVersion(Version);
  for (const auto &[Name, Drain] : Objects.EntryHostDrains)
    if (Drain.Host == Options.Name)
      spawn(Where, "stop", stop());
}

Task<> EntryHost::Impl::receiveFromCallers() {
  while (true) {
    const auto Received = co_await Bound.Caller.receive();
    if (!Received)
      co_return;
    Router.handle(Received->Payload, Received->Sender, ArrivalPath::Direct);
  }
}

Task<> EntryHost::Impl::receiveFromPeers() {
  while (true) {
    const auto Received = co_await Bound.Peer.receive();
    if (!Received)
      co_return;
    const auto Message = wire::unsealEnvelope(PeerKey, Received->Payload,
                                              toString(Received->Sender));
    if (Message)
      handlePeerMessage(*Message, *Received);
    else
      Bound.Meter->countRefused("bad_peer_datagram");
  }
}

void EntryHost::Impl::handlePeerMessage(const wire::Envelope &Message,
                                        const ReceivedDatagram &Received) {
  if (Message.Type == wire::RelayType) {
    handleRelay(Message, Received.Sender);
    return;
  }
  ControlBytesReceived += Received.Payload.size();
  if (Message.Type == wire::AnnouncementType)
    Sync.handleAnnouncement(Message, Received.Sender);
  else
    Members.handle(Message, Received.Sender);
}

void EntryHost::Impl::handleRelay(const wire::Envelope &Message,
                                  const UdpEndpoint &Sender) {
  const auto Relayed = wire::decodeRelay(Message, toString(Sender));
  const auto Caller = Relayed
                          ? parseUdpEndpoint(Relayed->Caller, "decode relay")
                          : Unexpected(Relayed.error());
  if (!Caller) {
    Bound.Meter->countRefused("malformed_relay");
    return;
  }
  Bound.Meter->countRelay("received");
  Router.handle(Relayed->Payload, *Caller,
                Relayed->Takeover ? ArrivalPath::Takeover
                                  : ArrivalPath::Relayed);
}

Task<> EntryHost::Impl::serveSync(WebSocket::Pointer Connection) {
  while (true) {
    auto Message = co_await Connection->receive();
    if (!Message || !Message->is_object())
      co_return;
    if (Message->value("type", Json()) == "status_request")
      Connection->send(toJson(status()));
    else if (Message->value("type", Json()) == "explain_request")
      explain(*Connection, *Message);
    else
      co_await Sync.serve(Connection, std::move(*Message));
  }
}

void EntryHost::Impl::explain(WebSocket &Connection, const Json &Request) {
  const auto Service = serviceOfExplainRequest(Request, Connection.peer());
  if (Service)
    Connection.send(toJson(Servers.explain(*Service), Options.Name, *Service));
  else
    log(LogLevel::Warn, "explain_request_invalid",
        {{"error", describe(Service.error())}});
}

//! Reads peer addresses from the platform until a peer has answered.
Task<> EntryHost::Impl::discoverPeers() {
  while (!Finished && Members.reachable().empty()) {
    const TimePoint Deadline = Clock::now() + PlatformTimeout;
    const auto Listed = co_await Store.hosts(Deadline);
    std::vector<UdpEndpoint> Addresses;
    if (Listed)
      for (const config::PlatformHost &Host : *Listed)
        if (const auto Address =
                parseUdpEndpoint(Host.PeerAddress, "read host list"))
          Addresses.push_back(*Address);
    Members.addSeeds(Addresses);
    co_await sleepFor(DiscoverPeersPeriod);
  }
}

StatusReport EntryHost::Impl::status() const {
  return {.Self = Members.self(),
          .ObjectsDigest = Sync.history().ObjectsDigest,
          .Draining = Context.Leaving,
          .Evacuated = Servers.evacuated(),
          .Members = Members.members(),
          .Servers = Servers.status()};
}

void EntryHost::Impl::updateMetrics() {
  Metrics &Meter = *Bound.Meter;
  Meter.setGauge("feeds", static_cast<double>(Subscriptions.size()));
  Meter.setGauge("requests_in_progress",
                 static_cast<double>(Requests.inProgress()));
  Meter.setGauge("ledger_entries",
                 static_cast<double>(Requests.requestRecords()));
  Meter.setGauge("config_version",
                 static_cast<double>(Context.Version.value()));
  Meter.setGauge("evacuated_failure_domains",
                 static_cast<double>(Servers.evacuated().size()));
  std::map<std::string, double> Counts;
  for (const membership::Member &Entry : Members.members())
    ++Counts[toString(Entry.State)];
  for (const char *State : {"alive", "suspect", "leaving", "dead", "left"})
    Meter.setMembers(State, Counts[State]);
  Meter.setControlBytes("sent", static_cast<double>(Peers.controlBytesSent()));
  Meter.setControlBytes("received", static_cast<double>(ControlBytesReceived));
}

Task<> EntryHost::Impl::runHousekeeping() {
  while (!Finished) {
    Requests.expire();
    Subscriptions.expire();
    updateMetrics();
    co_await sleepFor(HousekeepingPeriod);
  }
}

void EntryHost::Impl::logReady() const {
  log(LogLevel::Info, "ready",
      {{"host", Options.Name.value()},
       {"callers", toString(Bound.Caller.localEndpoint())},
       {"peers", toString(Bound.Peer.localEndpoint())},
       {"sync", toString(Bound.Sync.localEndpoint())},
       {"metrics", toString(Bound.Meter->endpoint())}});
}

void EntryHost::Impl::logLeaving() const {
  log(LogLevel::Info, "leaving", {{"in_progress", Requests.inProgress()}});
}

void EntryHost::Impl::writePortsFile() const {
  if (Options.PortsFile.empty())
    return;
  const Json Ports = {{"callers", toString(Bound.Caller.localEndpoint())},
                      {"peers", toString(Bound.Peer.localEndpoint())},
                      {"sync", toString(Bound.Sync.localEndpoint())},
                      {"metrics", toString(Bound.Meter->endpoint())}};
  // Renamed into place, so that no reader sees a partial file.
  const std::string Temporary = Options.PortsFile + ".tmp";
  std::ofstream(Temporary) << Ports.dump() << "\n";
  if (std::rename(Temporary.c_str(), Options.PortsFile.c_str()) != 0)
    log(LogLevel::Error, "ports_file_failed", {{"file", Options.PortsFile}});
}

} // namespace buckthorndeck::entryhost
