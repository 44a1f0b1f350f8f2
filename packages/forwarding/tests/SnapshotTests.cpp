#include "buckthorndeck/forwarding/Snapshot.h"

#include "Samples.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

Bytes sampleSnapshot() {
  ForwarderFixture Site(2);
  Site.Host.removeServer(makeServer(1).Name, StoreRevision(20), Start);
  return encodeSnapshot(Site.Host.servers(), Site.Host.routes(),
                        StoreRevision(21));
}

} // namespace

TEST_CASE("A snapshot carries registered servers, routes and their position",
          "[snapshot]") {
  auto Read = decodeSnapshot(sampleSnapshot(), "test");
  REQUIRE(Read);
  CHECK(Read->AsOf == StoreRevision(21));
  REQUIRE(Read->Servers.size() == 1);
  const ServerRecord &Record = *Read->Servers[0].Record;
  // The token must be the same on every host.
  CHECK(tokenOf(Record) == tokenOf(makeServer(0)));
  CHECK(Record.Address == makeServer(0).Address);
  CHECK(Read->Servers[0].Revision == StoreRevision(10));
  REQUIRE(Read->Routes);
  CHECK(Read->Routes->Version == ConfigVersion(1));
  CHECK(Read->Routes->Routes.size() == 2);
  CHECK(Read->Routes->HealthRules.size() == 1);
}

TEST_CASE("Every cut and every changed byte of a snapshot is survived",
          "[snapshot]") {
  const Bytes Good = sampleSnapshot();
  for (std::size_t Length = 0; Length < Good.size(); ++Length)
    CHECK_FALSE(decodeSnapshot(ByteView(Good).first(Length), "test"));
  for (std::size_t Index = 0; Index < Good.size(); ++Index) {
    Bytes Bad = Good;
    Bad[Index] ^= 0xff;
    decodeSnapshot(Bad, "test");
  }
}
