#include "buckthorndeck/forwarding/RegistryReader.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/forwarding/Snapshot.h"

#include <algorithm>
#include <utility>

namespace buckthorndeck::forwarding {

namespace {

//! Minimum time between two refreshes requested by packets with unknown tokens.
constexpr Milliseconds RefreshInterval{1000};
//! For how long after its start a host compares its evacuations with those that
//! peers announce. It has heard of its peers by then.
constexpr Milliseconds StartTime{10'000};
//! A snapshot has tens of KB, while control traffic is limited to 4 KB/s.
constexpr Milliseconds EvacuationQueryInterval{10'000};
constexpr unsigned MaxPageRetries = 5;
// The store truncates answers at about 500 items or 1 MB. The next call after a
// truncated answer is made without a pause: with pauses, thousands of servers
// took 18 s to arrive.
constexpr std::size_t TruncatedAnswerEvents = 250;
constexpr std::size_t TruncatedAnswerBytes = 400'000;
//! Wait of the first watch after a failed call. Its answer names the store's
//! era, which a watch that waits would tell only after a change.
constexpr Milliseconds WaitAfterFailure{10};
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
       {"era", Changes.AsOf.Era.value()},
       {"revision", Changes.AsOf.Revision.value()}});
}

//! Whether the answer may lack changes that did not fit.
bool mayBeTruncated(const RegistryChanges &Changes) {
  return Changes.Events >= TruncatedAnswerEvents ||
         Changes.Bytes >= TruncatedAnswerBytes;
}

//! Whether the same watch would fail again: its history is no longer kept, or
//! its answer can't be read.
bool failsAgain(const Error &Failure) {
  return Failure.Code == ErrorCode::Expired ||
         Failure.Code == ErrorCode::TooLarge ||
         Failure.Code == ErrorCode::Invalid;
}

//! An answer that the host must not use, since it knows a later position.
void logStaleAnswer(const char *Event, StorePosition Read,
                    StorePosition Known) {
  log(LogLevel::Info, Event,
      {{"era", Read.Era.value()},
       {"revision", Read.Revision.value()},
       {"known_era", Known.Era.value()},
       {"known", Known.Revision.value()}});
}

void logLoaded(const std::string &From, StorePosition AsOf, Forwarder &Target) {
  log(LogLevel::Info, "registry_loaded",
      {{"from", From},
       {"era", AsOf.Era.value()},
       {"revision", AsOf.Revision.value()},
       {"servers", Target.servers().size()},
       {"config_version", Target.routes().version().value()}});
}

void logPeerAsked(const Peer &Provider, const RegistryKnowledge &Own) {
  log(LogLevel::Info, "peer_ahead_asked",
      {{"peer", Provider.Name.value()},
       {"era", Own.Era.value()},
       {"config_version", Own.Config.value()}});
}

} // namespace

RegistryReader::RegistryReader(const Executor &Where,
                               const RegistryReaderOptions &Options,
                               RegistrySource Source, Forwarder &Target,
                               PeerDirectory &Peers)
    : Options(Options), Source(std::move(Source)), Target(Target), Peers(Peers),
      Known(Target, Options.ConfirmationTime, Options.RemovalLimit),
      Where(Where), Wake(std::make_shared<Notifier>(Where)),
      LoadedOrStopped(std::make_shared<Notifier>(Where)),
      Random(Options.RandomSeed),
      ServedChanges(Where, Known.view(), Target, maxRelayedAge(Options)),
      Relays(Known, Peers, Options.FreshnessLimit) {}

void RegistryReader::stop() {
  Stopped = true;
  ServedChanges.stop();
  Wake->notifyAll();
  LoadedOrStopped->notifyAll();
}

void RegistryReader::onPeerDiscovered() {
  if (!Loaded) {
    Wake->notifyAll();
    return;
  }
  const TimePoint Now = Clock::now();
  const bool MayLag =
      Now - LoadedAt < StartTime || viewAge() > Options.FreshnessLimit;
  if (!MayLag || Stopped || Now < NextEvacuationQueryAt)
    return;
  const std::optional<Peer> Provider =
      Peers.peerWithUnknownEvacuation(Known.knowledge());
  if (!Provider)
    return;
  NextEvacuationQueryAt = Now + EvacuationQueryInterval;
  logPeerAsked(*Provider, Known.knowledge());
  spawn(Where, "ask_for_evacuations", askForEvacuations(*Provider));
}

Task<> RegistryReader::askForEvacuations(Peer Provider) {
  const std::optional<RegistryChanges> Snapshot =
      co_await readSnapshot(Provider);
  if (Snapshot)
    Known.mergeEvacuations(*Snapshot);
  else
    NextEvacuationQueryAt = Clock::now() + RefreshInterval;
}

Bytes RegistryReader::snapshot() const {
  return encodeSnapshot(Target.servers(), Target.routes(), Known.view().AsOf,
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
  LoadedAt = Clock::now();
  logLoaded(From, Known.view().AsOf, Target);
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
  ++StoreCalls;
  if (Failure) {
    ++ConsecutiveFailures;
    if (Failure->Code != ErrorCode::TooLarge)
      Known.recordStoreFailure();
    logStoreFailure(*Failure, ConsecutiveFailures, LastAnswerAt);
    return;
  }
  if (ConsecutiveFailures > 0)
    log(LogLevel::Info, "store_regained", {{"failures", ConsecutiveFailures}});
  ConsecutiveFailures = 0;
  LastAnswerAt = Clock::now();
}

//! Reads a page. Retries a page other than the first, and any page that the
//! store refuses because of its rate limit: when all hosts start at once,
//! restarting the whole read would only add load.
Task<Expected<RegistryPage>> RegistryReader::readPage(std::string From) {
  for (unsigned Attempt = 0;; ++Attempt) {
    Expected<RegistryPage> Page = co_await Source.ReadPage(From);
    if (Page) {
      recordCallResult(std::nullopt);
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
  PresentKeys Present;
  std::optional<StorePosition> First;
  std::string From;
  while (true) {
    Expected<RegistryPage> Page = co_await readPage(From);
    // If a peer's snapshot was loaded meanwhile, a watch returns later changes.
    if (!Page || (InitialLoad && Loaded))
      co_return false;
    const StorePosition Read = Page->Changes.AsOf;
    if (!First)
      First = Read;
    if (*First < Known.view().AsOf || Read.Era < First->Era) {
      logStaleAnswer("stale_read_ignored", Read, Known.view().AsOf);
      co_return false;
    }
    if (Read.Era != First->Era) {
      logStaleAnswer("read_broken_off", *First, Read);
      co_return false;
    }
    for (const ServerChange &Change : Page->Changes.Servers)
      if (Change.Record)
        Present.Servers.push_back(Change.Name);
    for (const EvacuationChange &Change : Page->Changes.Evacuations)
      Present.Evacuations.push_back(Change.Domain);
    Known.applyPage(Page->Changes);
    if (!Page->Next)
      break;
    From = *Page->Next;
  }
  Known.completeRead(std::move(Present), *First, Started);
  ServedChanges.recordAttempt();
  if (InitialLoad)
    co_await askPeerAhead();
  if (!Loaded)
    markLoaded("store");
  co_return true;
}

//! A host that has just started can't tell whether the store came back from a
//! copy a moment ago. Merges what a peer knows besides, if it says that it
//! does.
Task<> RegistryReader::askPeerAhead() {
  const std::optional<Peer> Provider = Peers.peerAheadOf(Known.knowledge());
  if (!Provider)
    co_return;
  logPeerAsked(*Provider, Known.knowledge());
  std::optional<RegistryChanges> Snapshot = co_await readSnapshot(*Provider);
  if (Snapshot)
    Known.mergeSnapshot(*Snapshot);
}

//! Loads servers and routes from a random peer's snapshot. Returns whether it
//! was applied.
Task<bool> RegistryReader::loadFromPeer() {
  const std::optional<Peer> Provider = Peers.randomPeer(Random);
  if (!Provider)
    co_return false;
  std::optional<RegistryChanges> Snapshot = co_await readSnapshot(*Provider);
  // The store may have answered meanwhile.
  if (!Snapshot || Loaded || Snapshot->AsOf < Known.view().AsOf ||
      Snapshot->Routes->Version == ConfigVersion())
    co_return false;
  Known.mergeSnapshot(*Snapshot);
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
  return Relays.selection().hasRelays() || KnownPeers != Peers.size();
}

//! How long the next watch of the store waits for a change.
Milliseconds RegistryReader::watchWait() const {
  if (ConsecutiveFailures > 0)
    return WaitAfterFailure;
  const Milliseconds Usual =
      watchesBriefly() ? Options.RelayWait : Options.WatchWait;
  const auto Due = Known.confirmationDue();
  if (!Due)
    return Usual;
  // A watch that begins at that time confirms entries.
  const auto Left = std::chrono::ceil<Milliseconds>(*Due - BootClock::now());
  return std::clamp(Left, std::min(WaitAfterFailure, Usual), Usual);
}

//! Backoff after a failed watch.
config::BackoffOptions RegistryReader::watchBackoff() const {
  config::BackoffOptions Result = Options.Backoff;
  // A host with a relay gets changes as soon as either reaches the store.
  if (Relays.selection().hasRelays() && !Relays.selection().isRoot())
    Result.Max =
        std::max(Result.Max, Options.FreshnessLimit / FollowerBackoffDivisor);
  return Result;
}

//! Pauses after a failed watch that began at Started.
Task<> RegistryReader::pauseAfterFailure(BootClock::time_point Started) {
  // The time of the failed call counts: a pause after a watch without response
  // would make the view older than the wait of the watch allows for.
  const auto Taken =
      std::chrono::duration_cast<Milliseconds>(BootClock::now() - Started);
  co_await pause(
      config::backoffDelay(watchBackoff(), ConsecutiveFailures - 1, Random) -
      Taken);
}

//! Watches the store once. Returns false if no watch leads on from the view:
//! the store no longer has the history, is in a later era, or gives an answer
//! that can't be read.
Task<bool> RegistryReader::watchStore() {
  const BootClock::time_point Started = BootClock::now();
  const Milliseconds Wait = watchWait();
  KnownPeers = Peers.size();
  Expected<RegistryChanges> Changes =
      co_await Source.Watch(Known.view().AsOf.Revision, Wait);
  if (Stopped)
    co_return true;
  const StorePosition Own = Known.view().AsOf;
  const bool ReadAnew = !Changes && failsAgain(Changes.error());
  if (Changes && Changes->AsOf.Era < Own.Era) {
    logStaleAnswer("stale_watch_ignored", Changes->AsOf, Own);
    Changes = Unexpected(Error{.Code = ErrorCode::Invalid,
                               .Step = "watch",
                               .Message = "the answer is of a former era"});
  }
  if (!Changes) {
    recordCallResult(Changes.error());
    StoreFailed = true;
    // After a complete read, peers that wait are answered by this host. Refused
    // now, they would all read the store.
    if (!ReadAnew)
      ServedChanges.recordAttempt();
    co_await pauseAfterFailure(Started);
    co_return !ReadAnew;
  }
  recordCallResult(std::nullopt);
  logWatch(*Changes);
  StoreFailed = false;
  if (Changes->AsOf.Era > Own.Era)
    co_return false;
  const bool Truncated = mayBeTruncated(*Changes);
  const std::size_t Events = Changes->Events;
  std::optional<AnswerTimes> Times;
  if (!Truncated)
    Times = {.VerifiedAt = Started, .CurrentAt = BootClock::now()};
  Known.applyChanges(*Changes, Times);
  ServedChanges.recordAttempt();
  if (Events > 0 && !Truncated)
    co_await pause(watchesBriefly() ? Options.RelayPause : Options.ChangePause);
  co_return true;
}

//! Asks relays for changes. Returns whether one answered.
Task<bool> RegistryReader::followRelays() {
  const unsigned Attempts =
      StoreFailed ? MaxRelayAttemptsWithoutStore : MaxRelayAttempts;
  for (unsigned Attempt = 0; Attempt < Attempts; ++Attempt) {
    const std::optional<bool> Answered = co_await Relays.follow(StoreFailed);
    if (!Answered || Stopped)
      co_return false;
    ServedChanges.recordAttempt();
    if (*Answered) {
      StoreFailed = false;
      co_return true;
    }
  }
  co_return false;
}

//! Applies changes until stop() or until a complete read is needed.
Task<> RegistryReader::watchChanges() {
  while (!Stopped && Known.knowsEvacuations()) {
    const bool Followed = co_await followRelays();
    if (Followed || Stopped)
      continue;
    const bool LeadsOn = co_await watchStore();
    if (!LeadsOn)
      co_return;
  }
}

Task<> RegistryReader::run() {
  spawn(Where, "ask_peers", requestPeerSnapshots());
  unsigned FailedLoads = 0;
  while (!Stopped) {
    bool Complete = LoadedFromPeer;
    if (!Complete)
      Complete = co_await load();
    if (std::exchange(LoadedFromPeer, false) || Complete) {
      FailedLoads = 0;
      co_await watchChanges();
    } else {
      const Milliseconds Delay =
          config::backoffDelay(Options.Backoff, FailedLoads, Random);
      ++FailedLoads;
      co_await pause(Delay);
    }
  }
}

} // namespace buckthorndeck::forwarding
