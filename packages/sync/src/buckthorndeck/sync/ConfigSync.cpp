#include "buckthorndeck/sync/ConfigSync.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/StoreClient.h"
#include "buckthorndeck/membership/Watchers.h"
#include "buckthorndeck/net/Notifier.h"

#include <algorithm>
#include <bit>
#include <gsl/gsl_util>
#include <optional>

namespace buckthorndeck::sync {

using membership::Member;
using membership::MemberState;

namespace {

//! Each watch counts as one call to the platform, so the timeout is long. It is
//! finite because a host may cease to be a platform watcher.
constexpr Milliseconds ManifestWatchTimeout{20'000};
//! Time limit on reading a set from the platform.
constexpr Milliseconds PublishedReadTimeout{5000};
//! Waits for a change end after this time in case a notification was missed.
constexpr Milliseconds RecheckInterval{1000};

bool isReachable(const Member &Candidate) {
  return Candidate.State != MemberState::Dead &&
         Candidate.State != MemberState::Left;
}

Task<Expected<std::optional<config::StoredManifest>>>
waitForManifest(config::StoreClient *Store, std::uint64_t After) {
  auto Value =
      co_await Store->watch(config::ManifestKey, After, ManifestWatchTimeout);
  if (!Value)
    co_return Unexpected(Value.error());
  if (!*Value)
    co_return std::optional<config::StoredManifest>();
  auto Content = config::parseManifest((*Value)->Value, config::ManifestKey);
  if (!Content)
    co_return Unexpected(Content.error());
  co_return config::StoredManifest{.ManifestContent = std::move(*Content),
                                   .Revision = (*Value)->Revision};
}

Task<Expected<config::PublishedSet>>
readPublished(config::StoreClient *Store,
              std::shared_ptr<config::ShardCache> Cache,
              std::uint64_t MinRevision) {
  co_return co_await config::readPublished(
      *Store, Clock::now() + PublishedReadTimeout, MinRevision, Cache.get());
}

} // namespace

PlatformCalls platformCalls(config::StoreClient &Store) {
  auto Cache = std::make_shared<config::ShardCache>();
  return PlatformCalls{.WaitForManifest =
                           [&Store](std::uint64_t After) {
                             return waitForManifest(&Store, After);
                           },
                       .ReadPublished =
                           [&Store, Cache](std::uint64_t MinRevision) {
                             return readPublished(&Store, Cache, MinRevision);
                           }};
}

struct ConfigSync::Impl : std::enable_shared_from_this<ConfigSync::Impl> {
  Impl(Executor Where, SyncOptions Options, PeerCalls Peers,
       PlatformCalls Platform)
      : Where(std::move(Where)), Options(std::move(Options)),
        Peers(std::move(Peers)), Platform(std::move(Platform)),
        Random(this->Options.RandomSeed),
        StateChanged(std::make_shared<Notifier>(this->Where)) {
    if (!this->Peers.Pull)
      this->Peers.Pull = [Limit = this->Options.PageTimeout](
                             TcpEndpoint Peer, SyncRequest Request) {
        return pullFrom(std::move(Peer), Request, Limit);
      };
  }

  TimePoint now() const { return Options.Time.Now(); }

  Milliseconds jitter(Milliseconds Limit) {
    return Milliseconds(randomBelow(Random, Limit.count() + 1));
  }

  Milliseconds backoff(unsigned Failures) {
    const unsigned Attempt = std::min(Failures, 16U) - 1;
    return config::backoffDelay(
        {.First = Options.FirstBackoff, .Max = Options.MaxBackoff}, Attempt,
        Random);
  }

  bool isPlatformWatcher() const {
    const std::vector<Member> Members = Peers.Members();
    const auto Watchers = membership::choosePlatformWatchers(
        Members, Members.front().FailureDomain,
        Options.PlatformWatchersPerDomain);
    return std::find(Watchers.begin(), Watchers.end(), Members.front().Name) !=
           Watchers.end();
  }

  //! Announces the version in force to some peers that are not known to have
  //! it.
  void announce() {
    const std::vector<Member> Members = Peers.Members();
    std::vector<Member> Behind;
    std::copy_if(Members.begin() + 1, Members.end(), std::back_inserter(Behind),
                 [&](const Member &Peer) {
                   return isReachable(Peer) && Peer.Version < History.Version;
                 });
    std::vector<Member> Chosen;
    std::sample(Behind.begin(), Behind.end(), std::back_inserter(Chosen),
                Options.AnnounceReceivers, Random);
    const Bytes Message =
        encode(Announcement{.From = Members.front().Name,
                            .Version = History.Version,
                            .ObjectsDigest = History.ObjectsDigest});
    for (const Member &Peer : Chosen) {
      ++Counters.AnnouncementsSent;
      Peers.Send(Message, Peer.PeerAddress);
    }
  }

  void onApplied(const char *Source) {
    log(LogLevel::Info, "config_applied",
        {{"version", History.Version.value()},
         {"digest", config::formatDigest(History.ObjectsDigest)},
         {"source", Source}});
    NeedsFullSet = false;
    if (Options.OnApplied)
      Options.OnApplied(History);
    announce();
    StateChanged->notifyAll();
  }

  //! Reads the newest version from the platform. Returns false on a failure.
  static Task<bool> readPlatform(std::shared_ptr<Impl> Self,
                                 std::uint64_t MinRevision) {
    ++Self->Counters.PlatformReads;
    const TimePoint ReadStart = Self->now();
    auto Read = co_await Self->Platform.ReadPublished(MinRevision);
    if (Self->Stopped)
      co_return true;
    if (!Read) {
      Self->platformFailed(Read.error());
      co_return false;
    }
    // The process may have been suspended during the read.
    if (Self->now() - ReadStart > Self->Options.MaxReadDuration) {
      ++Self->Counters.StaleDropped;
      co_return false;
    }
    Self->WatchPosition = Read->Revision;
    const config::Manifest &Content = Read->ManifestContent;
    if (Content.Version <= Self->History.Version) {
      Self->checkHistory(Content);
      ++Self->Counters.StaleDropped;
      co_return true;
    }
    const auto Result =
        applySet(Self->History, Content.Version, Content.ObjectsDigest,
                 std::move(Read->Objects));
    if (!Result) {
      Self->platformFailed(Result.error());
      co_return false;
    }
    Self->onApplied("platform");
    co_return true;
  }

  //! Logs a manifest that contradicts the version in force. An older one may
  //! also be a stale read.
  void checkHistory(const config::Manifest &Found) const {
    if (Found.Version < History.Version)
      log(LogLevel::Warn, "published_version_behind",
          {{"version", History.Version.value()},
           {"published", Found.Version.value()}});
    else if (Found.Version == History.Version &&
             Found.Version != ConfigVersion() &&
             Found.ObjectsDigest != History.ObjectsDigest)
      log(LogLevel::Error, "config_digest_conflict",
          {{"version", History.Version.value()},
           {"source", "platform"},
           {"digest", config::formatDigest(History.ObjectsDigest)},
           {"published", config::formatDigest(Found.ObjectsDigest)}});
  }

  void platformFailed(const Error &Failure) {
    WatchPosition = 0;
    if (std::has_single_bit(++Counters.PlatformFailures))
      log(LogLevel::Warn, "platform_call_failed",
          {{"error", describe(Failure)}, {"count", Counters.PlatformFailures}});
  }

  //! Waits for a change of members or versions, at most until Deadline.
  static Task<> waitForChange(std::shared_ptr<Impl> Self, TimePoint Deadline) {
    co_await Self->Options.Time.WaitUntil(Self->StateChanged, Deadline);
  }

  //! Waits once for a new manifest and reads its version. Returns false if a
  //! platform call failed.
  static Task<bool> watchOnce(std::shared_ptr<Impl> Self) {
    auto Watched = co_await Self->Platform.WaitForManifest(Self->WatchPosition);
    if (Self->Stopped)
      co_return true;
    if (!Watched) {
      Self->platformFailed(Watched.error());
      co_return false;
    }
    if (!*Watched)
      co_return true;
    const config::StoredManifest &Found = **Watched;
    const ConfigVersion Version = Found.ManifestContent.Version;
    if (Version > Self->History.Version) {
      const TimePoint ReadAt =
          Self->now() + Self->jitter(Self->Options.ReadJitter);
      while (!Self->Stopped && Self->now() < ReadAt &&
             Self->History.Version < Version)
        co_await waitForChange(Self, ReadAt);
    }
    if (Self->Stopped)
      co_return true;
    if (Version > Self->History.Version)
      co_return co_await readPlatform(Self, Found.Revision);
    Self->checkHistory(Found.ManifestContent);
    // The position is not recorded before this point, so that a failed read is
    // repeated.
    Self->WatchPosition = Found.Revision;
    co_return true;
  }

  static Task<> watchPlatform(std::shared_ptr<Impl> Self) {
    unsigned Failures = 0;
    while (!Self->Stopped) {
      if (!Self->isPlatformWatcher()) {
        Self->WatchPosition = 0;
        co_await waitForChange(Self, Self->now() + RecheckInterval);
        continue;
      }
      const bool Succeeded = co_await watchOnce(Self);
      Failures = Succeeded ? 0 : Failures + 1;
      if (Failures > 0)
        co_await Self->Options.Time.SleepUntil(Self->now() +
                                               Self->backoff(Failures));
    }
  }

  //! Reachable peers with a higher version, according to the latest
  //! announcement or to their heartbeats.
  std::vector<Member> peersAhead() const {
    const std::vector<Member> Members = Peers.Members();
    std::vector<Member> Result;
    for (auto Peer = Members.begin() + 1; Peer != Members.end(); ++Peer) {
      if (!isReachable(*Peer))
        continue;
      if (Peer->Version > History.Version ||
          (LatestAnnouncement && LatestAnnouncement->From == Peer->Name &&
           LatestAnnouncement->Version > History.Version))
        Result.push_back(*Peer);
    }
    return Result;
  }

  //! Chooses the peer to pull from. Prefers the sender of the latest
  //! announcement, which few hosts ask, and avoids the peer from which the last
  //! pull failed.
  std::optional<Member> chooseSource() {
    std::vector<Member> Candidates = peersAhead();
    if (Candidates.size() > 1)
      std::erase_if(Candidates,
                    [&](const Member &M) { return M.Name == LastFailedPeer; });
    if (Candidates.empty())
      return std::nullopt;
    for (const Member &Candidate : Candidates)
      if (LatestAnnouncement && LatestAnnouncement->From == Candidate.Name)
        return Candidate;
    return Candidates[randomBelow(Random, Candidates.size())];
  }

  //! True if the answer has the announced version but another digest.
  //! Announcements carry a MAC, answers do not.
  bool contradictsAnnouncement(const SyncAnswer &Answer) const {
    return LatestAnnouncement &&
           LatestAnnouncement->Version == Answer.Version &&
           LatestAnnouncement->ObjectsDigest != Answer.ObjectsDigest;
  }

  //! Pulls once. Returns false if the pull failed or the peer was busy or had
  //! nothing newer.
  static Task<bool> pullOnce(std::shared_ptr<Impl> Self, Member Source) {
    ++Self->Counters.Pulls;
    SyncRequest Request{.Version = Self->History.Version,
                        .ObjectsDigest = Self->History.ObjectsDigest};
    if (Self->NeedsFullSet)
      Request = SyncRequest{};
    const ConfigVersion RequestedFrom = Self->History.Version;
    const std::string Peer = Source.Name.value();
    auto Answer = co_await Self->Peers.Pull(Source.SyncAddress, Request);
    if (Self->Stopped)
      co_return true;
    if (!Answer) {
      Self->pullFailed(Peer, Answer.error());
      co_return false;
    }
    Self->Counters.PulledBytes += Answer->Body.size();
    if (Answer->Kind == SyncAnswerKind::Busy)
      co_return false;
    // The peer may have restarted since its announcement.
    if (Answer->Kind == SyncAnswerKind::Current && Self->LatestAnnouncement &&
        Self->LatestAnnouncement->From == Source.Name)
      Self->LatestAnnouncement.reset();
    // The platform task may have applied this version or a later one meanwhile.
    if (Answer->Version <= Self->History.Version) {
      ++Self->Counters.StaleDropped;
      co_return Answer->Kind != SyncAnswerKind::Current;
    }
    if (Self->contradictsAnnouncement(*Answer)) {
      Self->pullFailed(Peer, Error{.Code = ErrorCode::Conflict,
                                   .Step = "pull configuration",
                                   .Peer = Peer,
                                   .Message = "the digest of the answer "
                                              "is not the announced one"});
      co_return false;
    }
    const auto Result = applyAnswer(Self->History, *Answer, Peer);
    // The whole set is not needed if the deltas did not fit because the
    // platform task applied a version meanwhile; the next deltas will fit.
    Self->NeedsFullSet = !Result &&
                         Result.error().Code == ErrorCode::Conflict &&
                         Self->History.Version == RequestedFrom;
    if (!Result) {
      Self->pullFailed(Peer, Result.error());
      co_return false;
    }
    Self->onApplied("peer");
    co_return true;
  }

  void pullFailed(const std::string &Peer, const Error &Failure) {
    if (std::has_single_bit(++Counters.PullFailures))
      log(LogLevel::Warn, "config_pull_failed",
          {{"peer", Peer},
           {"error", describe(Failure)},
           {"count", Counters.PullFailures}});
  }

  static Task<> pull(std::shared_ptr<Impl> Self) {
    // The jitter keeps hosts that start at the same time from calling the
    // platform at the same time.
    const TimePoint PeerWaitEnd = Self->now() + Self->Options.StartupPeerWait +
                                  Self->jitter(Self->Options.StartupPeerWait);
    unsigned Failures = 0;
    while (!Self->Stopped) {
      if (!Self->peersAhead().empty()) {
        // The source is chosen after the delay, since the platform task may
        // have applied the newest version meanwhile.
        const Milliseconds Delay = Failures > 0
                                       ? Self->backoff(Failures)
                                       : Self->jitter(Self->Options.PullJitter);
        co_await Self->Options.Time.SleepUntil(Self->now() + Delay);
        const std::optional<Member> Source = Self->chooseSource();
        if (Self->Stopped || !Source)
          continue;
        const bool Succeeded = co_await pullOnce(Self, *Source);
        Self->LastFailedPeer = Succeeded ? EntryHostName() : Source->Name;
        Failures = Succeeded ? 0 : Failures + 1;
        continue;
      }
      const bool ReadFromPlatform = Self->History.Version == ConfigVersion() &&
                                    Self->now() >= PeerWaitEnd;
      // A watcher reads from the platform in watchPlatform().
      if (ReadFromPlatform && !Self->isPlatformWatcher()) {
        co_await readPlatform(Self, 0);
        // The backoff also applies while nothing is published.
        ++Failures;
        const TimePoint RetryAt = Self->now() + Self->backoff(Failures);
        while (!Self->Stopped && Self->now() < RetryAt &&
               Self->History.Version == ConfigVersion() &&
               Self->peersAhead().empty())
          co_await waitForChange(Self, RetryAt);
        continue;
      }
      Failures = 0;
      co_await waitForChange(Self, Self->now() + RecheckInterval);
    }
  }

  static Task<> serve(std::shared_ptr<Impl> Self, WebSocket::Pointer Link,
                      Json Message) {
    while (true) {
      const auto Request = decodeSyncRequest(Message, Link->peer());
      if (!Request) {
        ++Self->Counters.MalformedMessages;
        co_return;
      }
      SyncAnswer Answer;
      if (Self->Transfers < Self->Options.MaxTransfers)
        Answer = answerRequest(Self->History, *Request);
      Self->Counters.ServedBytes += Answer.Body.size();
      ++Self->Transfers;
      bool Sent = false;
      {
        auto Ended = gsl::finally([&] { --Self->Transfers; });
        Sent = co_await sendAnswer(Link, std::move(Answer),
                                   Self->Options.SendRate, Self->Options.Time);
      }
      if (!Sent)
        co_return;
      auto Next = co_await Link->receive();
      if (!Next)
        co_return;
      Message = std::move(*Next);
    }
  }

  void handleAnnouncement(const wire::Envelope &Received,
                          const UdpEndpoint &Sender) {
    const auto Message =
        decodeAnnouncement(Received, buckthorndeck::toString(Sender));
    if (!Message) {
      ++Counters.MalformedMessages;
      return;
    }
    if (Message->Version == History.Version &&
        Message->ObjectsDigest != History.ObjectsDigest)
      log(LogLevel::Error, "config_digest_conflict",
          {{"version", History.Version.value()},
           {"peer", Message->From.value()},
           {"digest", config::formatDigest(History.ObjectsDigest)},
           {"announced", config::formatDigest(Message->ObjectsDigest)}});
    if (Message->Version <= History.Version ||
        (LatestAnnouncement && Message->Version < LatestAnnouncement->Version))
      return;
    LatestAnnouncement = *Message;
    StateChanged->notifyAll();
  }

  Executor Where;
  SyncOptions Options;
  PeerCalls Peers;
  PlatformCalls Platform;
  RandomEngine Random;
  std::shared_ptr<Notifier> StateChanged;
  VersionHistory History;
  SyncCounters Counters;
  std::optional<Announcement> LatestAnnouncement; //!< With the highest version.
  EntryHostName LastFailedPeer;
  //! Revision of the manifest that was processed last, after which the next
  //! watch waits; 0: the watch reports the current manifest. A failed call ends
  //! it: a platform that was away may be back from a copy, and then gives the
  //! same revisions to other manifests.
  std::uint64_t WatchPosition = 0;
  bool NeedsFullSet = false; //!< Deltas did not fit the set in force.
  unsigned Transfers = 0;
  bool Stopped = false;
};

ConfigSync::ConfigSync(Executor Where, SyncOptions Options, PeerCalls Peers,
                       PlatformCalls Platform)
    : Self(std::make_shared<Impl>(std::move(Where), std::move(Options),
                                  std::move(Peers), std::move(Platform))) {}

ConfigSync::~ConfigSync() { stop(); }

Task<> ConfigSync::run() {
  std::shared_ptr<Impl> Shared = Self;
  spawn(Shared->Where, "config_watch", Impl::watchPlatform(Shared));
  co_await Impl::pull(Shared);
}

void ConfigSync::stop() {
  Self->Stopped = true;
  Self->StateChanged->notifyAll();
}

void ConfigSync::handleAnnouncement(const wire::Envelope &Received,
                                    const UdpEndpoint &Sender) {
  Self->handleAnnouncement(Received, Sender);
}

void ConfigSync::membersChanged() { Self->StateChanged->notifyAll(); }

Task<> ConfigSync::serve(WebSocket::Pointer Link, Json First) {
  return Impl::serve(Self, std::move(Link), std::move(First));
}

const VersionHistory &ConfigSync::history() const { return Self->History; }

bool ConfigSync::isPlatformWatcher() const { return Self->isPlatformWatcher(); }

const SyncCounters &ConfigSync::counters() const { return Self->Counters; }

} // namespace buckthorndeck::sync
