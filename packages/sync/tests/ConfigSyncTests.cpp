#include "SampleVersions.h"
#include "VirtualTime.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/membership/Watchers.h"
#include "buckthorndeck/sync/ConfigSync.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace buckthorndeck;
using namespace buckthorndeck::sync;
using membership::Member;
using membership::MemberState;

namespace {

constexpr ErrorCode Down = ErrorCode::Unavailable;

//! Hosts with their ConfigSync, and a platform, under one virtual clock.
class Fleet {
public:
  explicit Fleet(unsigned Count) {
    initLogging({.Threshold = LogLevel::Error, .Program = "test"});
    for (unsigned I = 0; I < Count; ++I)
      add();
  }
  ~Fleet() {
    for (auto &Host : Hosts)
      Host->stop();
    Time.advance(Milliseconds(60'000));
    Hosts.clear();
    Time.runReady();
  }

  void add() {
    const unsigned Index = Hosts.size();
    Members.push_back(
        Member{.Name = EntryHostName("host-" + std::to_string(Index)),
               .Region = RegionName("doo-central"),
               .FailureDomain = FailureDomainName(Index % 2 ? "odd" : "even"),
               .PeerAddress = {boost::asio::ip::address_v4(100 + Index), 1},
               .SyncAddress = {boost::asio::ip::address_v4(100 + Index), 2}});
    PlatformCallsOf.push_back(0);
    SyncOptions Options{.RandomSeed = Index + 1, .Time = Time.timeSource()};
    Options.OnApplied = [this, Index](const VersionHistory &History) {
      // A version that decreases anywhere fails whatever the test is about.
      CHECK(History.Version > Members[Index].Version);
      Members[Index].Version = History.Version;
      Applied[Index].push_back(History.Version.value());
    };
    PeerCalls Peers{
        .Members = [this, Index] { return membersSeenBy(Index); },
        .Send =
            [this, Index](Bytes Payload, const UdpEndpoint &To) {
              const unsigned Target = To.address().to_v4().to_uint() - 100;
              if (connected(Index, Target))
                Hosts[Target]->handleAnnouncement(
                    *wire::decodeEnvelope(Payload, "test", "peer"),
                    Members[Index].PeerAddress);
            },
        .Pull =
            [this, Index](const TcpEndpoint &To, SyncRequest Request) {
              return pull(this, Index, To.address().to_v4().to_uint() - 100,
                          Request);
            }};
    PlatformCalls Platform{.WaitForManifest =
                               [this, Index](std::uint64_t After) {
                                 return waitForManifest(this, Index, After);
                               },
                           .ReadPublished =
                               [this, Index](std::uint64_t MinRevision) {
                                 return readPublished(this, Index, MinRevision);
                               }};
    Hosts.push_back(std::make_unique<ConfigSync>(
        Time.Context.get_executor(), std::move(Options), std::move(Peers),
        std::move(Platform)));
    spawn(Time.Context.get_executor(), "sync", Hosts.back()->run());
  }

  unsigned versionOf(unsigned Index) const {
    return Hosts[Index]->history().Version.value();
  }

  //! Milliseconds until every host in Wanted has Version; 60,000 if never.
  int untilAllHave(unsigned Version, const std::set<unsigned> &Wanted = {}) {
    for (int Ms = 0; Ms < 60'000; Ms += 50) {
      bool All = true;
      for (unsigned I = 0; I < Hosts.size(); ++I)
        if (Wanted.empty() || Wanted.contains(I))
          All &= versionOf(I) == Version;
      if (All)
        return Ms;
      Time.advance(Milliseconds(50));
    }
    return 60'000;
  }

  std::set<unsigned> nonWatchers() const {
    std::set<unsigned> Result;
    for (unsigned I = 0; I < Hosts.size(); ++I)
      if (!Hosts[I]->isWatcher())
        Result.insert(I);
    return Result;
  }

  bool connected(unsigned From, unsigned To) const {
    return !Isolated.contains(From) && !Isolated.contains(To);
  }

  VirtualTime Time;
  unsigned Published = 0; //!< Version and revision on the platform.
  bool PlatformUp = true;
  unsigned StaleReads = 0; //!< Reads that return an old version.
  Milliseconds ReadDelay{5};
  std::set<unsigned> Isolated; //!< Reach neither peers nor the platform.
  std::set<unsigned> WithoutPlatform;
  std::set<unsigned> WrongPeers; //!< Serve a set with a wrong digest.
  std::set<unsigned> Forgers;    //!< Serve set 99 as version 2.
  bool AnnouncesOnly = false;    //!< Heartbeats do not show versions.
  std::vector<Member> Members;
  std::vector<unsigned> PlatformCallsOf;
  std::vector<std::unique_ptr<ConfigSync>> Hosts;
  std::map<unsigned, std::vector<std::uint64_t>> Applied;
  unsigned Pulling = 0;
  unsigned MostPullsAtOnce = 0;

private:
  std::vector<Member> membersSeenBy(unsigned Index) const {
    std::vector<Member> Result{Members[Index]};
    for (unsigned I = 0; I < Members.size(); ++I) {
      if (I == Index || !connected(Index, I))
        continue;
      Result.push_back(Members[I]);
      if (AnnouncesOnly)
        Result.back().Version = ConfigVersion();
    }
    return Result;
  }

  static Unexpected unavailable() {
    return Unexpected(Error{.Code = Down, .Step = "test"});
  }

  static Task<Expected<SyncAnswer>> pull(Fleet *Self, unsigned From,
                                         unsigned To, SyncRequest Request) {
    Self->MostPullsAtOnce = std::max(Self->MostPullsAtOnce, ++Self->Pulling);
    co_await Self->Time.timeSource().SleepUntil(Self->Time.now() +
                                                Milliseconds(5));
    --Self->Pulling;
    if (!Self->connected(From, To))
      co_return unavailable();
    SyncAnswer Answer = answerRequest(Self->Hosts[To]->history(), Request);
    if (Self->Forgers.contains(To))
      co_return SyncAnswer{.Kind = SyncAnswerKind::Full,
                           .Version = ConfigVersion(2),
                           .Objects = digestAt(99),
                           .Body = encodeCbor(config::toJson(setAt(99)))};
    if (Self->WrongPeers.contains(To))
      Answer.Body = encodeCbor(config::toJson(setAt(99)));
    if (Self->WrongPeers.contains(To))
      Answer.Kind = SyncAnswerKind::Full;
    co_return Answer;
  }

  bool reachesPlatform(unsigned Index) const {
    return PlatformUp && !Isolated.contains(Index) &&
           !WithoutPlatform.contains(Index);
  }

  static config::Manifest manifestAt(unsigned Version) {
    return config::Manifest{.Version = ConfigVersion(Version),
                            .Objects = digestAt(Version)};
  }

  static Task<Expected<std::optional<config::StoredManifest>>>
  waitForManifest(Fleet *Self, unsigned Index, std::uint64_t After) {
    ++Self->PlatformCallsOf[Index];
    for (int Waited = 0; Waited < 20'000; Waited += 50) {
      if (!Self->reachesPlatform(Index))
        co_return unavailable();
      if (Self->Published > After)
        co_return config::StoredManifest{.ManifestContent =
                                             manifestAt(Self->Published),
                                         .Revision = Self->Published};
      co_await Self->Time.timeSource().SleepUntil(Self->Time.now() +
                                                  Milliseconds(50));
    }
    co_return std::optional<config::StoredManifest>();
  }

  static Task<Expected<config::PublishedSet>>
  readPublished(Fleet *Self, unsigned Index, std::uint64_t MinRevision) {
    ++Self->PlatformCallsOf[Index];
    unsigned Version = Self->Published;
    if (Self->StaleReads > 0 && MinRevision < 2) {
      --Self->StaleReads;
      Version = 1;
    }
    co_await Self->Time.timeSource().SleepUntil(Self->Time.now() +
                                                Self->ReadDelay);
    if (!Self->reachesPlatform(Index))
      co_return unavailable();
    if (Version == 0)
      co_return config::PublishedSet{};
    co_return config::PublishedSet{.ManifestContent = manifestAt(Version),
                                   .Revision = Version,
                                   .Objects = setAt(Version)};
  }
};

} // namespace

TEST_CASE("A new version reaches every host within 5 s", "[sync]") {
  // Guards against hosts that neither watch nor hear an announcement, against
  // several pulls by one host, and against callers of the platform beyond the
  // watchers.
  for (const bool AnnouncesOnly : {false, true}) {
    CAPTURE(AnnouncesOnly);
    Fleet All(24);
    All.AnnouncesOnly = AnnouncesOnly;
    All.Published = 1;
    if (!AnnouncesOnly)
      CHECK(All.untilAllHave(1) <= 5000);
    else
      All.Time.advance(Milliseconds(10'000));
    const std::vector<unsigned> Calls = All.PlatformCallsOf;
    for (unsigned Version = 2; Version <= 6; ++Version) {
      All.Published = Version;
      const int Took = All.untilAllHave(Version);
      if (!AnnouncesOnly)
        CHECK(Took <= 5000);
      // Without the versions in heartbeats the announcements alone reach most.
      unsigned Reached = 0;
      for (unsigned I = 0; I < 24; ++I)
        Reached += All.versionOf(I) == Version;
      CHECK(Reached >= 20);
    }
    for (const unsigned Index : All.nonWatchers())
      CHECK(All.PlatformCallsOf[Index] == Calls[Index]);
    CHECK(All.nonWatchers().size() == 20);
    CHECK(All.Hosts[*All.nonWatchers().begin()]->counters().StaleDropped <= 5);
  }
}

TEST_CASE("A host pulls from one peer at a time", "[sync]") {
  // Guards against a host that answers three announcements with three pulls.
  Fleet All(2);
  All.Published = 1;
  REQUIRE(All.untilAllHave(1) <= 5000);
  for (unsigned I = 0; I < 10; ++I)
    All.add();
  CHECK(All.untilAllHave(1) <= 5000);
  CHECK(All.MostPullsAtOnce <= 10);
  for (unsigned I = 2; I < 12; ++I)
    CHECK(All.Hosts[I]->counters().Pulls == 1);
}

TEST_CASE("A starting host takes the configuration from peers or the platform",
          "[sync]") {
  // Guards against a host that waits for the one that is down.
  SECTION("from peers while the platform is down") {
    Fleet All(4);
    All.Published = 3;
    REQUIRE(All.untilAllHave(3) <= 5000);
    All.PlatformUp = false;
    for (unsigned I = 0; I < 4; ++I)
      All.add();
    CHECK(All.untilAllHave(3) <= 5000);
  }
  SECTION("from the platform while no peer has it, with few calls") {
    Fleet All(8);
    All.PlatformUp = false;
    All.Time.advance(Milliseconds(60'000));
    for (const unsigned Calls : All.PlatformCallsOf)
      CHECK(Calls <= 30);
    All.Published = 3;
    All.PlatformUp = true;
    CHECK(All.untilAllHave(3) <= 20'000);
  }
  SECTION("from the platform although it is no watcher") {
    Fleet All(8);
    const unsigned Index = *All.nonWatchers().begin();
    All.Published = 3;
    for (unsigned I = 0; I < 8; ++I)
      if (I != Index)
        All.WithoutPlatform.insert(I);
    CHECK(All.untilAllHave(3, {Index}) <= 8000);
    CHECK(All.untilAllHave(3) <= 8000);
  }
}

TEST_CASE("A stale read of the platform does not set a host back", "[sync]") {
  // Guards against a replica of the store that answers with an old version.
  Fleet All(4);
  All.Published = 3;
  REQUIRE(All.untilAllHave(3) <= 5000);
  All.StaleReads = 100;
  All.Published = 4;
  All.untilAllHave(4);
  All.PlatformUp = false;
  All.Time.advance(Milliseconds(500));
  All.PlatformUp = true;
  All.add();
  All.Time.advance(Milliseconds(20'000));
  for (unsigned I = 0; I < 5; ++I)
    CHECK(All.versionOf(I) == 4);
}

TEST_CASE("Delayed announcements and absurd ones change nothing", "[sync]") {
  // Guards against a version that decreases, and against endless pulls for a
  // version that nobody has.
  Fleet All(4);
  All.Published = 5;
  REQUIRE(All.untilAllHave(5) <= 5000);
  const auto Receive = [&](unsigned Version, Digest Objects) {
    const Bytes Encoded = encode(Announce{.From = All.Members[1].Name,
                                          .Version = ConfigVersion(Version),
                                          .Objects = Objects});
    All.Hosts[0]->handleAnnouncement(*wire::decodeEnvelope(Encoded, "t", "p"),
                                     All.Members[1].PeerAddress);
    All.Time.advance(Milliseconds(5000));
  };
  const auto Pulls = All.Hosts[0]->counters().Pulls;
  Receive(4, digestAt(4));
  Receive(5, digestAt(5));
  CHECK(All.Hosts[0]->counters().Pulls == Pulls);
  Receive(9, digestAt(9));
  CHECK(All.versionOf(0) == 5);
  CHECK(All.Hosts[0]->counters().Pulls <= Pulls + 1);
  const wire::Envelope Bad{.Type = AnnouncementType,
                           .Fields = {{"version", -1}}};
  All.Hosts[0]->handleAnnouncement(Bad, All.Members[1].PeerAddress);
  CHECK(All.Hosts[0]->counters().Refused == 1);
}

TEST_CASE("A set with a wrong digest is refused and taken from elsewhere",
          "[sync]") {
  // Guards against a damaged peer that spreads its damage.
  Fleet All(12);
  All.Published = 1;
  REQUIRE(All.untilAllHave(1) <= 5000);
  const std::set<unsigned> Readers = All.nonWatchers();
  All.WrongPeers = {*Readers.begin(), *std::next(Readers.begin())};
  All.Published = 2;
  CHECK(All.untilAllHave(2) <= 10'000);
  for (unsigned I = 0; I < 12; ++I)
    CHECK(*All.Hosts[I]->history().Set == setAt(2));
  // With the wrong peers alone it would rather stay behind.
  Fleet Two(3);
  Two.Published = 1;
  REQUIRE(Two.untilAllHave(1) <= 5000);
  Two.WrongPeers = {0, 1, 2};
  Two.add();
  Two.add();
  Two.Time.advance(Milliseconds(2000));
  for (unsigned I = 3; I < 5; ++I)
    if (!Two.Hosts[I]->isWatcher())
      CHECK(Two.Hosts[I]->counters().PullFailures > 0);
  for (const auto &[Index, Versions] : Two.Applied)
    CHECK(*Two.Hosts[Index]->history().Set == setAt(1));
}

TEST_CASE("An answer must have the digest of the announcement", "[sync]") {
  // Guards against a set that is consistent in itself but was not published:
  // announcements carry a MAC and answers do not.
  Fleet All(4);
  All.Published = 1;
  REQUIRE(All.untilAllHave(1) <= 5000);
  All.Forgers = {1};
  const Bytes Encoded = encode(Announce{.From = All.Members[1].Name,
                                        .Version = ConfigVersion(2),
                                        .Objects = digestAt(2)});
  All.Hosts[0]->handleAnnouncement(*wire::decodeEnvelope(Encoded, "t", "p"),
                                   All.Members[1].PeerAddress);
  All.Time.advance(Milliseconds(3000));
  CHECK(All.versionOf(0) == 1);
  CHECK(All.Hosts[0]->counters().PullFailures >= 1);
  All.Published = 2;
  CHECK(All.untilAllHave(2, {0}) <= 15'000);
  CHECK(*All.Hosts[0]->history().Set == setAt(2));
}

TEST_CASE("A failure domain that was cut off takes the higher version",
          "[sync]") {
  // Guards against a rejoining side that brings back its old version, and
  // against one that was ahead and is not followed.
  struct Row {
    std::set<unsigned> CutOff;
    const char *Text;
  };
  const std::set<unsigned> Odd{1, 3, 5, 7, 9, 11};
  Fleet All(12);
  All.Published = 1;
  REQUIRE(All.untilAllHave(1) <= 5000);
  SECTION("it rejoins with an older version") {
    // Isolated hosts reach nobody, so the whole domain stays at 1.
    All.Isolated = Odd;
    All.Published = 2;
    REQUIRE(All.untilAllHave(2, {0, 2, 4, 6, 8, 10}) <= 5000);
    All.Published = 3;
    REQUIRE(All.untilAllHave(3, {0, 2, 4, 6, 8, 10}) <= 5000);
    for (const unsigned I : Odd)
      CHECK(All.versionOf(I) == 1);
    All.Isolated.clear();
    CHECK(All.untilAllHave(3) <= 15'000);
  }
  SECTION("it rejoins with a newer version") {
    All.Isolated = {0, 2, 4, 6, 8, 10};
    All.Published = 2;
    REQUIRE(All.untilAllHave(2, Odd) <= 5000);
    // The platform is gone when the sides meet again.
    All.PlatformUp = false;
    All.Isolated.clear();
    CHECK(All.untilAllHave(2) <= 15'000);
  }
  for (const auto &[Index, Versions] : All.Applied)
    CHECK(std::is_sorted(Versions.begin(), Versions.end()));
}

TEST_CASE("A host frozen over three versions catches up and drops what is "
          "stale",
          "[sync]") {
  // Guards against a resumed host that applies the read that it had begun.
  Fleet All(8);
  All.Published = 1;
  REQUIRE(All.untilAllHave(1) <= 5000);
  unsigned Frozen = 0;
  SECTION("a host that pulls") { Frozen = *All.nonWatchers().begin(); }
  SECTION("a watcher") {
    while (!All.Hosts[Frozen]->isWatcher())
      ++Frozen;
  }
  All.Isolated = {Frozen};
  std::set<unsigned> Others;
  for (unsigned I = 0; I < 8; ++I)
    if (I != Frozen)
      Others.insert(I);
  for (const unsigned Version : {2U, 3U, 4U}) {
    All.Published = Version;
    REQUIRE(All.untilAllHave(Version, Others) <= 5000);
  }
  CHECK(All.versionOf(Frozen) == 1);
  All.Isolated.clear();
  CHECK(All.untilAllHave(4) <= 15'000);
  // It took deltas, so it did not need the intermediate versions.
  CHECK(All.Applied[Frozen] == std::vector<std::uint64_t>{1, 4});
}

TEST_CASE("An answer of the platform that took too long is dropped", "[sync]") {
  // Guards against a process that was stopped during a read and then applies
  // a version that the fleet has left behind.
  Fleet All(1);
  All.Published = 1;
  All.ReadDelay = Milliseconds(15'000);
  All.Time.advance(Milliseconds(17'000));
  CHECK(All.versionOf(0) == 0);
  CHECK(All.Hosts[0]->counters().StaleDropped >= 1);
  All.Published = 2;
  All.ReadDelay = Milliseconds(5);
  CHECK(All.untilAllHave(2) <= 30'000);
  CHECK(All.Applied[0] == std::vector<std::uint64_t>{2});
}

TEST_CASE("An outage of the platform is met with few calls", "[sync]") {
  // Guards against watchers that overload a store which comes back.
  Fleet All(12);
  All.Published = 1;
  REQUIRE(All.untilAllHave(1) <= 5000);
  All.Time.advance(Milliseconds(1000));
  const std::vector<unsigned> Before = All.PlatformCallsOf;
  All.PlatformUp = false;
  All.Time.advance(Milliseconds(300'000));
  for (unsigned I = 0; I < 12; ++I)
    CHECK(All.PlatformCallsOf[I] - Before[I] <= 70);
  All.PlatformUp = true;
  All.Published = 2;
  CHECK(All.untilAllHave(2) <= 15'000);
}
