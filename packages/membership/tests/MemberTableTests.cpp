#include "Fleet.h"

#include "buckthorndeck/membership/MemberTable.h"
#include "buckthorndeck/membership/Watchers.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::membership;

namespace {

constexpr auto Alive = MemberState::Alive;
constexpr auto Suspect = MemberState::Suspect;
constexpr auto Leaving = MemberState::Leaving;
constexpr auto Dead = MemberState::Dead;
constexpr auto Left = MemberState::Left;

const TimePoint Zero{std::chrono::hours(1)};

TimePoint at(int Seconds) { return Zero + std::chrono::seconds(Seconds); }

struct StateClaim {
  std::uint64_t StartTime;
  std::uint64_t Refutation;
  MemberState State;
};

Member member(unsigned Index, const StateClaim &Claim) {
  Member Result = makeMember(Index, Claim.StartTime);
  Result.Refutation = Claim.Refutation;
  Result.State = Claim.State;
  return Result;
}

//! Host 0 with alive members 1 to Count.
MemberTable tableOf(unsigned Count) {
  MemberTable Table{.Self = makeMember(0)};
  for (unsigned I = 1; I <= Count; ++I)
    merge(Table, makeMember(I), Zero, Propagate::No);
  return Table;
}

MemberState stateOf(const MemberTable &Table, unsigned Index) {
  return Table.Others.at(makeMember(Index).Name).Info.State;
}

} // namespace

TEST_CASE("A claim about a member wins by start time, refutation and state",
          "[merge]") {
  // Guards against messages that arrive late or out of order and revert a
  // member's state.
  struct TestCase {
    StateClaim Recorded;
    StateClaim Claim;
    MergeResult Result;
  };
  constexpr auto Unchanged = MergeResult::Unchanged;
  constexpr auto Outdated = MergeResult::Outdated;
  constexpr auto Changed = MergeResult::Changed;
  const TestCase Cases[] = {
      {{5, 0, Alive}, {5, 0, Alive}, Unchanged},
      {{5, 0, Alive}, {5, 0, Suspect}, Changed},
      {{5, 0, Alive}, {5, 0, Leaving}, Changed},
      {{5, 0, Alive}, {5, 0, Dead}, Changed},
      {{5, 1, Alive}, {5, 0, Suspect}, Outdated},
      {{5, 1, Alive}, {5, 0, Dead}, Outdated},
      {{5, 0, Suspect}, {5, 0, Alive}, Outdated},
      {{5, 0, Suspect}, {5, 0, Suspect}, Unchanged},
      {{5, 0, Suspect}, {5, 1, Alive}, Changed},
      {{5, 0, Suspect}, {5, 0, Dead}, Changed},
      {{5, 1, Leaving}, {5, 0, Alive}, Outdated},
      {{5, 1, Leaving}, {5, 1, Suspect}, Changed},
      {{5, 1, Suspect}, {5, 2, Leaving}, Changed},
      {{5, 0, Dead}, {5, 0, Alive}, Outdated},
      {{5, 0, Dead}, {5, 0, Suspect}, Outdated},
      {{5, 0, Dead}, {5, 1, Alive}, Changed},
      {{5, 0, Dead}, {5, 1, Dead}, Changed},
      {{5, 0, Dead}, {6, 0, Alive}, Changed},
      {{5, 2, Left}, {5, 9, Alive}, Outdated},
      {{5, 2, Left}, {5, 9, Dead}, Outdated},
      {{5, 2, Left}, {5, 2, Left}, Unchanged},
      {{5, 2, Left}, {6, 0, Alive}, Changed},
      {{5, 3, Alive}, {5, 1, Left}, Changed},
      {{6, 0, Alive}, {5, 9, Dead}, Outdated},
      {{6, 0, Alive}, {5, 9, Left}, Outdated},
      {{6, 0, Alive}, {5, 9, Alive}, Outdated},
      {{5, 9, Alive}, {6, 0, Suspect}, Changed},
  };
  for (const TestCase &Case : Cases) {
    CAPTURE(&Case - Cases);
    MemberTable Table = tableOf(0);
    Member First =
        member(1, {Case.Recorded.StartTime, Case.Recorded.Refutation, Alive});
    REQUIRE(merge(Table, First, Zero) == Changed);
    Table.Others.at(First.Name).Info.State = Case.Recorded.State;
    CHECK(merge(Table, member(1, Case.Claim), at(1)) == Case.Result);
    const StateClaim &Winner =
        Case.Result == Changed ? Case.Claim : Case.Recorded;
    const Member &Now = Table.Others.at(First.Name).Info;
    CHECK(Now.StartTime.value() == Winner.StartTime);
    CHECK(Now.Refutation == Winner.Refutation);
    CHECK(Now.State == Winner.State);
  }
}

TEST_CASE("A claim about this host is refuted if it would override its state",
          "[merge]") {
  // Guards against a live host that does not refute its own death, and against
  // one that raises its refutation for every delayed copy of an old update.
  struct TestCase {
    StateClaim Own;
    StateClaim Claim;
    MergeResult Result;
    std::uint64_t Refutation;
  };
  const TestCase Cases[] = {
      {{5, 0, Alive}, {5, 0, Suspect}, MergeResult::Refuted, 1},
      {{5, 0, Alive}, {5, 0, Dead}, MergeResult::Refuted, 1},
      {{5, 1, Alive}, {5, 4, Dead}, MergeResult::Refuted, 5},
      {{5, 1, Alive}, {5, 0, Dead}, MergeResult::Unchanged, 1},
      {{5, 1, Leaving}, {5, 1, Suspect}, MergeResult::Refuted, 2},
      {{5, 1, Left}, {5, 1, Dead}, MergeResult::Unchanged, 1},
      {{5, 0, Alive}, {5, 0, Alive}, MergeResult::Unchanged, 0},
      {{5, 0, Alive}, {4, 7, Dead}, MergeResult::Outdated, 0},
      {{5, 0, Alive}, {6, 0, Alive}, MergeResult::Replaced, 0},
      {{5, 0, Alive}, {6, 0, Dead}, MergeResult::Replaced, 0},
  };
  for (const TestCase &Case : Cases) {
    CAPTURE(&Case - Cases);
    MemberTable Table{.Self = member(0, Case.Own)};
    CHECK(merge(Table, member(0, Case.Claim), Zero) == Case.Result);
    CHECK(Table.Self.Refutation == Case.Refutation);
    CHECK(Table.Self.State == Case.Own.State);
    CHECK(Table.PendingUpdates.contains(Table.Self.Name) ==
          (Case.Result == MergeResult::Refuted));
  }
}

TEST_CASE("Dead and left are not recorded for unknown members", "[merge]") {
  // Guards against updates about a removed member that circulate for ever.
  MemberTable Table = tableOf(0);
  CHECK(merge(Table, member(1, {5, 0, Dead}), Zero) == MergeResult::Unchanged);
  CHECK(merge(Table, member(1, {5, 0, Left}), Zero) == MergeResult::Unchanged);
  CHECK(Table.Others.empty());
  CHECK(Table.PendingUpdates.empty());
}

TEST_CASE("An outdated claim queues the update again at most once in 10 s",
          "[merge]") {
  // Guards against a peer that missed an update and never receives it, and
  // against one outdated peer that makes the whole fleet repeat it.
  MemberTable Table = tableOf(1);
  merge(Table, member(1, {1000, 0, Dead}), at(0));
  Table.PendingUpdates.clear();
  merge(Table, member(1, {1000, 0, Alive}), at(5));
  CHECK(Table.PendingUpdates.empty());
  merge(Table, member(1, {1000, 0, Alive}), at(10));
  CHECK(Table.PendingUpdates.size() == 1);
}

TEST_CASE("A suspect member is declared dead only after the timeout",
          "[table]") {
  // Guards against members that are declared dead too early, also by a host
  // that was itself suspended and counts the time in which it received nothing.
  MemberTable Table = tableOf(3);
  const Milliseconds Timeout{3000};
  REQUIRE(suspect(Table, makeMember(1).Name, Incarnation(1000), at(0)));
  REQUIRE(suspect(Table, makeMember(2).Name, Incarnation(1000), at(2)));
  CHECK_FALSE(suspect(Table, makeMember(3).Name, Incarnation(999), at(2)));
  CHECK(expireSuspicions(Table, at(2), Timeout).empty());
  CHECK(expireSuspicions(Table, at(3), Timeout).size() == 1);
  CHECK(stateOf(Table, 1) == Dead);
  CHECK(stateOf(Table, 2) == Suspect);
  restartSuspicions(Table, at(20));
  CHECK(expireSuspicions(Table, at(22), Timeout).empty());
  CHECK(expireSuspicions(Table, at(23), Timeout).size() == 1);
  CHECK(stateOf(Table, 3) == Alive);
}

TEST_CASE("A member that other hosts suspect gets twice the time", "[table]") {
  // Guards against hosts that receive a suspicion late, miss the refutation and
  // declare a live member dead.
  MemberTable Table = tableOf(2);
  const Milliseconds Timeout{3000};
  merge(Table, member(1, {1000, 0, Suspect}), at(0));
  suspect(Table, makeMember(2).Name, Incarnation(1000), at(0));
  CHECK(expireSuspicions(Table, at(3), Timeout).size() == 1);
  CHECK(stateOf(Table, 1) == Suspect);
  CHECK(expireSuspicions(Table, at(6), Timeout).size() == 1);
}

TEST_CASE("Dead and left members are removed after the retention", "[table]") {
  // Guards against a table that grows with every replaced host, and against a
  // name that no later process can use.
  MemberTable Table = tableOf(3);
  merge(Table, member(1, {1000, 0, Dead}), at(0));
  merge(Table, member(2, {1000, 1, Left}), at(300));
  const Milliseconds Retention{600'000};
  removeExpiredMembers(Table, at(599), Retention);
  CHECK(Table.Others.size() == 3);
  removeExpiredMembers(Table, at(600), Retention);
  CHECK(Table.Others.size() == 2);
  removeExpiredMembers(Table, at(900), Retention);
  CHECK(Table.Others.size() == 1);
  CHECK(Table.PendingUpdates.empty());
  CHECK(merge(Table, member(1, {900, 0, Alive}), at(901)) ==
        MergeResult::Changed);
}

TEST_CASE("Each reachable member is probed once per round", "[table]") {
  // Guards against a member that is not probed for long because targets are
  // chosen at random.
  MemberTable Table = tableOf(20);
  merge(Table, member(7, {1000, 0, Dead}), Zero);
  Member Remote = makeMember(8, 1001);
  Remote.Region = RegionName("sudurland");
  merge(Table, Remote, Zero);
  RandomEngine Random(3);
  std::set<EntryHostName> Previous;
  for (int Round = 0; Round < 3; ++Round) {
    std::set<EntryHostName> Probed;
    for (int I = 0; I < 18; ++I)
      Probed.insert(nextProbeTarget(Table, Random)->Name);
    CHECK(Probed.size() == 18);
    CHECK_FALSE(Probed.contains(makeMember(7).Name));
    CHECK_FALSE(Probed.contains(Remote.Name));
  }
  CHECK(nextRemoteTarget(Table, Random)->Name == Remote.Name);
  MemberTable Empty = tableOf(0);
  CHECK_FALSE(nextProbeTarget(Empty, Random));
}

TEST_CASE("Indirect probers are in the target's region and never the target",
          "[table]") {
  // Guards against a report from a host that the same partition separates from
  // the target as this one.
  MemberTable Table = tableOf(6);
  for (const unsigned Index : {4U, 5U, 6U}) {
    Member Remote = makeMember(Index, 1001);
    Remote.Region = RegionName("sudurland");
    merge(Table, Remote, Zero);
  }
  RandomEngine Random(3);
  const Member Target = Table.Others.at(makeMember(4).Name).Info;
  const auto Probers = chooseIndirectProbers(Table, Target, 3, Random);
  CHECK(Probers.size() == 2);
  for (const Member &Prober : Probers) {
    CHECK(Prober.Region == Target.Region);
    CHECK(Prober.Name != Target.Name);
  }
}

TEST_CASE("An update is sent 3 log2 n times, least sent first", "[table]") {
  // Guards against updates that are sent for ever, and against new ones that
  // wait behind old ones.
  MemberTable Table = tableOf(11);
  for (unsigned I = 1; I <= 11; ++I)
    merge(Table, member(I, {1000, 0, Suspect}), Zero);
  std::map<EntryHostName, unsigned> Sent;
  for (int Messages = 0; Messages < 100; ++Messages) {
    const auto Updates = chooseUpdates(Table, 8);
    recordSent(Table, Updates);
    for (const Member &Update : Updates)
      ++Sent[Update.Name];
  }
  CHECK(Sent.size() == 11);
  for (const auto &[Name, Count] : Sent)
    CHECK(Count == transmissionLimit(12));
  CHECK(transmissionLimit(1) == 3);
  CHECK(transmissionLimit(9) == 12);
  CHECK(transmissionLimit(1200) == 33);
}

TEST_CASE("Pages cover the whole table once, whatever the reader's name",
          "[table]") {
  // Guards against members that a joining host never reads, because pages skip
  // them.
  MemberTable Table = tableOf(30);
  merge(Table, member(5, {1000, 0, Dead}), Zero);
  for (const unsigned Reader : {0U, 1U, 17U, 30U, 99U}) {
    CAPTURE(Reader);
    const EntryHostName Name = makeMember(Reader).Name;
    std::vector<EntryHostName> Read;
    EntryHostName Cursor = Name;
    while (true) {
      const auto Page = membersAfter(Table, Name, Cursor, 7);
      for (const Member &Entry : Page)
        Read.push_back(Entry.Name);
      if (Page.size() < 7)
        break;
      Cursor = Page.back().Name;
    }
    const bool ReaderIsMember = Reader >= 1 && Reader <= 30;
    CHECK(Read.size() == (ReaderIsMember ? 28 : 29));
    CHECK(std::set(Read.begin(), Read.end()).size() == Read.size());
  }
}

TEST_CASE("Watchers are live hosts of the domain and change only if one fails "
          "or leaves",
          "[watchers]") {
  // Guards against a failure domain without watchers, and against watchers that
  // change when another host fails.
  std::vector<Member> Members;
  for (unsigned I = 0; I < 30; ++I)
    Members.push_back(makeMember(I));
  const FailureDomainName Domain("domain-a");
  const auto Before = choosePlatformWatchers(Members, Domain, 2);
  REQUIRE(Before.size() == 2);
  for (Member &Each : Members) {
    const bool Watches =
        std::find(Before.begin(), Before.end(), Each.Name) != Before.end();
    if (Watches)
      CHECK(Each.FailureDomain == Domain);
    for (const MemberState Gone : {Dead, Left, Leaving}) {
      Each.State = Gone;
      const auto After = choosePlatformWatchers(Members, Domain, 2);
      CHECK((After == Before) == !Watches);
      CHECK(std::find(After.begin(), After.end(), Each.Name) == After.end());
    }
    Each.State = Alive;
  }
  Members.resize(1);
  CHECK(choosePlatformWatchers(Members, Domain, 2).size() == 1);
}
