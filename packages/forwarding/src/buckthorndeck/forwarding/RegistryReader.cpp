#include "buckthorndeck/forwarding/RegistryReader.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/forwarding/Snapshot.h"
#include "buckthorndeck/net/HttpClient.h"

#include <algorithm>
#include <utility>

namespace buckthorndeck::forwarding {

namespace {

//! Minimum time between two refreshes requested by packets with unknown tokens.
constexpr Milliseconds RefreshInterval{1000};
constexpr unsigned MaxPageRetries = 5;
// The store truncates answers at about 500 items or 1 MB. The next call after a
// truncated answer is made without a pause: with pauses, thousands of servers
// took 18 s to arrive.
constexpr std::size_t TruncatedAnswerEvents = 250;
constexpr std::size_t TruncatedAnswerBytes = 400'000;
//! If one answer changes more servers than this, each change is logged at debug
//! level only, so as not to use up the line limit of the log. watch_answered
//! gives the number of events.
constexpr std::size_t MaxLoggedChanges = 20;
//! Peers in the own failure domain begin to answer within milliseconds.
constexpr CallTimeouts PeerTimeouts{.Response = Milliseconds(500),
                                    .Pause = Milliseconds(500)};
//! Longest call to a relay, as part of FreshnessLimit.
constexpr int RelayTimeoutDivisor = 2;
//! Longest backoff of a host with a relay, likewise.
constexpr int FollowerBackoffDivisor = 2;
//! Relays that are asked in a row before the store is.
constexpr unsigned MaxRelayAttempts = 2;
//! The same once the store has failed, so that it is soon asked again.
constexpr unsigned MaxRelayAttemptsWithoutStore = 1;
//! The store usually answers within tens of ms. If it has not answered by then,
//! a starting host also asks a peer, while packets still wait in the socket.
constexpr Milliseconds PeerFallbackDelay{120};

//! Oldest view that a relay passes on: a peer's view must last until its next
//! call has ended.
Milliseconds maxRelayedAge(const RegistryReaderOptions &Options) {
  return Options.FreshnessLimit - Options.RelayWait - Options.RelayPause;
}

void logStoreFailure(const Error &Failure, unsigned ConsecutiveFailures,
                     TimePoint LastAnswerAt) {
  const auto Age =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - LastAnswerAt);
  log(LogLevel::Warn,
      ConsecutiveFailures == 1 ? "store_lost" : "store_call_failed",
      {{"step", Failure.Step},
       {"peer", Failure.Peer},
       {"code", toString(Failure.Code)},
       {"error", Failure.Message},
       {"failures", ConsecutiveFailures},
       {"answer_age_ms", LastAnswerAt == TimePoint{} ? -1 : Age.count()}});
}

void logWatch(const RegistryChanges &Changes) {
  log(LogLevel::Info, "watch_answered",
      {{"events", Changes.Events},
       {"revision", Changes.AsOf.value()},
       {"era", Changes.Era.value()}});
}

//! Whether the answer may lack changes that did not fit.
bool mayBeTruncated(const RegistryChanges &Changes) {
  return Changes.Events >= TruncatedAnswerEvents ||
         Changes.Bytes >= TruncatedAnswerBytes;
}

void logStaleRead(const RegistryChanges &Read, StoreRevision Applied) {
  log(LogLevel::Info, "stale_read_ignored",
      {{"revision", Read.AsOf.value()},
       {"era", Read.Era.value()},
       {"known", Applied.value()}});
}

void logLoaded(const std::string &From, StoreRevision AsOf, Forwarder &Target) {
  log(LogLevel::Info, "registry_loaded",
      {{"from", From},
       {"revision", AsOf.value()},
       {"servers", Target.servers().size()},
       {"config_version", Target.routes().version().value()}});
}

void logRelayFailed(const Peer &Followed, const Error &Failure,
                    BootClock::duration ViewAge) {
  log(LogLevel::Info, "relay_failed",
      {{"peer", Followed.Name.value()},
       {"code", toString(Failure.Code)},
       {"error", Failure.Message},
       {"view_age_ms",
        std::chrono::duration_cast<Milliseconds>(ViewAge).count()}});
}

void logRelayed(const Peer &Followed, const RelayedChanges &Received) {
  log(LogLevel::Info, "changes_relayed",
      {{"peer", Followed.Name.value()},
       {"events", Received.Changes.Events},
       {"revision", Received.Changes.AsOf.value()},
       {"age_ms", Received.Age.count()}});
}

void logSnapshotFailed(const Peer &Provider,
                       const Expected<HttpResponse> &Answer) {
  log(LogLevel::Warn, "snapshot_failed",
      {{"peer", Provider.Name.value()},
       {"error", Answer ? "HTTP status " + std::to_string(Answer->Status)
                        : Answer.error().Message}});
}

void logSnapshotRejected(const Peer &Provider, const Error &Failure) {
  log(LogLevel::Warn, "snapshot_failed",
      {{"peer", Provider.Name.value()}, {"error", describe(Failure)}});
}

} // namespace

RegistryReader::RegistryReader(const Executor &Where,
                               const RegistryReaderOptions &Options,
                               RegistrySource Source, Forwarder &Target,
                               PeerDirectory &Peers)
    : Options(Options), Source(std::move(Source)), Target(Target), Peers(Peers),
      Where(Where), Wake(std::make_shared<Notifier>(Where)),
      LoadedOrStopped(std::make_shared<Notifier>(Where)),
      Random(Options.RandomSeed),
      ServedChanges(Where, View, Target, maxRelayedAge(Options)),
      Relays(Peers) {}

void RegistryReader::stop() {
  Stopped = true;
  ServedChanges.stop();
  Wake->notifyAll();
  LoadedOrStopped->notifyAll();
}

void RegistryReader::onPeerDiscovered() {
  if (!Loaded)
    Wake->notifyAll();
}

Bytes RegistryReader::snapshot() const {
  return encodeSnapshot(Target.servers(), Target.routes(), View.AsOf,
                        Clock::now());
}

void RegistryReader::refresh() {
  const TimePoint Now = Clock::now();
  if (Now - LastRefreshAt < RefreshInterval)
    return;
  LastRefreshAt = Now;
  Wake->notifyAll();
}

void RegistryReader::markLoaded(const std::string &From) {
  Loaded = true;
  logLoaded(From, View.AsOf, Target);
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

void RegistryReader::recordCallResult(std::optional<Error> Failure) {
  ++Counters.StoreCalls;
  if (Failure) {
    ++ConsecutiveFailures;
    logStoreFailure(*Failure, ConsecutiveFailures, LastAnswerAt);
    return;
  }
  if (ConsecutiveFailures > 0)
    log(LogLevel::Info, "store_regained", {{"failures", ConsecutiveFailures}});
  ConsecutiveFailures = 0;
  LastAnswerAt = Clock::now();
}

void RegistryReader::recordEra(StoreEra Era) {
  if (Era == LastEra)
    return;
  log(LogLevel::Warn, "store_era_changed",
      {{"era", Era.value()},
       {"before", LastEra.value()},
       {"known", View.AsOf.value()}});
  LastEra = Era;
}

void RegistryReader::apply(RegistryChanges &Changes) {
  const TimePoint Now = Clock::now();
  if (Changes.Routes)
    Target.applyRoutes(
        std::move(*Changes.Routes),
        Now - std::chrono::duration_cast<Clock::duration>(ageOf(View)));
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

//! Reads a page. Retries a page other than the first, and any page that the
//! store refuses because of its rate limit: when all hosts start at once,
//! restarting the whole read would only add load.
Task<Expected<RegistryPage>> RegistryReader::readPage(std::string From) {
  for (unsigned Attempt = 0;; ++Attempt) {
    Expected<RegistryPage> Page = co_await Source.ReadPage(From);
    if (Page) {
      recordCallResult(std::nullopt);
      recordEra(Page->Changes.Era);
      co_return Page;
    }
    recordCallResult(Page.error());
    const bool Retryable =
        !From.empty() || Page.error().Code == ErrorCode::Refused;
    if (Stopped || !Retryable || Attempt == MaxPageRetries)
      co_return Page;
    co_await pause(config::backoffDelay(Options.Backoff, Attempt, Random));
  }
}

//! Reads servers and routes from the store. Without a published configuration
//! there are no routes; the watch returns the first one.
Task<bool> RegistryReader::load() {
  const bool InitialLoad = !Loaded;
  const BootClock::time_point Started = BootClock::now();
  std::vector<std::string> PresentNames;
  std::optional<StoreRevision> FirstRevision;
  std::string From;
  while (true) {
    Expected<RegistryPage> Page = co_await readPage(From);
    // If a peer's snapshot was loaded meanwhile, a watch returns later changes.
    if (!Page || (InitialLoad && Loaded))
      co_return false;
    // Pages are read one after another: they may lack changes made after the
    // first one was read, so the watch continues from the first page's
    // revision.
    if (!FirstRevision)
      FirstRevision = Page->Changes.AsOf;
    if (*FirstRevision < View.AsOf) {
      logStaleRead(Page->Changes, View.AsOf);
      co_return false;
    }
    for (const ServerChange &Change : Page->Changes.Servers)
      if (Change.Record)
        PresentNames.push_back(Change.Name);
    apply(Page->Changes);
    if (!Page->Next)
      break;
    From = *Page->Next;
  }
  Target.retainServers(std::move(PresentNames), *FirstRevision, Clock::now());
  View = {.AsOf = *FirstRevision,
          .HistoryStart = *FirstRevision,
          .VerifiedAt = Started};
  if (!Loaded)
    markLoaded("store");
  co_return true;
}

//! Loads servers and routes from a random peer's snapshot. Returns whether it
//! was applied.
Task<bool> RegistryReader::loadFromPeer() {
  const std::optional<Peer> Provider = Peers.randomPeer(Random);
  if (!Provider)
    co_return false;
  HttpRequest Request;
  Request.Target = SnapshotPath;
  const Expected<HttpResponse> Answer =
      co_await callHttp(Provider->Snapshot, std::move(Request), PeerTimeouts);
  if (!Answer || Answer->Status != 200) {
    logSnapshotFailed(*Provider, Answer);
    co_return false;
  }
  Expected<RegistryChanges> Changes =
      decodeSnapshot(toBytes(Answer->Body), Provider->Name.value());
  if (!Changes) {
    logSnapshotRejected(*Provider, Changes.error());
    co_return false;
  }
  // The store may have answered meanwhile.
  if (Loaded || Changes->AsOf < View.AsOf ||
      Changes->Routes->Version == ConfigVersion())
    co_return false;
  // The snapshot does not say how old it is.
  View = {.AsOf = Changes->AsOf,
          .HistoryStart = Changes->AsOf,
          .VerifiedAt = NeverVerified};
  apply(*Changes);
  LoadedFromPeer = true;
  markLoaded(Provider->Name.value());
  co_return true;
}

//! Requests snapshots from peers until servers and routes are loaded from a
//! peer or the store.
Task<> RegistryReader::requestPeerSnapshots() {
  co_await sleepFor(PeerFallbackDelay);
  while (!Loaded && !Stopped) {
    const bool Complete = co_await loadFromPeer();
    if (!Complete && !Loaded)
      co_await pause(config::backoffDelay(Options.Backoff, 0, Random));
  }
}

//! Whether to watch with the wait and pause of a relay: other hosts wait for
//! this one, or it is still finding its peers and may soon know a relay.
bool RegistryReader::watchesBriefly() const {
  return Relays.hasRelays() || KnownPeers != Peers.size();
}

//! Backoff after a failed watch.
config::BackoffOptions RegistryReader::watchBackoff() const {
  config::BackoffOptions Result = Options.Backoff;
  // A host with a relay gets changes as soon as either reaches the store.
  if (Relays.hasRelays() && !Relays.isRoot())
    Result.Max =
        std::max(Result.Max, Options.FreshnessLimit / FollowerBackoffDivisor);
  return Result;
}

//! Watches the store once. Returns false if it no longer has the history since
//! the view's revision.
Task<bool> RegistryReader::watchStore() {
  const Milliseconds Wait =
      watchesBriefly() ? Options.RelayWait : Options.WatchWait;
  const BootClock::time_point Started = BootClock::now();
  KnownPeers = Peers.size();
  Expected<RegistryChanges> Changes = co_await Source.Watch(View.AsOf, Wait);
  if (Stopped)
    co_return true;
  if (!Changes) {
    recordCallResult(Changes.error());
    StoreFailed = true;
    ServedChanges.recordAttempt();
    // The time of the failed call counts: a pause after a watch without
    // response would make the view older than the wait of the watch allows for.
    const auto Taken =
        std::chrono::duration_cast<Milliseconds>(BootClock::now() - Started);
    co_await pause(
        config::backoffDelay(watchBackoff(), ConsecutiveFailures - 1, Random) -
        Taken);
    co_return Changes.error().Code != ErrorCode::Expired;
  }
  recordCallResult(std::nullopt);
  recordEra(Changes->Era);
  logWatch(*Changes);
  StoreFailed = false;
  apply(*Changes);
  View.AsOf = std::max(View.AsOf, Changes->AsOf);
  const bool Truncated = mayBeTruncated(*Changes);
  if (!Truncated)
    View.VerifiedAt = Started;
  ServedChanges.recordAttempt();
  if (Changes->Events > 0 && !Truncated)
    co_await pause(watchesBriefly() ? Options.RelayPause : Options.ChangePause);
  co_return true;
}

//! Time that a call to a relay may take; zero if the store must be asked now.
Milliseconds RegistryReader::relayTimeout() const {
  const Milliseconds Longest = Options.FreshnessLimit / RelayTimeoutDivisor;
  const auto Left = std::chrono::duration_cast<Milliseconds>(
      Options.FreshnessLimit - ageOf(View));
  // While the store does not answer, relays are the only source, however old
  // the view is.
  if (Left.count() <= 0)
    return StoreFailed ? Longest : Milliseconds(0);
  return std::min(Left, Longest);
}

//! Asks relays for changes. Returns whether one answered.
Task<bool> RegistryReader::followRelays() {
  const unsigned Attempts =
      StoreFailed ? MaxRelayAttemptsWithoutStore : MaxRelayAttempts;
  for (unsigned Attempt = 0; Attempt < Attempts; ++Attempt) {
    const std::optional<Peer> Followed = Relays.choose(Clock::now());
    const Milliseconds Timeout = relayTimeout();
    if (!Followed || Timeout.count() == 0)
      co_return false;
    const bool Answered = co_await followRelay(*Followed, Timeout);
    if (Answered || Stopped)
      co_return Answered;
  }
  co_return false;
}

//! The changes in a relay's answer, if they lead on from this host's view.
Expected<RelayedChanges>
RegistryReader::checkRelayed(const Expected<HttpResponse> &Answer,
                             const Peer &Followed,
                             BootClock::time_point Asked) const {
  const auto Failed = [&](ErrorCode Code, const std::string &Message) {
    return Unexpected(Error{.Code = Code,
                            .Step = "read changes",
                            .Peer = Followed.Name.value(),
                            .Message = Message});
  };
  if (!Answer)
    return Unexpected(Answer.error());
  if (Answer->Status != 200)
    return Failed(ErrorCode::Refused,
                  "HTTP status " + std::to_string(Answer->Status));
  Expected<RelayedChanges> Received =
      decodeChanges(toBytes(Answer->Body), Followed.Name.value());
  if (!Received)
    return Received;
  if (Received->Changes.AsOf < View.AsOf)
    return Failed(ErrorCode::Invalid,
                  "revision " + std::to_string(Received->Changes.AsOf.value()) +
                      " is behind revision " +
                      std::to_string(View.AsOf.value()));
  if (BootClock::now() - Asked + Received->Age > Options.FreshnessLimit)
    return Failed(ErrorCode::Expired, "the answer is too old");
  return Received;
}

//! Asks a relay for changes. Returns whether it answered.
Task<bool> RegistryReader::followRelay(Peer Followed, Milliseconds Timeout) {
  ++Counters.RelayCalls;
  HttpRequest Request;
  Request.Target =
      changesTarget({.After = View.AsOf, .Config = Target.routes().version()});
  const BootClock::time_point Asked = BootClock::now();
  const Expected<HttpResponse> Answer =
      co_await callHttp(Followed.Snapshot, std::move(Request), Timeout);
  if (Stopped)
    co_return false;
  Expected<RelayedChanges> Received = checkRelayed(Answer, Followed, Asked);
  if (!Received) {
    ++Counters.RelayFailures;
    logRelayFailed(Followed, Received.error(), ageOf(View));
    Relays.markFailed(Followed.Name, Clock::now());
    ServedChanges.recordAttempt();
    co_return false;
  }
  if (Received->Changes.Events > 0 || FollowedRelay != Followed.Name.value())
    logRelayed(Followed, *Received);
  FollowedRelay = Followed.Name.value();
  apply(Received->Changes);
  View.AsOf = Received->Changes.AsOf;
  View.VerifiedAt = std::max(View.VerifiedAt, Asked - Received->Age);
  StoreFailed = false;
  ServedChanges.recordAttempt();
  co_return true;
}

//! Applies changes until stop() or until the store no longer has the history
//! since the view's revision.
Task<> RegistryReader::watchChanges() {
  while (!Stopped) {
    const bool Followed = co_await followRelays();
    if (Followed || Stopped)
      continue;
    const bool HasHistory = co_await watchStore();
    if (!HasHistory)
      co_return;
  }
}

Task<> RegistryReader::run() {
  spawn(Where, "ask_peers", requestPeerSnapshots());
  while (!Stopped) {
    bool Complete = LoadedFromPeer;
    if (!Complete)
      Complete = co_await load();
    if (std::exchange(LoadedFromPeer, false) || Complete)
      co_await watchChanges();
    else
      co_await pause(config::backoffDelay(
          Options.Backoff,
          ConsecutiveFailures == 0 ? 0 : ConsecutiveFailures - 1, Random));
  }
}

} // namespace buckthorndeck::forwarding
