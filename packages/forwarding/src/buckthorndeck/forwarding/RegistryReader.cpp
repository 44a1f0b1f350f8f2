#include "buckthorndeck/forwarding/RegistryReader.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/forwarding/Snapshot.h"
#include "buckthorndeck/net/HttpClient.h"

#include <algorithm>
#include <utility>

namespace buckthorndeck::forwarding {

namespace {

//! Least time between two refreshes that packets with unknown tokens cause.
constexpr Milliseconds RefreshInterval{1000};
constexpr unsigned MaxPageRetries = 5;
// The store cuts answers at about 500 items or 1 MB. A pause after a cut answer
// would put off what it did not hold; thousands of servers took 18 s to arrive.
constexpr std::size_t CutAnswerEvents = 250;
constexpr std::size_t CutAnswerBytes = 400'000;
//! More changes of servers in one answer are logged at debug level, since they
//! would use up the lines of other events; watch_answered gives their number.
constexpr std::size_t MaxLoggedChanges = 20;
//! A peer of the own failure domain answers within milliseconds.
constexpr Milliseconds PeerTimeout{500};
//! The store answers within tens of ms. A host that starts asks a peer as well
//! if it has not, while packets still wait in the socket.
constexpr Milliseconds PeerDelay{120};

void logLost(const Error &Failure, unsigned Failures, TimePoint AnsweredAt) {
  const auto Age =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - AnsweredAt);
  log(LogLevel::Warn, Failures == 1 ? "store_lost" : "store_call_failed",
      {{"step", Failure.Step},
       {"peer", Failure.Peer},
       {"code", toString(Failure.Code)},
       {"error", Failure.Message},
       {"failures", Failures},
       {"answer_age_ms", AnsweredAt == TimePoint{} ? -1 : Age.count()}});
}

void logWatch(const RegistryChanges &Changes) {
  log(LogLevel::Info, "watch_answered",
      {{"events", Changes.Events}, {"revision", Changes.AsOf.value()}});
}

//! Whether more changes may be waiting that did not fit into the answer.
bool mayBeCut(const RegistryChanges &Changes) {
  return Changes.Events >= CutAnswerEvents || Changes.Bytes >= CutAnswerBytes;
}

void logStaleRead(StoreRevision Read, StoreRevision Known) {
  log(LogLevel::Info, "stale_read_ignored",
      {{"revision", Read.value()}, {"known", Known.value()}});
}

void logLoaded(const std::string &From, StoreRevision Position,
               Forwarder &Target) {
  log(LogLevel::Info, "registry_loaded",
      {{"from", From},
       {"revision", Position.value()},
       {"servers", Target.servers().size()},
       {"config_version", Target.routes().version().value()}});
}

void logPeerFailed(const Peer &Asked, const Expected<HttpResponse> &Answer) {
  log(LogLevel::Warn, "snapshot_failed",
      {{"peer", Asked.Name.value()},
       {"error", Answer ? "status " + std::to_string(Answer->Status)
                        : Answer.error().Message}});
}

void logPeerRefused(const Peer &Asked, const Error &Failure) {
  log(LogLevel::Warn, "snapshot_failed",
      {{"peer", Asked.Name.value()}, {"error", describe(Failure)}});
}

} // namespace

RegistryReader::RegistryReader(const Executor &Where,
                               const RegistryReaderOptions &Options,
                               RegistrySource Source, Forwarder &Target,
                               PeerDirectory &Peers)
    : Options(Options), Source(std::move(Source)), Target(Target), Peers(Peers),
      Where(Where), Wake(std::make_shared<Notifier>(Where)),
      LoadedOrStopped(std::make_shared<Notifier>(Where)),
      Random(Options.RandomSeed) {}

void RegistryReader::stop() {
  Stopped = true;
  Wake->notifyAll();
  LoadedOrStopped->notifyAll();
}

void RegistryReader::onPeerDiscovered() {
  if (!Loaded)
    Wake->notifyAll();
}

Bytes RegistryReader::snapshot() const {
  return encodeSnapshot(Target.servers(), Target.routes(), Position);
}

void RegistryReader::refresh() {
  const TimePoint Now = Clock::now();
  if (Now - RefreshedAt < RefreshInterval)
    return;
  RefreshedAt = Now;
  Wake->notifyAll();
}

void RegistryReader::markLoaded(const std::string &From) {
  Loaded = true;
  logLoaded(From, Position, Target);
  LoadedOrStopped->notifyAll();
}

Task<> RegistryReader::waitLoaded() {
  while (!Loaded && !Stopped)
    co_await LoadedOrStopped->wait();
}

Task<> RegistryReader::pause(Milliseconds Delay) {
  if (Stopped)
    co_return;
  const TimePoint Until = Clock::now() + Delay;
  co_await Wake->waitUntil(Until);
}

void RegistryReader::recordAnswer(std::optional<Error> Failure) {
  ++Calls;
  if (Failure) {
    ++Failures;
    logLost(*Failure, Failures, AnsweredAt);
    return;
  }
  if (Failures > 0)
    log(LogLevel::Info, "store_regained", {{"failures", Failures}});
  Failures = 0;
  AnsweredAt = Clock::now();
}

void RegistryReader::apply(RegistryChanges &Changes) {
  const TimePoint Now = Clock::now();
  if (Changes.Routes)
    Target.applyRoutes(std::move(*Changes.Routes));
  const LogLevel Level = Changes.Servers.size() > MaxLoggedChanges
                             ? LogLevel::Debug
                             : LogLevel::Info;
  for (ServerChange &Change : Changes.Servers) {
    if (Change.Record)
      Target.updateServer(std::move(*Change.Record), Change.Revision, Now,
                          Level);
    else
      Target.removeServer(Change.Name, Change.Revision, Now);
  }
}

Task<bool> RegistryReader::readRoutes() {
  Expected<RegistryChanges> Changes = co_await Source.ReadRoutes();
  if (!Changes && Changes.error().Code == ErrorCode::NotFound) {
    // Nothing is published yet; the watch brings the first version.
    recordAnswer(std::nullopt);
    co_return true;
  }
  if (!Changes) {
    recordAnswer(Changes.error());
    co_return false;
  }
  recordAnswer(std::nullopt);
  apply(*Changes);
  co_return true;
}

//! Repeats the read of a page that failed after others were read, or that the
//! store refused because it is over its rate: when all hosts start at once,
//! beginning anew would only add to the load.
Task<Expected<RegistryPage>> RegistryReader::readPage(std::string From) {
  for (unsigned Attempt = 0;; ++Attempt) {
    Expected<RegistryPage> Page = co_await Source.ReadServers(From);
    if (Page) {
      recordAnswer(std::nullopt);
      co_return Page;
    }
    recordAnswer(Page.error());
    const bool Repeated =
        !From.empty() || Page.error().Code == ErrorCode::Refused;
    if (Stopped || !Repeated || Attempt == MaxPageRetries)
      co_return Page;
    co_await pause(config::backoffDelay(Options.Backoff, Attempt, Random));
  }
}

Task<bool> RegistryReader::readServers() {
  const bool Starting = !Loaded;
  std::vector<std::string> Present;
  std::optional<StoreRevision> First;
  std::string From;
  while (true) {
    Expected<RegistryPage> Page = co_await readPage(From);
    // A peer was faster; a watch brings what has changed since.
    if (!Page || (Starting && Loaded))
      co_return false;
    // Pages are not a snapshot: changes after the first may be missing.
    if (!First)
      First = Page->Changes.AsOf;
    if (*First < Position) {
      logStaleRead(*First, Position);
      co_return false;
    }
    for (const ServerChange &Change : Page->Changes.Servers)
      if (Change.Record)
        Present.push_back(Change.Name);
    apply(Page->Changes);
    if (!Page->Next)
      break;
    From = *Page->Next;
  }
  Target.retainServers(std::move(Present), *First, Clock::now());
  Position = *First;
  co_return true;
}

Task<bool> RegistryReader::load() {
  const bool HasServers = co_await readServers();
  if (!HasServers)
    co_return false;
  const bool HasRoutes = co_await readRoutes();
  if (!HasRoutes)
    co_return false;
  if (!Loaded)
    markLoaded("store");
  co_return true;
}

//! Takes servers and routes over from a host of the own failure domain.
Task<bool> RegistryReader::loadFromPeer() {
  const std::optional<Peer> Chosen = Peers.randomPeer(Random);
  if (!Chosen)
    co_return false;
  HttpRequest Request;
  Request.Target = SnapshotPath;
  const Expected<HttpResponse> Answer =
      co_await callHttp(Chosen->Snapshot, std::move(Request), PeerTimeout);
  if (!Answer || Answer->Status != 200) {
    logPeerFailed(*Chosen, Answer);
    co_return false;
  }
  Expected<RegistryChanges> Changes =
      decodeSnapshot(toBytes(Answer->Body), Chosen->Name.value());
  if (!Changes) {
    logPeerRefused(*Chosen, Changes.error());
    co_return false;
  }
  // The store may have answered meanwhile.
  if (Loaded || Changes->AsOf < Position ||
      Changes->Routes->Version == ConfigVersion())
    co_return false;
  Position = Changes->AsOf;
  apply(*Changes);
  LoadedFromPeer = true;
  markLoaded(Chosen->Name.value());
  co_return true;
}

//! Asks peers until they or the store have answered.
Task<> RegistryReader::askPeers() {
  co_await sleepFor(PeerDelay);
  while (!Loaded && !Stopped) {
    const bool Complete = co_await loadFromPeer();
    if (!Complete && !Loaded)
      co_await pause(config::backoffDelay(Options.Backoff, 0, Random));
  }
}

//! Watches until the history is lost.
Task<> RegistryReader::follow() {
  while (!Stopped) {
    Expected<RegistryChanges> Changes =
        co_await Source.Watch(Position, Options.WatchWait);
    if (Stopped)
      co_return;
    if (!Changes) {
      recordAnswer(Changes.error());
      co_await pause(
          config::backoffDelay(Options.Backoff, Failures - 1, Random));
      if (Changes.error().Code == ErrorCode::Expired)
        co_return;
      continue;
    }
    recordAnswer(std::nullopt);
    logWatch(*Changes);
    apply(*Changes);
    Position = std::max(Position, Changes->AsOf);
    if (Changes->Events > 0 && !mayBeCut(*Changes))
      co_await pause(Options.ChangePause);
  }
}

Task<> RegistryReader::run() {
  spawn(Where, "ask_peers", askPeers());
  while (!Stopped) {
    bool Complete = LoadedFromPeer;
    if (!Complete)
      Complete = co_await load();
    if (std::exchange(LoadedFromPeer, false) || Complete)
      co_await follow();
    else
      co_await pause(config::backoffDelay(
          Options.Backoff, Failures == 0 ? 0 : Failures - 1, Random));
  }
}

} // namespace buckthorndeck::forwarding
