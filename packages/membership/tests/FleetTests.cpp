#include "Fleet.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::membership;

namespace {

//! A fleet of Count hosts that have all found each other.
std::unique_ptr<Fleet> convergedFleet(unsigned Count, std::uint64_t Seed) {
  auto TestFleet = std::make_unique<Fleet>(Seed);
  for (unsigned I = 0; I < Count; ++I)
    TestFleet->start(I);
  REQUIRE(TestFleet->secondsUntil([&] { return TestFleet->converged(); }, 60) <
          60);
  return TestFleet;
}

//! True if every other host has host Index in its table in this state.
bool allSee(Fleet &TestFleet, unsigned Index, MemberState State) {
  for (const auto &[Address, Host] : TestFleet.Hosts) {
    const Member *Found = Host->find(makeMember(Index).Name);
    if (Address != addressOf(Index) && (!Found || Found->State != State))
      return false;
  }
  return true;
}

bool anyoneDead(const Fleet &TestFleet) {
  for (const auto &[Address, Host] : TestFleet.Hosts)
    for (const Member &Other : Host->members())
      if (Other.State == MemberState::Dead)
        return true;
  return false;
}

} // namespace

TEST_CASE("Hosts that start together find each other", "[fleet]") {
  // Guards against a start order in which some hosts never find others.
  for (const unsigned Hosts : {2U, 3U, 9U, 36U}) {
    CAPTURE(Hosts);
    Fleet TestFleet(Hosts);
    for (unsigned I = 0; I < Hosts; ++I)
      TestFleet.start(I);
    CHECK(TestFleet.secondsUntil([&] { return TestFleet.converged(); }, 60) <
          20);
  }
}

TEST_CASE("A host that joins late finds all others", "[fleet]") {
  // Guards against a table read that skips members between pages.
  auto TestFleet = convergedFleet(36, 1);
  TestFleet->Time.advance(Milliseconds(120'000));
  TestFleet->start(40);
  CHECK(TestFleet->secondsUntil(
            [&] { return (*TestFleet)[40].isTableComplete(); }, 60) < 10);
  CHECK((*TestFleet)[40].reachable().size() == 36);
  CHECK(TestFleet->secondsUntil([&] { return TestFleet->converged(); }, 60) <
        20);
}

TEST_CASE("All hosts declare a failed host dead within seconds", "[fleet]") {
  // Guards against slow detection, and against updates that do not reach all
  // hosts.
  for (const std::uint64_t Seed : {1U, 2U, 3U}) {
    CAPTURE(Seed);
    auto TestFleet = convergedFleet(30, Seed);
    TestFleet->kill(17);
    CHECK(TestFleet->secondsUntil(
              [&] { return allSee(*TestFleet, 17, MemberState::Dead); }, 60) <=
          12);
    CHECK(TestFleet->converged());
  }
}

TEST_CASE("Packet loss alone gets no live host declared dead for long",
          "[fleet]") {
  // Guards against failure detection without indirect probes or without
  // refutation: a lost datagram then gets a live host declared dead.
  struct TestCase {
    double LossRate;
    bool DeathsAllowed;
  };
  const TestCase Cases[] = {{0.02, false}, {0.05, false}, {0.20, true}};
  for (const TestCase &Case : Cases) {
    CAPTURE(Case.LossRate);
    auto TestFleet = convergedFleet(24, 7);
    TestFleet->LossRate = Case.LossRate;
    bool Deaths = false;
    for (int Second = 0; Second < 300; ++Second) {
      TestFleet->Time.advance(Milliseconds(1000));
      Deaths |= anyoneDead(*TestFleet);
    }
    CHECK((Case.DeathsAllowed || !Deaths));
    TestFleet->LossRate = 0;
    CHECK(TestFleet->secondsUntil([&] { return TestFleet->converged(); }, 120) <
          60);
  }
}

TEST_CASE("The sides of a healed partition find each other", "[fleet]") {
  // Guards against sides that never contact each other again, because each has
  // declared the other dead or has removed its members after the retention.
  struct TestCase {
    unsigned Hosts;
    unsigned FirstSide;
    int Seconds;
  };
  const TestCase Cases[] = {{9, 3, 30}, {9, 1, 120}, {30, 10, 60}, {9, 3, 700}};
  for (const TestCase &Case : Cases) {
    CAPTURE(Case.Hosts, Case.FirstSide, Case.Seconds);
    auto TestFleet = convergedFleet(Case.Hosts, 11);
    const auto IsFirst = [&](const UdpEndpoint &Address) {
      return Address < addressOf(Case.FirstSide);
    };
    TestFleet->CanDeliver = [&](const UdpEndpoint &From,
                                const UdpEndpoint &To) {
      return IsFirst(From) == IsFirst(To);
    };
    TestFleet->Time.advance(Milliseconds(Case.Seconds * 1000));
    CHECK((*TestFleet)[0].reachable().size() == Case.FirstSide - 1);
    CHECK((*TestFleet)[Case.FirstSide].reachable().size() ==
          Case.Hosts - Case.FirstSide - 1);
    TestFleet->CanDeliver = nullptr;
    CHECK(TestFleet->secondsUntil([&] { return TestFleet->converged(); }, 300) <
          90);
  }
}

TEST_CASE("A host that one peer cannot reach is not declared dead", "[fleet]") {
  // Guards against a single host that gets another one declared dead by the
  // fleet, because the link between the two works in one direction only.
  auto TestFleet = convergedFleet(12, 5);
  TestFleet->CanDeliver = [](const UdpEndpoint &From, const UdpEndpoint &To) {
    return From != addressOf(2) || To != addressOf(3);
  };
  for (int Second = 0; Second < 120; ++Second) {
    TestFleet->Time.advance(Milliseconds(1000));
    REQUIRE_FALSE(anyoneDead(*TestFleet));
  }
}

TEST_CASE("A suspended process suspects no host and refutes its own death",
          "[fleet]") {
  // Guards against a host that was suspended and, once resumed, suspects the
  // others because it received nothing meanwhile.
  for (const int Seconds : {2, 4, 10, 60}) {
    CAPTURE(Seconds);
    Fleet TestFleet(Seconds);
    for (unsigned I = 0; I < 9; ++I)
      TestFleet.start(I);
    REQUIRE(TestFleet.secondsUntil([&] { return TestFleet.converged(); }, 60) <
            60);
    // The suspended host has its own clock, which jumps; it receives nothing
    // while suspended.
    VirtualTime HostTime;
    HostTime.jump(std::chrono::duration_cast<Milliseconds>(
        TestFleet.Time.now() - HostTime.now()));
    MembershipOptions Options{.Self = makeMember(20),
                              .Seeds = {addressOf(0)},
                              .Time = HostTime.timeSource()};
    std::vector<EntryHostName> WronglySuspected;
    Options.OnChange = [&](const Member &Changed) {
      if (Changed.State != MemberState::Alive)
        WronglySuspected.push_back(Changed.Name);
    };
    bool Suspended = false;
    auto Host = std::make_shared<Membership>(
        HostTime.Context.get_executor(), std::move(Options),
        [&](Bytes Payload, const UdpEndpoint &To) {
          TestFleet.inject(addressOf(20), To, std::move(Payload));
        });
    TestFleet.CanDeliver = [&](const UdpEndpoint &, const UdpEndpoint &To) {
      return !Suspended || To != addressOf(20);
    };
    TestFleet.Hosts[addressOf(20)] = Host;
    spawn(HostTime.Context.get_executor(), "membership", Host->run());
    const auto RunBoth = [&](int Count) {
      for (int I = 0; I < Count * 20; ++I) {
        TestFleet.Time.advance(Milliseconds(50));
        if (Suspended)
          HostTime.jump(Milliseconds(50));
        else
          HostTime.advance(Milliseconds(50));
      }
    };
    RunBoth(30);
    REQUIRE(Host->reachable().size() == 9);
    Suspended = true;
    RunBoth(Seconds);
    Suspended = false;
    RunBoth(20);
    CHECK(WronglySuspected.empty());
    CHECK(allSee(TestFleet, 20, MemberState::Alive));
    Host->stop();
    HostTime.advance(Milliseconds(2000));
  }
}

TEST_CASE("A restarted host replaces its former process at once", "[fleet]") {
  // Guards against a restarted host that the others accept only after they have
  // declared its former process dead.
  auto TestFleet = convergedFleet(9, 4);
  TestFleet->kill(5);
  TestFleet->start(5, 2000);
  const auto AllSeeNewProcess = [&] {
    for (const auto &[Address, Host] : TestFleet->Hosts)
      if (Host->find(makeMember(5).Name)->StartTime != Incarnation(2000))
        return false;
    return allSee(*TestFleet, 5, MemberState::Alive);
  };
  CHECK(TestFleet->secondsUntil(AllSeeNewProcess, 60) <= 5);
}

TEST_CASE("A replaced process is told so and sends no more messages",
          "[fleet]") {
  // Guards against two processes that both act under one name.
  auto TestFleet = convergedFleet(9, 4);
  const auto OldProcess = TestFleet->Hosts.at(addressOf(5));
  TestFleet->start(30, 2000,
                   [](Member &Self) { Self.Name = makeMember(5).Name; });
  CHECK(TestFleet->secondsUntil([&] { return TestFleet->Replaced.contains(5); },
                                60) <= 10);
  const auto Sent = OldProcess->counters().MessagesSent;
  TestFleet->Time.advance(Milliseconds(10'000));
  CHECK(OldProcess->counters().MessagesSent == Sent);
  CHECK_FALSE(TestFleet->Replaced.contains(30));
}

TEST_CASE("A host at the address of another does not answer for it",
          "[fleet]") {
  // Guards against a failed host that counts as alive because another host at
  // its address answers its probes.
  auto TestFleet = convergedFleet(9, 4);
  TestFleet->kill(5);
  TestFleet->start(5, 2000,
                   [](Member &Self) { Self.Name = EntryHostName("other"); });
  CHECK(TestFleet->secondsUntil(
            [&] { return allSee(*TestFleet, 5, MemberState::Dead); }, 60) <=
        15);
  const Member *Other = (*TestFleet)[1].find(EntryHostName("other"));
  REQUIRE(Other);
  CHECK(Other->State == MemberState::Alive);
}

TEST_CASE(
    "A host that stops gracefully is leaving and then left for all others",
    "[fleet]") {
  // Guards against a planned stop that other hosts take for a failure.
  auto TestFleet = convergedFleet(12, 9);
  (*TestFleet)[4].announceLeaving();
  CHECK(TestFleet->secondsUntil(
            [&] { return allSee(*TestFleet, 4, MemberState::Leaving); }, 60) <=
        8);
  (*TestFleet)[4].announceLeft();
  TestFleet->Time.advance(Milliseconds(10));
  TestFleet->kill(4);
  CHECK(TestFleet->secondsUntil(
            [&] { return allSee(*TestFleet, 4, MemberState::Left); }, 60) <= 8);
  CHECK_FALSE(anyoneDead(*TestFleet));
}

TEST_CASE("Heartbeats carry a host's configuration version to all others",
          "[fleet]") {
  // Guards against hosts that missed an announcement and never receive the
  // version.
  auto TestFleet = convergedFleet(9, 9);
  (*TestFleet)[4].setVersion(ConfigVersion(17));
  const auto AllHaveVersion = [&] {
    for (const auto &[Address, Host] : TestFleet->Hosts)
      if (Host->find(makeMember(4).Name)->Version != ConfigVersion(17))
        return false;
    return true;
  };
  CHECK(TestFleet->secondsUntil(AllHaveVersion, 60) <= 10);
}

TEST_CASE("A region that is cut off is not declared dead", "[fleet]") {
  // Guards against regions that are separated for an hour and declare each
  // other's hosts dead. A single failed host in another region must still be
  // detected.
  Fleet TestFleet(8);
  const auto SetRegion = [](Member &Self) {
    if (Self.PeerAddress >= addressOf(8))
      Self.Region = RegionName("sudurland");
  };
  for (unsigned I = 0; I < 16; ++I)
    TestFleet.start(I, 1000, SetRegion);
  REQUIRE(TestFleet.secondsUntil([&] { return TestFleet.converged(); }, 60) <
          60);
  TestFleet.CanDeliver = [](const UdpEndpoint &From, const UdpEndpoint &To) {
    return (From < addressOf(8)) == (To < addressOf(8));
  };
  TestFleet.Time.advance(Milliseconds(300'000));
  CHECK_FALSE(anyoneDead(TestFleet));
  TestFleet.kill(12);
  TestFleet.Time.advance(Milliseconds(30'000));
  CHECK(TestFleet.stateSeenBy(9, 12) == MemberState::Dead);
  CHECK(TestFleet.stateSeenBy(0, 12) == MemberState::Alive);
  TestFleet.CanDeliver = nullptr;
  CHECK(TestFleet.secondsUntil(
            [&] { return allSee(TestFleet, 12, MemberState::Dead); }, 300) <=
        90);
}
