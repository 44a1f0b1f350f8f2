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

//! Hosts that each run a ConfigSync, and a fake platform, under one virtual
//! clock.
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
    PlatformCallCounts.push_back(0);
    SyncOptions Options{.RandomSeed = Index + 1, .Time = Time.timeSource()};
    Options.OnApplied = [this, Index](const VersionHistory &History) {
      // Checked in every test: a host's version never decreases.
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

  //! Advances the clock until every host of HostIndexes, or every host if it is
  //! empty, has Version. Returns the milliseconds that it took, at most 60,000.
  int millisecondsUntilAllHave(unsigned Version,
                               const std::set<unsigned> &HostIndexes = {}) {
    for (int Ms = 0; Ms < 60'000; Ms += 50) {
      bool Reached = true;
      for (unsigned I = 0; I < Hosts.size(); ++I)
        if (HostIndexes.empty() || HostIndexes.contains(I))
          Reached &= versionOf(I) == Version;
      if (Reached)
        return Ms;
      Time.advance(Milliseconds(50));
    }
    return 60'000;
  }

  std::set<unsigned> nonWatchers() const {
    std::set<unsigned> Result;
    for (unsigned I = 0; I < Hosts.size(); ++I)
      if (!Hosts[I]->isPlatformWatcher())
        Result.insert(I);
    return Result;
  }

  bool connected(unsigned From, unsigned To) const {
    return !Isolated.contains(From) && !Isolated.contains(To);
  }

  VirtualTime Time;
  unsigned Published = 0; //!< Version on the platform.
  //! By how much the platform's revision is below the version.
  unsigned LostRevisions = 0;
  bool PlatformUp = true;
  unsigned StaleReads = 0; //!< Reads that return an old version.
  Milliseconds ReadDelay{5};
  std::set<unsigned> Isolated; //!< Reach neither peers nor the platform.
  std::set<unsigned> WithoutPlatform;
  std::set<unsigned> CorruptPeers; //!< Answer with a set of wrong digest.
  std::set<unsigned> ForgingPeers; //!< Answer with set 99 as version 2.
  bool AnnouncementsOnly = false;  //!< Heartbeats do not report versions.
  std::vector<Member> Members;
  std::vector<unsigned> PlatformCallCounts;
  std::vector<std::unique_ptr<ConfigSync>> Hosts;
  std::map<unsigned, std::vector<std::uint64_t>> Applied;
  unsigned ActivePulls = 0;
  unsigned MaxConcurrentPulls = 0;

private:
  std::vector<Member> membersSeenBy(unsigned Index) const {
    std::vector<Member> Result{Members[Index]};
    for (unsigned I = 0; I < Members.size(); ++I) {
      if (I == Index || !connected(Index, I))
        continue;
      Result.push_back(Members[I]);
      if (AnnouncementsOnly)
        Result.back().Version = ConfigVersion();
    }
    return Result;
  }

  static Unexpected unavailable() {
    return Unexpected(Error{.Code = Down, .Step = "test"});
  }

  static Task<Expected<SyncAnswer>> pull(Fleet *Self, unsigned From,
                                         unsigned To, SyncRequest Request) {
    Self->MaxConcurrentPulls =
        std::max(Self->MaxConcurrentPulls, ++Self->ActivePulls);
    co_await Self->Time.timeSource().SleepUntil(Self->Time.now() +
                                                Milliseconds(5));
    --Self->ActivePulls;
    if (!Self->connected(From, To))
      co_return unavailable();
    SyncAnswer Answer = answerRequest(Self->Hosts[To]->history(), Request);
    if (Self->ForgingPeers.contains(To))
      co_return SyncAnswer{.Kind = SyncAnswerKind::Full,
                           .Version = ConfigVersion(2),
                           .ObjectsDigest = digestAt(99),
                           .Body = encodeCbor(config::toJson(setAt(99)))};
    if (Self->CorruptPeers.contains(To))
      Answer.Body = encodeCbor(config::toJson(setAt(99)));
    if (Self->CorruptPeers.contains(To))
      Answer.Kind = SyncAnswerKind::Full;
    co_return Answer;
  }

  bool reachesPlatform(unsigned Index) const {
    return PlatformUp && !Isolated.contains(Index) &&
           !WithoutPlatform.contains(Index);
  }

  static config::Manifest manifestAt(unsigned Version) {
    return config::Manifest{.Version = ConfigVersion(Version),
                            .ObjectsDigest = digestAt(Version)};
  }

  static Task<Expected<std::optional<config::StoredManifest>>>
  waitForManifest(Fleet *Self, unsigned Index, std::uint64_t After) {
    ++Self->PlatformCallCounts[Index];
    for (int Waited = 0; Waited < 20'000; Waited += 50) {
      if (!Self->reachesPlatform(Index))
        co_return unavailable();
      const unsigned Revision = Self->Published - Self->LostRevisions;
      if (Revision > After)
        co_return config::StoredManifest{.ManifestContent =
                                             manifestAt(Self->Published),
                                         .Revision = Revision};
      co_await Self->Time.timeSource().SleepUntil(Self->Time.now() +
                                                  Milliseconds(50));
    }
    co_return std::optional<config::StoredManifest>();
  }

  static Task<Expected<config::PublishedSet>>
  readPublished(Fleet *Self, unsigned Index, std::uint64_t MinRevision) {
    ++Self->PlatformCallCounts[Index];
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
                                   .Revision = Version - Self->LostRevisions,
                                   .Objects = setAt(Version)};
  }
};

} // namespace

TEST_CASE("A new version reaches every host within 5 s", "[sync]") {
  // Guards against hosts that neither watch the platform nor receive an
  // announcement, against several pulls by one host, and against hosts other
  // than the watchers that call the platform.
  for (const bool AnnouncementsOnly : {false, true}) {
    CAPTURE(AnnouncementsOnly);
    Fleet TestFleet(24);
    TestFleet.AnnouncementsOnly = AnnouncementsOnly;
    TestFleet.Published = 1;
    if (!AnnouncementsOnly)
      CHECK(TestFleet.millisecondsUntilAllHave(1) <= 5000);
    else
      TestFleet.Time.advance(Milliseconds(10'000));
    const std::vector<unsigned> Calls = TestFleet.PlatformCallCounts;
    for (unsigned Version = 2; Version <= 6; ++Version) {
      TestFleet.Published = Version;
      const int Took = TestFleet.millisecondsUntilAllHave(Version);
      if (!AnnouncementsOnly)
        CHECK(Took <= 5000);
      // Announcements alone, without versions in heartbeats, reach most hosts.
      unsigned Reached = 0;
      for (unsigned I = 0; I < 24; ++I)
        Reached += TestFleet.versionOf(I) == Version;
      CHECK(Reached >= 20);
    }
    for (const unsigned Index : TestFleet.nonWatchers())
      CHECK(TestFleet.PlatformCallCounts[Index] == Calls[Index]);
    CHECK(TestFleet.nonWatchers().size() == 20);
    CHECK(TestFleet.Hosts[*TestFleet.nonWatchers().begin()]
              ->counters()
              .StaleDropped <= 5);
  }
}

TEST_CASE("A host pulls from one peer at a time", "[sync]") {
  // Guards against a host that receives three announcements and starts three
  // pulls.
  Fleet TestFleet(2);
  TestFleet.Published = 1;
  REQUIRE(TestFleet.millisecondsUntilAllHave(1) <= 5000);
  for (unsigned I = 0; I < 10; ++I)
    TestFleet.add();
  CHECK(TestFleet.millisecondsUntilAllHave(1) <= 5000);
  CHECK(TestFleet.MaxConcurrentPulls <= 10);
  for (unsigned I = 2; I < 12; ++I)
    CHECK(TestFleet.Hosts[I]->counters().Pulls == 1);
}

TEST_CASE("A starting host takes the configuration from peers or the platform",
          "[sync]") {
  // Guards against a host that waits for one source of the configuration while
  // only the other one is available.
  SECTION("from peers while the platform is down") {
    Fleet TestFleet(4);
    TestFleet.Published = 3;
    REQUIRE(TestFleet.millisecondsUntilAllHave(3) <= 5000);
    TestFleet.PlatformUp = false;
    for (unsigned I = 0; I < 4; ++I)
      TestFleet.add();
    CHECK(TestFleet.millisecondsUntilAllHave(3) <= 5000);
  }
  SECTION("from the platform while no peer has it, with few calls") {
    Fleet TestFleet(8);
    TestFleet.PlatformUp = false;
    TestFleet.Time.advance(Milliseconds(60'000));
    for (const unsigned Calls : TestFleet.PlatformCallCounts)
      CHECK(Calls <= 30);
    TestFleet.Published = 3;
    TestFleet.PlatformUp = true;
    CHECK(TestFleet.millisecondsUntilAllHave(3) <= 20'000);
  }
  SECTION("from the platform although it is no watcher") {
    Fleet TestFleet(8);
    const unsigned Index = *TestFleet.nonWatchers().begin();
    TestFleet.Published = 3;
    for (unsigned I = 0; I < 8; ++I)
      if (I != Index)
        TestFleet.WithoutPlatform.insert(I);
    CHECK(TestFleet.millisecondsUntilAllHave(3, {Index}) <= 8000);
    CHECK(TestFleet.millisecondsUntilAllHave(3) <= 8000);
  }
}

TEST_CASE("A stale read of the platform does not lower a host's version",
          "[sync]") {
  // Guards against a replica of the platform's store that answers with an old
  // version.
  Fleet TestFleet(4);
  TestFleet.Published = 3;
  REQUIRE(TestFleet.millisecondsUntilAllHave(3) <= 5000);
  TestFleet.StaleReads = 100;
  TestFleet.Published = 4;
  TestFleet.millisecondsUntilAllHave(4);
  TestFleet.PlatformUp = false;
  TestFleet.Time.advance(Milliseconds(500));
  TestFleet.PlatformUp = true;
  TestFleet.add();
  TestFleet.Time.advance(Milliseconds(20'000));
  for (unsigned I = 0; I < 5; ++I)
    CHECK(TestFleet.versionOf(I) == 4);
}

TEST_CASE("A version is in force although the platform came back from a copy "
          "and its revisions are lower",
          "[sync]") {
  // Guards against a watch after a revision that the platform no longer has:
  // nothing was seen until the counter had passed it.
  Fleet TestFleet(8);
  TestFleet.Published = 9;
  REQUIRE(TestFleet.millisecondsUntilAllHave(9) <= 5000);
  TestFleet.PlatformUp = false;
  TestFleet.Time.advance(Milliseconds(500));
  TestFleet.LostRevisions = 6;
  TestFleet.Published = 7;
  TestFleet.PlatformUp = true;
  TestFleet.Time.advance(Milliseconds(10'000));
  for (unsigned I = 0; I < 8; ++I)
    CHECK(TestFleet.versionOf(I) == 9);
  TestFleet.Published = 10;
  CHECK(TestFleet.millisecondsUntilAllHave(10) <= 5000);
  for (const unsigned Calls : TestFleet.PlatformCallCounts)
    CHECK(Calls <= 20);
}

TEST_CASE("Delayed and false announcements change nothing", "[sync]") {
  // Guards against a version that decreases after a delayed announcement, and
  // against endless pulls of an announced version that no host has.
  Fleet TestFleet(4);
  TestFleet.Published = 5;
  REQUIRE(TestFleet.millisecondsUntilAllHave(5) <= 5000);
  const auto Receive = [&](unsigned Version, Digest ObjectsDigest) {
    const Bytes Encoded = encode(Announcement{.From = TestFleet.Members[1].Name,
                                              .Version = ConfigVersion(Version),
                                              .ObjectsDigest = ObjectsDigest});
    TestFleet.Hosts[0]->handleAnnouncement(
        *wire::decodeEnvelope(Encoded, "t", "p"),
        TestFleet.Members[1].PeerAddress);
    TestFleet.Time.advance(Milliseconds(5000));
  };
  const auto Pulls = TestFleet.Hosts[0]->counters().Pulls;
  Receive(4, digestAt(4));
  Receive(5, digestAt(5));
  CHECK(TestFleet.Hosts[0]->counters().Pulls == Pulls);
  Receive(9, digestAt(9));
  CHECK(TestFleet.versionOf(0) == 5);
  CHECK(TestFleet.Hosts[0]->counters().Pulls <= Pulls + 1);
  const wire::Envelope Bad{.Type = AnnouncementType,
                           .Fields = {{"version", -1}}};
  TestFleet.Hosts[0]->handleAnnouncement(Bad, TestFleet.Members[1].PeerAddress);
  CHECK(TestFleet.Hosts[0]->counters().MalformedMessages == 1);
}

TEST_CASE("A set with a wrong digest is refused and read from another source",
          "[sync]") {
  // Guards against a host with a damaged set that spreads it to its peers.
  Fleet TestFleet(12);
  TestFleet.Published = 1;
  REQUIRE(TestFleet.millisecondsUntilAllHave(1) <= 5000);
  const std::set<unsigned> Readers = TestFleet.nonWatchers();
  TestFleet.CorruptPeers = {*Readers.begin(), *std::next(Readers.begin())};
  TestFleet.Published = 2;
  CHECK(TestFleet.millisecondsUntilAllHave(2) <= 10'000);
  for (unsigned I = 0; I < 12; ++I)
    CHECK(*TestFleet.Hosts[I]->history().Set == setAt(2));
  // If all peers send wrong sets, a host has none rather than a wrong one.
  Fleet MisledFleet(3);
  MisledFleet.Published = 1;
  REQUIRE(MisledFleet.millisecondsUntilAllHave(1) <= 5000);
  MisledFleet.CorruptPeers = {0, 1, 2};
  MisledFleet.add();
  MisledFleet.add();
  MisledFleet.Time.advance(Milliseconds(2000));
  for (unsigned I = 3; I < 5; ++I)
    if (!MisledFleet.Hosts[I]->isPlatformWatcher())
      CHECK(MisledFleet.Hosts[I]->counters().PullFailures > 0);
  for (const auto &[Index, Versions] : MisledFleet.Applied)
    CHECK(*MisledFleet.Hosts[Index]->history().Set == setAt(1));
}

TEST_CASE("An answer must have the digest of the announcement", "[sync]") {
  // Guards against a set that matches the digest in its answer but was never
  // published: announcements carry a MAC and answers do not.
  Fleet TestFleet(4);
  TestFleet.Published = 1;
  REQUIRE(TestFleet.millisecondsUntilAllHave(1) <= 5000);
  TestFleet.ForgingPeers = {1};
  const Bytes Encoded = encode(Announcement{.From = TestFleet.Members[1].Name,
                                            .Version = ConfigVersion(2),
                                            .ObjectsDigest = digestAt(2)});
  TestFleet.Hosts[0]->handleAnnouncement(
      *wire::decodeEnvelope(Encoded, "t", "p"),
      TestFleet.Members[1].PeerAddress);
  TestFleet.Time.advance(Milliseconds(3000));
  CHECK(TestFleet.versionOf(0) == 1);
  CHECK(TestFleet.Hosts[0]->counters().PullFailures >= 1);
  TestFleet.Published = 2;
  CHECK(TestFleet.millisecondsUntilAllHave(2, {0}) <= 15'000);
  CHECK(*TestFleet.Hosts[0]->history().Set == setAt(2));
}

TEST_CASE("A failure domain that was cut off takes the higher version",
          "[sync]") {
  // Guards against a failure domain that rejoins and makes the others return to
  // its old version, and against one whose newer version the others do not
  // take.
  struct TestCase {
    std::set<unsigned> CutOff;
    const char *Text;
  };
  const std::set<unsigned> Odd{1, 3, 5, 7, 9, 11};
  Fleet TestFleet(12);
  TestFleet.Published = 1;
  REQUIRE(TestFleet.millisecondsUntilAllHave(1) <= 5000);
  SECTION("it rejoins with an older version") {
    // Isolated hosts reach no other host, so the whole domain stays at version
    // 1.
    TestFleet.Isolated = Odd;
    TestFleet.Published = 2;
    REQUIRE(TestFleet.millisecondsUntilAllHave(2, {0, 2, 4, 6, 8, 10}) <= 5000);
    TestFleet.Published = 3;
    REQUIRE(TestFleet.millisecondsUntilAllHave(3, {0, 2, 4, 6, 8, 10}) <= 5000);
    for (const unsigned I : Odd)
      CHECK(TestFleet.versionOf(I) == 1);
    TestFleet.Isolated.clear();
    CHECK(TestFleet.millisecondsUntilAllHave(3) <= 15'000);
  }
  SECTION("it rejoins with a newer version") {
    TestFleet.Isolated = {0, 2, 4, 6, 8, 10};
    TestFleet.Published = 2;
    REQUIRE(TestFleet.millisecondsUntilAllHave(2, Odd) <= 5000);
    // The platform is down when the hosts are connected again.
    TestFleet.PlatformUp = false;
    TestFleet.Isolated.clear();
    CHECK(TestFleet.millisecondsUntilAllHave(2) <= 15'000);
  }
  for (const auto &[Index, Versions] : TestFleet.Applied)
    CHECK(std::is_sorted(Versions.begin(), Versions.end()));
}

TEST_CASE(
    "A host isolated over three versions catches up and drops stale answers",
    "[sync]") {
  // Guards against a host that is isolated, misses versions and, once connected
  // again, applies the outdated answer of a read that it had begun.
  Fleet TestFleet(8);
  TestFleet.Published = 1;
  REQUIRE(TestFleet.millisecondsUntilAllHave(1) <= 5000);
  unsigned IsolatedHost = 0;
  SECTION("a host that pulls") {
    IsolatedHost = *TestFleet.nonWatchers().begin();
  }
  SECTION("a watcher") {
    while (!TestFleet.Hosts[IsolatedHost]->isPlatformWatcher())
      ++IsolatedHost;
  }
  TestFleet.Isolated = {IsolatedHost};
  std::set<unsigned> Others;
  for (unsigned I = 0; I < 8; ++I)
    if (I != IsolatedHost)
      Others.insert(I);
  for (const unsigned Version : {2U, 3U, 4U}) {
    TestFleet.Published = Version;
    REQUIRE(TestFleet.millisecondsUntilAllHave(Version, Others) <= 5000);
  }
  CHECK(TestFleet.versionOf(IsolatedHost) == 1);
  TestFleet.Isolated.clear();
  CHECK(TestFleet.millisecondsUntilAllHave(4) <= 15'000);
  // It took the newest version at once, without putting those between into
  // force.
  CHECK(TestFleet.Applied[IsolatedHost] == std::vector<std::uint64_t>{1, 4});
}

TEST_CASE("An answer of the platform that took too long is discarded",
          "[sync]") {
  // Guards against a process that was suspended during a read and then applies
  // a version that is older than that of the fleet.
  Fleet TestFleet(1);
  TestFleet.Published = 1;
  TestFleet.ReadDelay = Milliseconds(15'000);
  TestFleet.Time.advance(Milliseconds(17'000));
  CHECK(TestFleet.versionOf(0) == 0);
  CHECK(TestFleet.Hosts[0]->counters().StaleDropped >= 1);
  TestFleet.Published = 2;
  TestFleet.ReadDelay = Milliseconds(5);
  CHECK(TestFleet.millisecondsUntilAllHave(2) <= 30'000);
  CHECK(TestFleet.Applied[0] == std::vector<std::uint64_t>{2});
}

TEST_CASE("Hosts make few calls to a platform that is down", "[sync]") {
  // Guards against watchers that overload the platform's store when it
  // recovers.
  Fleet TestFleet(12);
  TestFleet.Published = 1;
  REQUIRE(TestFleet.millisecondsUntilAllHave(1) <= 5000);
  TestFleet.Time.advance(Milliseconds(1000));
  const std::vector<unsigned> Before = TestFleet.PlatformCallCounts;
  TestFleet.PlatformUp = false;
  TestFleet.Time.advance(Milliseconds(300'000));
  for (unsigned I = 0; I < 12; ++I)
    CHECK(TestFleet.PlatformCallCounts[I] - Before[I] <= 70);
  TestFleet.PlatformUp = true;
  TestFleet.Published = 2;
  CHECK(TestFleet.millisecondsUntilAllHave(2) <= 15'000);
}
