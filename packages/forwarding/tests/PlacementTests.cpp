#include "buckthorndeck/forwarding/Placement.h"

#include "Samples.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

//! Servers of the domains "north", "middle" and "south".
class PlacementFixture {
public:
  Server &add(unsigned Number, const std::string &Domain) {
    const ServerRecord Record = makeServer(Number, Domain);
    Servers.update(Record, StoreRevision(1), Start);
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

TEST_CASE("New flows stay in the own failure domain while it has room",
          "[placement]") {
  PlacementFixture Site;
  Site.add(0, "north").Flows = 50;
  Site.add(1, "middle");
  Site.add(2, "south");
  const Placement Choice = Site.place();
  CHECK(Choice.Reason == PlacementReason::OwnDomain);
  CHECK(Choice.Chosen->Record.Domain.value() == "north");
}

TEST_CASE("A failure domain that lost servers passes on what it has no room "
          "for",
          "[placement]") {
  // After servers of one domain crashed, the rest was overloaded while servers
  // of other domains were idle.
  PlacementFixture Site;
  Site.add(0, "north").Flows = 1'000'000;
  for (unsigned Number = 1; Number < 10; ++Number)
    Site.add(Number, Number % 2 == 0 ? "middle" : "south");
  constexpr unsigned Flows = 10'000;
  unsigned Own = 0;
  for (unsigned Count = 0; Count < Flows; ++Count)
    Own += Site.place().Reason == PlacementReason::OwnDomain ? 1 : 0;
  // It has 0.3 of its even share and keeps all flows from 0.8 on. Four standard
  // deviations of a binomial draw are 194.
  CHECK(Own > 3750 - 194);
  CHECK(Own < 3750 + 194);
}

TEST_CASE("A slow server gets fewer of the long flows", "[placement]") {
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

TEST_CASE("A cold newcomer does not get every new flow", "[placement]") {
  PlacementFixture Site;
  std::vector<Server *> Warm;
  for (unsigned Number = 0; Number < 4; ++Number) {
    Warm.push_back(&Site.add(Number, "north"));
    Warm.back()->Flows = 10;
    Warm.back()->ResponseMs = 20;
  }
  Server &Cold = Site.add(9, "north");
  Cold.WarmAt = Start + std::chrono::seconds(2);
  unsigned First = 0;
  while (Site.place().Chosen == &Cold) {
    ++Cold.Flows;
    ++First;
  }
  // At its doubled cost and the default response time it fills up to a third
  // of what the others hold.
  CHECK(First > 0);
  CHECK(First <= 4);
}

TEST_CASE("Draining, silent and removed servers get no new flows",
          "[placement]") {
  PlacementFixture Site;
  Site.add(0, "north").Record.Draining = true;
  Site.add(1, "north").State = Reachability::Unresponsive;
  Site.add(2, "north").State = Reachability::Unhealthy;
  Server &Removed = Site.add(3, "north");
  Removed.Registered = false;
  Removed.RemovedAt = Start;
  Server &Good = Site.add(4, "north");
  Good.Flows = 1000;
  CHECK(Site.place().Chosen == &Good);
}

TEST_CASE("Without a good server the least bad one gets the flow",
          "[placement]") {
  PlacementFixture Site;
  Server &Silent = Site.add(0, "north");
  Silent.State = Reachability::Unresponsive;
  CHECK(Site.place().Reason == PlacementReason::Unresponsive);
  // The entries of all servers lapse when the store is away.
  Server &Lapsed = Site.add(1, "south");
  Lapsed.Registered = false;
  Lapsed.RemovedAt = Start - Milliseconds(1500);
  CHECK(Site.place().Chosen == &Lapsed);
  CHECK(Site.place().Reason == PlacementReason::LatelyGone);
  Lapsed.RemovedAt = Start - Milliseconds(2500);
  CHECK(Site.place().Chosen == &Silent);
  Server &Unhealthy = Site.add(2, "south");
  Unhealthy.State = Reachability::Unhealthy;
  CHECK(Site.place().Chosen == &Unhealthy);
}

TEST_CASE("A draining server gets no flow even as the last one",
          "[placement]") {
  PlacementFixture Site;
  Site.add(0, "north").Record.Draining = true;
  const Placement Choice = Site.place();
  CHECK(Choice.Chosen == nullptr);
  CHECK(Choice.Reason == PlacementReason::NoServer);
}

TEST_CASE("A flow is not sent to a server that it was sent to before",
          "[placement]") {
  PlacementFixture Site;
  const Server &First = Site.add(0, "north");
  const Server &Second = Site.add(1, "north");
  CHECK(Site.place({First.Token}).Chosen == &Second);
  CHECK(Site.place({First.Token, Second.Token}).Chosen == nullptr);
}

TEST_CASE("Servers of equal cost share new flows evenly", "[placement]") {
  PlacementFixture Site;
  std::map<const Server *, unsigned> Chosen;
  for (unsigned Number = 0; Number < 4; ++Number)
    Site.add(Number, "north");
  for (int Count = 0; Count < 4000; ++Count)
    ++Chosen[Site.place().Chosen];
  REQUIRE(Chosen.size() == 4);
  for (const auto &[Known, Count] : Chosen) {
    CHECK(Count > 880);
    CHECK(Count < 1120);
  }
}
