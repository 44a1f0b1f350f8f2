#include "Fleet.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::membership;

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
