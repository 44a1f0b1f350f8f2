#include "buckthorndeck/forwarding/Placement.h"

#include "Samples.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

//! Places flows as a host in the domain "north"; the other domains are "middle"
//! and "south".
class PlacementFixture {
public:
  Server &add(unsigned Number, const std::string &Domain) {
    const ServerRecord Record = makeServer(Number, Domain);
    Servers.update(Record, at(1), Start);
    return *Servers.find(tokenOf(Record));
  }

  Placement place(std::vector<ServerToken> Tried = {}) {
    return placeFlow(Servers.serversOf(Floor),
                     {.Domain = FailureDomainName("north"),
                      .DomainCount = 3,
                      .Tried = Tried,
                      .Now = Start},
                     Random);
  }

  ServerDirectory Servers;
  RandomEngine Random{1};
};

} // namespace

TEST_CASE(
    "New flows stay in the own failure domain while its share of slots is "
    "sufficient",
    "[placement]") {
  PlacementFixture Site;
  Site.add(0, "north").Flows = 50;
  Site.add(1, "middle");
  Site.add(2, "south");
  const Placement Result = Site.place();
  CHECK(Result.Reason == PlacementReason::OwnDomain);
  CHECK(Result.Chosen->Record.Domain.value() == "north");
}

TEST_CASE(
    "A failure domain that lost servers sends new flows beyond its share of "
    "slots to other domains",
    "[placement]") {
  // Otherwise, after some servers of a domain crash, the others are overloaded
  // while servers of other domains are idle.
  PlacementFixture Site;
  Site.add(0, "north").Flows = 1'000'000;
  for (unsigned Number = 1; Number < 10; ++Number)
    Site.add(Number, Number % 2 == 0 ? "middle" : "south");
  constexpr unsigned Flows = 10'000;
  unsigned Own = 0;
  for (unsigned Count = 0; Count < Flows; ++Count)
    Own += Site.place().Reason == PlacementReason::OwnDomain ? 1 : 0;
  // The domain has 0.3 of its even share of slots; from 0.8 on it would keep
  // all flows. 194 is four standard deviations of the binomial distribution.
  CHECK(Own > 3750 - 194);
  CHECK(Own < 3750 + 194);
}

TEST_CASE("New flows are divided in inverse proportion to response times",
          "[placement]") {
  PlacementFixture Site;
  Server &Fast = Site.add(0, "north");
  Server &Slow = Site.add(1, "north");
  Fast.ResponseMs = 20;
  Slow.ResponseMs = 60;
  for (int Count = 0; Count < 400; ++Count)
    ++Site.place().Chosen->Flows;
  CHECK(Fast.Flows == 300);
  CHECK(Slow.Flows == 100);
}

TEST_CASE("A server in slow start does not get every new flow", "[placement]") {
  PlacementFixture Site;
  std::vector<Server *> Warm;
  for (unsigned Number = 0; Number < 4; ++Number) {
    Warm.push_back(&Site.add(Number, "north"));
    Warm.back()->Flows = 10;
    Warm.back()->ResponseMs = 20;
  }
  Server &Cold = Site.add(9, "north");
  Cold.WarmupEndsAt = Start + std::chrono::seconds(2);
  unsigned FlowsPlaced = 0;
  while (Site.place().Chosen == &Cold) {
    ++Cold.Flows;
    ++FlowsPlaced;
  }
  // At double cost and the default response time, it gets up to a third of the
  // flows of each other server.
  CHECK(FlowsPlaced > 0);
  CHECK(FlowsPlaced <= 4);
}

TEST_CASE("A new server of a slow service does not get the next flow of every "
          "host",
          "[placement]") {
  // Load pattern: all hosts of a failure domain learn of a new server at the
  // same moment. If they expect it to be faster than the servers that they
  // know, the next flows of all of them meet at its two slots.
  constexpr unsigned Hosts = 24;
  constexpr unsigned KnownServers = 20;
  unsigned OnNewServer = 0;
  for (unsigned Host = 0; Host < Hosts; ++Host) {
    PlacementFixture Site;
    Site.Random.seed(Host);
    for (unsigned Number = 0; Number < KnownServers; ++Number)
      Site.add(Number, "north").ResponseMs = 80 + Number % 2;
    const Server &New = Site.add(99, "north");
    OnNewServer += Site.place().Chosen == &New ? 1 : 0;
  }
  // Its slots take two requests and its queue eight.
  CHECK(OnNewServer <= 10);
}

TEST_CASE(
    "Draining, unhealthy, unresponsive and removed servers get no new flows "
    "while another server is usable",
    "[placement]") {
  PlacementFixture Site;
  Site.add(0, "north").Record.Draining = true;
  Site.add(1, "north").State = Reachability::Unresponsive;
  Site.add(2, "north").State = Reachability::Unhealthy;
  Server &Removed = Site.add(3, "north");
  Removed.Registered = false;
  Removed.RemovedAt = Start;
  Server &Usable = Site.add(4, "north");
  Usable.Flows = 1000;
  CHECK(Site.place().Chosen == &Usable);
}

TEST_CASE("Without a usable server, an unhealthy, a recently removed or an "
          "unresponsive one gets the flow, in this order",
          "[placement]") {
  PlacementFixture Site;
  Server &Unresponsive = Site.add(0, "north");
  Unresponsive.State = Reachability::Unresponsive;
  CHECK(Site.place().Reason == PlacementReason::Unresponsive);
  // Registry entries of all servers expire during an outage of the store.
  Server &Expired = Site.add(1, "south");
  Expired.Registered = false;
  Expired.RemovedAt = Start - Milliseconds(1500);
  CHECK(Site.place().Chosen == &Expired);
  CHECK(Site.place().Reason == PlacementReason::RecentlyRemoved);
  Expired.RemovedAt = Start - Milliseconds(2500);
  CHECK(Site.place().Chosen == &Unresponsive);
  Server &Unhealthy = Site.add(2, "south");
  Unhealthy.State = Reachability::Unhealthy;
  CHECK(Site.place().Chosen == &Unhealthy);
}

TEST_CASE("A removed server gets no flow once the time of its removal forbids "
          "it",
          "[placement]") {
  // Guards against flows that reach a server longer after the store has removed
  // it than a host may take: it learned of the removal late (review case 7).
  PlacementFixture Site;
  Server &Removed = Site.add(0, "north");
  Removed.Registered = false;
  Removed.RemovedAt = Start - Milliseconds(500);
  Removed.FallbackUntil = Start + Milliseconds(1);
  CHECK(Site.place().Chosen == &Removed);
  Removed.FallbackUntil = Start;
  CHECK(Site.place().Reason == PlacementReason::NoServer);
}

TEST_CASE("A draining server gets no flow even if it is the only one",
          "[placement]") {
  PlacementFixture Site;
  Site.add(0, "north").Record.Draining = true;
  const Placement Result = Site.place();
  CHECK(Result.Chosen == nullptr);
  CHECK(Result.Reason == PlacementReason::NoServer);
}

TEST_CASE("A SYN is not sent to a server that it was sent to before",
          "[placement]") {
  PlacementFixture Site;
  const Server &First = Site.add(0, "north");
  const Server &Second = Site.add(1, "north");
  CHECK(Site.place({First.Token}).Chosen == &Second);
  CHECK(Site.place({First.Token, Second.Token}).Chosen == nullptr);
}

TEST_CASE("Servers of equal cost get equal numbers of new flows",
          "[placement]") {
  PlacementFixture Site;
  std::map<const Server *, unsigned> Chosen;
  for (unsigned Number = 0; Number < 4; ++Number)
    Site.add(Number, "north");
  for (int Count = 0; Count < 4000; ++Count)
    ++Chosen[Site.place().Chosen];
  REQUIRE(Chosen.size() == 4);
  for (const auto &[Target, Count] : Chosen) {
    CHECK(Count > 880);
    CHECK(Count < 1120);
  }
}

TEST_CASE("The former process of a server that was started again is no "
          "fallback",
          "[placement]") {
  // Guards against flows that reach another service: they are addressed to the
  // new process, which may serve one.
  PlacementFixture Site;
  Site.add(0, "north");
  ServerRecord Next = makeServer(0);
  Next.StartTime = Incarnation(Next.StartTime.value() + 1);
  Next.Service = Press;
  Site.Servers.update(Next, at(2), Start);
  CHECK(Site.place().Reason == PlacementReason::NoServer);
}
