#include "Fleet.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::membership;

namespace {

//! A fleet of Count hosts that know each other.
std::unique_ptr<Fleet> fleetOf(unsigned Count, std::uint64_t Seed) {
  auto All = std::make_unique<Fleet>(Seed);
  for (unsigned I = 0; I < Count; ++I)
    All->start(I);
  REQUIRE(All->secondsUntil([&] { return All->agreed(); }, 60) < 60);
  return All;
}

//! True if every host sees host Index in State.
bool allSee(Fleet &All, unsigned Index, MemberState State) {
  for (const auto &[Address, Host] : All.Hosts) {
    const Member *Found = Host->find(makeMember(Index).Name);
    if (Address != addressOf(Index) && (!Found || Found->State != State))
      return false;
  }
  return true;
}

bool anyoneDead(const Fleet &All) {
  for (const auto &[Address, Host] : All.Hosts)
    for (const Member &Other : Host->members())
      if (Other.State == MemberState::Dead)
        return true;
  return false;
}

} // namespace

TEST_CASE("Hosts that start together find each other", "[fleet]") {
  // Guards against a start order in which some hosts never learn of others.
  for (const unsigned Hosts : {2U, 3U, 9U, 36U}) {
    CAPTURE(Hosts);
    Fleet All(Hosts);
    for (unsigned I = 0; I < Hosts; ++I)
      All.start(I);
    CHECK(All.secondsUntil([&] { return All.agreed(); }, 60) < 20);
  }
}

TEST_CASE("A host that joins late learns of all others", "[fleet]") {
  // Guards against a table read that loses members between pages.
  auto All = fleetOf(36, 1);
  All->Time.advance(Milliseconds(120'000));
  All->start(40);
  CHECK(All->secondsUntil([&] { return (*All)[40].complete(); }, 60) < 10);
  CHECK((*All)[40].reachable().size() == 36);
  CHECK(All->secondsUntil([&] { return All->agreed(); }, 60) < 20);
}

TEST_CASE("A dead host is seen dead by all within seconds", "[fleet]") {
  // Guards against slow detection, and against news that does not spread.
  for (const std::uint64_t Seed : {1U, 2U, 3U}) {
    CAPTURE(Seed);
    auto All = fleetOf(30, Seed);
    All->kill(17);
    CHECK(All->secondsUntil([&] { return allSee(*All, 17, MemberState::Dead); },
                            60) <= 12);
    CHECK(All->agreed());
  }
}

TEST_CASE("Loss alone kills nobody for long", "[fleet]") {
  // Guards against detection without indirect probes or without refutation.
  struct Row {
    double Loss;
    bool DeathsAllowed;
  };
  const Row Rows[] = {{0.02, false}, {0.05, false}, {0.20, true}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.Loss);
    auto All = fleetOf(24, 7);
    All->Loss = Case.Loss;
    bool Deaths = false;
    for (int Second = 0; Second < 300; ++Second) {
      All->Time.advance(Milliseconds(1000));
      Deaths |= anyoneDead(*All);
    }
    CHECK((Case.DeathsAllowed || !Deaths));
    All->Loss = 0;
    CHECK(All->secondsUntil([&] { return All->agreed(); }, 120) < 60);
  }
}

TEST_CASE("The sides of a healed partition find each other", "[fleet]") {
  // Guards against sides that hold each other dead for ever, both before and
  // after the retention time has made them forget each other.
  struct Row {
    unsigned Hosts;
    unsigned FirstSide;
    int Seconds;
  };
  const Row Rows[] = {{9, 3, 30}, {9, 1, 120}, {30, 10, 60}, {9, 3, 700}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.Hosts, Case.FirstSide, Case.Seconds);
    auto All = fleetOf(Case.Hosts, 11);
    const auto IsFirst = [&](const UdpEndpoint &Address) {
      return Address < addressOf(Case.FirstSide);
    };
    All->Passes = [&](const UdpEndpoint &From, const UdpEndpoint &To) {
      return IsFirst(From) == IsFirst(To);
    };
    All->Time.advance(Milliseconds(Case.Seconds * 1000));
    CHECK((*All)[0].reachable().size() == Case.FirstSide - 1);
    CHECK((*All)[Case.FirstSide].reachable().size() ==
          Case.Hosts - Case.FirstSide - 1);
    All->Passes = nullptr;
    CHECK(All->secondsUntil([&] { return All->agreed(); }, 300) < 90);
  }
}

TEST_CASE("A one-way link does not kill a host that others reach", "[fleet]") {
  // Guards against a single observer that decides for the fleet.
  auto All = fleetOf(12, 5);
  All->Passes = [](const UdpEndpoint &From, const UdpEndpoint &To) {
    return From != addressOf(2) || To != addressOf(3);
  };
  for (int Second = 0; Second < 120; ++Second) {
    All->Time.advance(Milliseconds(1000));
    REQUIRE_FALSE(anyoneDead(*All));
  }
}

TEST_CASE("A frozen process suspects nobody and refutes its own death",
          "[fleet]") {
  // Guards against a resumed host that takes its own absence for the failure
  // of the others.
  for (const int Seconds : {2, 4, 10, 60}) {
    CAPTURE(Seconds);
    Fleet All(Seconds);
    for (unsigned I = 0; I < 9; ++I)
      All.start(I);
    REQUIRE(All.secondsUntil([&] { return All.agreed(); }, 60) < 60);
    // The frozen host has its own clock, which jumps; it receives nothing
    // while frozen.
    VirtualTime Own;
    Own.freeze(
        std::chrono::duration_cast<Milliseconds>(All.Time.now() - Own.now()));
    MembershipOptions Options{
        .Self = makeMember(20), .Seeds = {addressOf(0)}, .Time = Own.source()};
    std::vector<EntryHostName> Wronged;
    Options.OnChange = [&](const Member &Changed) {
      if (Changed.State != MemberState::Alive)
        Wronged.push_back(Changed.Name);
    };
    bool Frozen = false;
    auto Host = std::make_shared<Membership>(
        Own.Context.get_executor(), std::move(Options),
        [&](Bytes Payload, const UdpEndpoint &To) {
          All.inject(addressOf(20), To, std::move(Payload));
        });
    All.Passes = [&](const UdpEndpoint &, const UdpEndpoint &To) {
      return !Frozen || To != addressOf(20);
    };
    All.Hosts[addressOf(20)] = Host;
    spawn(Own.Context.get_executor(), "membership", Host->run());
    const auto RunBoth = [&](int Count) {
      for (int I = 0; I < Count * 20; ++I) {
        All.Time.advance(Milliseconds(50));
        if (Frozen)
          Own.freeze(Milliseconds(50));
        else
          Own.advance(Milliseconds(50));
      }
    };
    RunBoth(30);
    REQUIRE(Host->reachable().size() == 9);
    Frozen = true;
    RunBoth(Seconds);
    Frozen = false;
    RunBoth(20);
    CHECK(Wronged.empty());
    CHECK(allSee(All, 20, MemberState::Alive));
    Host->stop();
    Own.advance(Milliseconds(2000));
  }
}

TEST_CASE("A restarted host replaces its former process at once", "[fleet]") {
  // Guards against a restart that waits for the death of its former process.
  auto All = fleetOf(9, 4);
  All->kill(5);
  All->start(5, 2000);
  const auto KnownAsNew = [&] {
    for (const auto &[Address, Host] : All->Hosts)
      if (Host->find(makeMember(5).Name)->StartTime != Incarnation(2000))
        return false;
    return allSee(*All, 5, MemberState::Alive);
  };
  CHECK(All->secondsUntil(KnownAsNew, 60) <= 5);
}

TEST_CASE("A replaced process learns of it and falls silent", "[fleet]") {
  // Guards against two processes that act under one name.
  auto All = fleetOf(9, 4);
  const auto Old = All->Hosts.at(addressOf(5));
  All->start(30, 2000, [](Member &Self) { Self.Name = makeMember(5).Name; });
  CHECK(All->secondsUntil([&] { return All->Replaced.contains(5); }, 60) <= 10);
  const auto Sent = Old->counters().MessagesSent;
  All->Time.advance(Milliseconds(10'000));
  CHECK(Old->counters().MessagesSent == Sent);
  CHECK_FALSE(All->Replaced.contains(30));
}

TEST_CASE("A host at the address of another does not answer for it",
          "[fleet]") {
  // Guards against a reused address that keeps a dead name alive.
  auto All = fleetOf(9, 4);
  All->kill(5);
  All->start(5, 2000, [](Member &Self) { Self.Name = EntryHostName("other"); });
  CHECK(All->secondsUntil([&] { return allSee(*All, 5, MemberState::Dead); },
                          60) <= 15);
  const Member *Other = (*All)[1].find(EntryHostName("other"));
  REQUIRE(Other);
  CHECK(Other->State == MemberState::Alive);
}

TEST_CASE("A graceful stop is seen as leaving and then left", "[fleet]") {
  // Guards against a planned stop that looks like a failure.
  auto All = fleetOf(12, 9);
  (*All)[4].announceLeaving();
  CHECK(All->secondsUntil([&] { return allSee(*All, 4, MemberState::Leaving); },
                          60) <= 8);
  (*All)[4].announceLeft();
  All->Time.advance(Milliseconds(10));
  All->kill(4);
  CHECK(All->secondsUntil([&] { return allSee(*All, 4, MemberState::Left); },
                          60) <= 8);
  CHECK_FALSE(anyoneDead(*All));
}

TEST_CASE("A version reaches others with the heartbeats", "[fleet]") {
  // Guards against a missed announcement that no heartbeat heals.
  auto All = fleetOf(9, 9);
  (*All)[4].setVersion(ConfigVersion(17));
  const auto Heard = [&] {
    for (const auto &[Address, Host] : All->Hosts)
      if (Host->find(makeMember(4).Name)->Version != ConfigVersion(17))
        return false;
    return true;
  };
  CHECK(All->secondsUntil(Heard, 60) <= 10);
}

TEST_CASE("A region that is cut off is not declared dead", "[fleet]") {
  // Guards against an hour's separation of regions that empties both tables,
  // while a single dead host in another region must still be noticed.
  Fleet All(8);
  const auto SetRegion = [](Member &Self) {
    if (Self.PeerAddress >= addressOf(8))
      Self.Region = RegionName("sudurland");
  };
  for (unsigned I = 0; I < 16; ++I)
    All.start(I, 1000, SetRegion);
  REQUIRE(All.secondsUntil([&] { return All.agreed(); }, 60) < 60);
  All.Passes = [](const UdpEndpoint &From, const UdpEndpoint &To) {
    return (From < addressOf(8)) == (To < addressOf(8));
  };
  All.Time.advance(Milliseconds(300'000));
  CHECK_FALSE(anyoneDead(All));
  All.kill(12);
  All.Time.advance(Milliseconds(30'000));
  CHECK(All.seen(9, 12) == MemberState::Dead);
  CHECK(All.seen(0, 12) == MemberState::Alive);
  All.Passes = nullptr;
  CHECK(All.secondsUntil([&] { return allSee(All, 12, MemberState::Dead); },
                         300) <= 90);
}
