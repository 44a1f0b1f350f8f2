#include "buckthorndeck/forwarding/RouteTable.h"

#include "Samples.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

TEST_CASE("An older or equal configuration never replaces the one in force",
          "[routes]") {
  RouteTable Table;
  REQUIRE(Table.apply(makeRoutes(7)));
  RouteSet Older = makeRoutes(6);
  Older.Routes.clear();
  CHECK_FALSE(Table.apply(Older));
  Older.Version = ConfigVersion(7);
  CHECK_FALSE(Table.apply(Older));
  CHECK(Table.find(FloorAddress) != nullptr);
  CHECK(Table.version() == ConfigVersion(7));
}

TEST_CASE("A dropped route is told apart from one that never was", "[routes]") {
  RouteTable Table;
  Table.apply(makeRoutes(1));
  RouteSet Next = makeRoutes(2);
  Next.Routes.pop_back();
  Table.apply(Next);
  CHECK(Table.find(PressAddress) == nullptr);
  CHECK(Table.isRemoved(PressAddress));
  const SocketAddress Unknown{.Ip = 1, .Port = 1};
  CHECK(Table.find(Unknown) == nullptr);
  CHECK_FALSE(Table.isRemoved(Unknown));
  Table.apply(makeRoutes(3));
  CHECK_FALSE(Table.isRemoved(PressAddress));
}

TEST_CASE("Flows are split by the weights of a route and a flow keeps its side",
          "[routes]") {
  const Route Entry{.Address = FloorAddress,
                    .Services = {{.Service = Floor, .Weight = 90},
                                 {.Service = Press, .Weight = 10}}};
  unsigned ToPress = 0;
  constexpr unsigned Flows = 20'000;
  for (unsigned Port = 0; Port < Flows; ++Port) {
    const FlowKey Flow = makeFlow(static_cast<std::uint16_t>(Port));
    const ServiceName &Chosen = serviceOf(Entry, Flow);
    CHECK(serviceOf(Entry, Flow) == Chosen);
    ToPress += Chosen == Press ? 1 : 0;
  }
  // Four standard deviations of a binomial draw are 170.
  CHECK(ToPress > Flows / 10 - 170);
  CHECK(ToPress < Flows / 10 + 170);
}
