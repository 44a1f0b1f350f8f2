#include "buckthorndeck/base/BootClock.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;

TEST_CASE("The boot clock advances and never goes back", "[boot_clock]") {
  // A clock that stood still would make every view of the registry look fresh.
  const BootClock::time_point First = BootClock::now();
  BootClock::time_point Last = First;
  while (Last == First) {
    const BootClock::time_point Next = BootClock::now();
    REQUIRE(Next >= Last);
    Last = Next;
  }
  CHECK(Last > First);
}
