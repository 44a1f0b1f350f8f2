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

//! A waiting watch counts as a call at the platform, so it is kept long; it
//! must end sometimes, because a host may stop being a watcher.
constexpr Milliseconds WatchTime{20'000};
//! Limit on reading a set from the platform.
constexpr Milliseconds ReadTime{5000};
//! Fallback in case a notification was missed.
constexpr Milliseconds LookAgain{1000};

bool isReachable(const Member &Candidate) {
  return Candidate.State != MemberState::Dead &&
         Candidate.State != MemberState::Left;
}

Task<Expected<std::optional<config::StoredManifest>>>
waitForManifest(config::StoreClient *Store, std::uint64_t After) {
  auto Value = co_await Store->watch(config::ManifestKey, After, WatchTime);
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
  co_return co_await config::readPublished(*Store, Clock::now() + ReadTime,
                                           MinRevision, Cache.get());
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

struct ConfigSync::Node : std::enable_shared_from_this<ConfigSync::Node> {
  Node(Executor Where, SyncOptions Options, PeerCalls Peers,
       PlatformCalls Platform)
      : Where(std::move(Where)), Options(std::move(Options)),
        Peers(std::move(Peers)), Platform(std::move(Platform)),
        Random(this->Options.RandomSeed),
        Changed(std::make_shared<Notifier>(this->Where)) {
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

  bool isWatcher() const {
    const std::vector<Member> Members = Peers.Members();
    const auto Watchers = membership::choosePlatformWatchers(
        Members, Members.front().FailureDomain, Options.Watchers);
    return std::find(Watchers.begin(), Watchers.end(), Members.front().Name) !=
           Watchers.end();
  }

  //! Tells peers that are not known to have the version in force.
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
    const Bytes Message = encode(Announce{.From = Members.front().Name,
                                          .Version = History.Version,
                                          .Objects = History.Objects});
    for (const Member &Peer : Chosen) {
      ++Counters.Announces;
      Peers.Send(Message, Peer.PeerAddress);
    }
  }

  void applied(const char *Source) {
    log(LogLevel::Info, "config_applied",
        {{"version", History.Version.value()},
         {"digest", config::formatDigest(History.Objects)},
         {"source", Source}});
    NeedsFull = false;
    if (Options.OnApplied)
      Options.OnApplied(History);
    announce();
    Changed->notifyAll();
  }

  //! Reads the newest version from the platform. Returns false on a failure.
  static Task<bool> readPlatform(std::shared_ptr<Node> Self,
                                 std::uint64_t MinRevision) {
    ++Self->Counters.PlatformReads;
    const TimePoint Asked = Self->now();
    auto Read = co_await Self->Platform.ReadPublished(MinRevision);
    if (Self->Stopped)
      co_return true;
    if (!Read) {
      Self->platformFailed(Read.error());
      co_return false;
    }
    // This process may have been stopped while it waited.
    if (Self->now() - Asked > Self->Options.MaxReadTime) {
      ++Self->Counters.StaleDropped;
      co_return false;
    }
    Self->Revision = std::max(Self->Revision, Read->Revision);
    const config::Manifest &Content = Read->ManifestContent;
    if (Content.Version <= Self->History.Version) {
      ++Self->Counters.StaleDropped;
      co_return true;
    }
    const auto Result = applySet(Self->History, Content.Version,
                                 Content.Objects, std::move(Read->Objects));
    if (!Result) {
      Self->platformFailed(Result.error());
      co_return false;
    }
    Self->applied("platform");
    co_return true;
  }

  void platformFailed(const Error &Failure) {
    if (std::has_single_bit(++Counters.PlatformFailures))
      log(LogLevel::Warn, "platform_call_failed",
          {{"error", describe(Failure)}, {"count", Counters.PlatformFailures}});
  }

  //! Waits for a change of members or versions, at most until Deadline.
  static Task<> look(std::shared_ptr<Node> Self, TimePoint Deadline) {
    co_await Self->Options.Time.WaitUntil(Self->Changed, Deadline);
  }

  //! One wait for the manifest and the read that follows. Returns false on a
  //! failure of the platform.
  static Task<bool> watchOnce(std::shared_ptr<Node> Self) {
    auto Seen = co_await Self->Platform.WaitForManifest(Self->Revision);
    if (Self->Stopped)
      co_return true;
    if (!Seen) {
      Self->platformFailed(Seen.error());
      co_return false;
    }
    if (!*Seen)
      co_return true;
    const config::StoredManifest &Found = **Seen;
    const ConfigVersion Version = Found.ManifestContent.Version;
    if (Version > Self->History.Version) {
      const TimePoint ReadAt =
          Self->now() + Self->jitter(Self->Options.ReadJitter);
      while (!Self->Stopped && Self->now() < ReadAt &&
             Self->History.Version < Version)
        co_await look(Self, ReadAt);
    }
    if (Self->Stopped)
      co_return true;
    if (Version > Self->History.Version)
      co_return co_await readPlatform(Self, Found.Revision);
    // A revision counts as seen only now: a failed read is repeated.
    Self->Revision = std::max(Self->Revision, Found.Revision);
    co_return true;
  }

  static Task<> watch(std::shared_ptr<Node> Self) {
    unsigned Failures = 0;
    while (!Self->Stopped) {
      if (!Self->isWatcher()) {
        co_await look(Self, Self->now() + LookAgain);
        continue;
      }
      const bool Worked = co_await watchOnce(Self);
      Failures = Worked ? 0 : Failures + 1;
      if (Failures > 0)
        co_await Self->Options.Time.SleepUntil(Self->now() +
                                               Self->backoff(Failures));
    }
  }

  //! Peers that have a higher version: the latest announcer, if it does, and
  //! those whose heartbeats show one.
  std::vector<Member> sources() const {
    const std::vector<Member> Members = Peers.Members();
    std::vector<Member> Result;
    for (auto Peer = Members.begin() + 1; Peer != Members.end(); ++Peer) {
      if (!isReachable(*Peer))
        continue;
      if (Peer->Version > History.Version ||
          (Announced && Announced->From == Peer->Name &&
           Announced->Version > History.Version))
        Result.push_back(*Peer);
    }
    return Result;
  }

  //! Prefers the announcer, which is asked by few, and avoids the peer that
  //! failed last.
  std::optional<Member> chooseSource() {
    std::vector<Member> Candidates = sources();
    if (Candidates.size() > 1)
      std::erase_if(Candidates,
                    [&](const Member &M) { return M.Name == LastFailed; });
    if (Candidates.empty())
      return std::nullopt;
    for (const Member &Candidate : Candidates)
      if (Announced && Announced->From == Candidate.Name)
        return Candidate;
    return Candidates[randomBelow(Random, Candidates.size())];
  }

  //! True if the answer contradicts an announce, whose MAC was right.
  bool contradictsAnnounce(const SyncAnswer &Answer) const {
    return Announced && Announced->Version == Answer.Version &&
           Announced->Objects != Answer.Objects;
  }

  //! Pulls once. Returns false if that failed.
  static Task<bool> pullOnce(std::shared_ptr<Node> Self, Member Source) {
    ++Self->Counters.Pulls;
    SyncRequest Request{.Version = Self->History.Version,
                        .Objects = Self->History.Objects};
    if (Self->NeedsFull)
      Request = SyncRequest{};
    const ConfigVersion AskedWith = Self->History.Version;
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
    // An announcer may have restarted since.
    if (Answer->Kind == SyncAnswerKind::Current && Self->Announced &&
        Self->Announced->From == Source.Name)
      Self->Announced.reset();
    // The watcher task or a crossed answer may have been faster.
    if (Answer->Version <= Self->History.Version) {
      ++Self->Counters.StaleDropped;
      co_return Answer->Kind != SyncAnswerKind::Current;
    }
    if (Self->contradictsAnnounce(*Answer)) {
      Self->pullFailed(Peer, Error{.Code = ErrorCode::Conflict,
                                   .Step = "pull configuration",
                                   .Peer = Peer,
                                   .Message = "the digest of the version is "
                                              "not the announced one"});
      co_return false;
    }
    const auto Result = applyAnswer(Self->History, *Answer, Peer);
    // Deltas also do not fit when the watcher task was faster; then the next
    // ones will.
    Self->NeedsFull = !Result && Result.error().Code == ErrorCode::Conflict &&
                      Self->History.Version == AskedWith;
    if (!Result) {
      Self->pullFailed(Peer, Result.error());
      co_return false;
    }
    Self->applied("peer");
    co_return true;
  }

  void pullFailed(const std::string &Peer, const Error &Failure) {
    if (std::has_single_bit(++Counters.PullFailures))
      log(LogLevel::Warn, "config_pull_failed",
          {{"peer", Peer},
           {"error", describe(Failure)},
           {"count", Counters.PullFailures}});
  }

  static Task<> pull(std::shared_ptr<Node> Self) {
    // Hosts that start together must not call the platform together.
    const TimePoint GraceEnd = Self->now() + Self->Options.StartGrace +
                               Self->jitter(Self->Options.StartGrace);
    unsigned Failures = 0;
    while (!Self->Stopped) {
      if (!Self->sources().empty()) {
        // The jitter passes first and the source is chosen after it, since
        // another task may have caught up meanwhile.
        const Milliseconds Delay = Failures > 0
                                       ? Self->backoff(Failures)
                                       : Self->jitter(Self->Options.PullJitter);
        co_await Self->Options.Time.SleepUntil(Self->now() + Delay);
        const std::optional<Member> Source = Self->chooseSource();
        if (Self->Stopped || !Source)
          continue;
        const bool Worked = co_await pullOnce(Self, *Source);
        Self->LastFailed = Worked ? EntryHostName() : Source->Name;
        Failures = Worked ? 0 : Failures + 1;
        continue;
      }
      const bool Lost =
          Self->History.Version == ConfigVersion() && Self->now() >= GraceEnd;
      // A watcher reads from the platform in its own task.
      if (Lost && !Self->isWatcher()) {
        co_await readPlatform(Self, 0);
        // Also backs off while nothing is published.
        ++Failures;
        const TimePoint RetryAt = Self->now() + Self->backoff(Failures);
        while (!Self->Stopped && Self->now() < RetryAt &&
               Self->History.Version == ConfigVersion() &&
               Self->sources().empty())
          co_await look(Self, RetryAt);
        continue;
      }
      Failures = 0;
      co_await look(Self, Self->now() + LookAgain);
    }
  }

  static Task<> serve(std::shared_ptr<Node> Self, WebSocket::Pointer Link,
                      Json Message) {
    while (true) {
      const auto Request = decodeSyncRequest(Message, Link->peer());
      if (!Request) {
        ++Self->Counters.Refused;
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
        Sent = co_await sendAnswer(Link, std::move(Answer), Self->Options.Pace,
                                   Self->Options.Time);
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
        decodeAnnounce(Received, buckthorndeck::toString(Sender));
    if (!Message) {
      ++Counters.Refused;
      return;
    }
    if (Message->Version == History.Version &&
        Message->Objects != History.Objects)
      log(LogLevel::Error, "config_digest_conflict",
          {{"version", History.Version.value()},
           {"peer", Message->From.value()},
           {"digest", config::formatDigest(History.Objects)},
           {"announced", config::formatDigest(Message->Objects)}});
    if (Message->Version <= History.Version ||
        (Announced && Message->Version < Announced->Version))
      return;
    Announced = *Message;
    Changed->notifyAll();
  }

  Executor Where;
  SyncOptions Options;
  PeerCalls Peers;
  PlatformCalls Platform;
  RandomEngine Random;
  std::shared_ptr<Notifier> Changed;
  VersionHistory History;
  SyncCounters Counters;
  std::optional<Announce> Announced; //!< The highest version announced.
  EntryHostName LastFailed;
  std::uint64_t Revision = 0; //!< Of the newest manifest handled.
  bool NeedsFull = false;     //!< Deltas did not fit the set in force.
  unsigned Transfers = 0;
  bool Stopped = false;
};

ConfigSync::ConfigSync(Executor Where, SyncOptions Options, PeerCalls Peers,
                       PlatformCalls Platform)
    : Self(std::make_shared<Node>(std::move(Where), std::move(Options),
                                  std::move(Peers), std::move(Platform))) {}

ConfigSync::~ConfigSync() { stop(); }

Task<> ConfigSync::run() {
  std::shared_ptr<Node> Keep = Self;
  spawn(Keep->Where, "config_watch", Node::watch(Keep));
  co_await Node::pull(Keep);
}

void ConfigSync::stop() {
  Self->Stopped = true;
  Self->Changed->notifyAll();
}

void ConfigSync::handleAnnouncement(const wire::Envelope &Received,
                                    const UdpEndpoint &Sender) {
  Self->handleAnnouncement(Received, Sender);
}

void ConfigSync::membersChanged() { Self->Changed->notifyAll(); }

Task<> ConfigSync::serve(WebSocket::Pointer Link, Json First) {
  return Node::serve(Self, std::move(Link), std::move(First));
}

const VersionHistory &ConfigSync::history() const { return Self->History; }

bool ConfigSync::isWatcher() const { return Self->isWatcher(); }

const SyncCounters &ConfigSync::counters() const { return Self->Counters; }

} // namespace buckthorndeck::sync
