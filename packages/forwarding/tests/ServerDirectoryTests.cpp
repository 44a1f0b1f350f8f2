#include "buckthorndeck/forwarding/ServerDirectory.h"

#include "Samples.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;
using Change = ServerDirectory::Change;

TEST_CASE(
    "A server that restarts under the same name is a new server with its own "
    "token",
    "[servers]") {
  ServerDirectory Servers;
  ServerRecord First = makeServer(1);
  ServerRecord Second = First;
  Second.StartTime = Incarnation(First.StartTime.value() + 1);
  REQUIRE(tokenOf(First) != tokenOf(Second));
  Servers.update(First, at(1), Start);
  CHECK(Servers.update(Second, at(2), Start) == Change::Added);
  CHECK_FALSE(Servers.find(tokenOf(First))->Registered);
  CHECK(Servers.find(tokenOf(Second))->Registered);
}

TEST_CASE("A read with an older revision neither updates nor removes a server",
          "[servers]") {
  ServerDirectory Servers;
  ServerRecord Draining = makeServer(1);
  Draining.Draining = true;
  Servers.update(Draining, at(5), Start);
  CHECK(Servers.update(makeServer(1), at(4), Start) == Change::None);
  CHECK(Servers.find(tokenOf(Draining))->Record.Draining);
  CHECK(Servers.remove(Draining.Name, at(4), Start) == nullptr);
}

TEST_CASE(
    "A server whose registry entry was removed and added again is registered",
    "[servers]") {
  ServerDirectory Servers;
  const ServerRecord Record = makeServer(1);
  Servers.update(Record, at(5), Start);
  REQUIRE(Servers.remove(Record.Name, at(6), Start) != nullptr);
  CHECK_FALSE(Servers.find(tokenOf(Record))->Registered);
  CHECK(Servers.update(Record, at(7), Start) == Change::Updated);
  CHECK(Servers.find(tokenOf(Record))->Registered);
}

TEST_CASE("A removed server is kept until it is erased", "[servers]") {
  ServerDirectory Servers;
  const ServerRecord Record = makeServer(1);
  Servers.update(Record, at(1), Start);
  Servers.remove(Record.Name, at(2), Start);
  CHECK(Servers.eraseRemovedBefore(Start) == 0);
  CHECK(Servers.find(tokenOf(Record)) != nullptr);
  CHECK(Servers.eraseRemovedBefore(Start + Milliseconds(1)) == 1);
  CHECK(Servers.find(tokenOf(Record)) == nullptr);
  CHECK(Servers.serversOf(Floor).empty());
}

TEST_CASE("A complete read removes the servers that it does not contain",
          "[servers]") {
  ServerDirectory Servers;
  for (unsigned Number = 0; Number < 3; ++Number)
    Servers.update(makeServer(Number), at(1 + Number), Start);
  const auto Removed =
      Servers.retain({makeServer(2).Name, makeServer(0).Name}, at(9), Start);
  REQUIRE(Removed.size() == 1);
  CHECK(Removed[0]->Record.Name == makeServer(1).Name);
}

TEST_CASE("A removed server is replaced once another server registers at its "
          "address",
          "[servers]") {
  ServerDirectory Servers;
  const ServerRecord Old = makeServer(1);
  Servers.update(Old, at(1), Start);
  Server &Removed = *Servers.remove(Old.Name, at(2), Start);
  CHECK_FALSE(Servers.isReplaced(Removed));
  ServerRecord Successor = makeServer(2);
  Successor.Address = Old.Address;
  Successor.Service = Press;
  Servers.update(Successor, at(3), Start);
  CHECK(Servers.isReplaced(Removed));
}

TEST_CASE(
    "A removal that a peer saw counts unless the server has written since",
    "[servers]") {
  // Guards against a peer's memory that takes a living server out of use.
  ServerDirectory Directory;
  const auto Removal = [](std::uint64_t Sequence, StorePosition Position) {
    RegistryEntry Removed{.Record = makeServer(0), .Position = Position};
    Removed.Record.Sequence = Sequence;
    return Removed;
  };
  ServerRecord Record = makeServer(0);
  Record.Sequence = 3;
  Directory.update(Record, at(10, 2), Start);
  const Server &Known = *Directory.find(tokenOf(Record));
  SECTION("written again in a later era") {
    CHECK_FALSE(Directory.mergeRemoval(Removal(2, at(90, 1)), Start));
    CHECK(Known.Registered);
  }
  SECTION("written again in the same era") {
    CHECK_FALSE(Directory.mergeRemoval(Removal(9, at(9, 2)), Start));
    CHECK(Known.Registered);
  }
  SECTION("removed later in the same era") {
    CHECK(Directory.mergeRemoval(Removal(3, at(11, 2)), Start));
    CHECK_FALSE(Known.Registered);
    CHECK_FALSE(Directory.hasUnconfirmed(StoreEra(2)));
  }
  SECTION("read from a copy") {
    CHECK(Directory.mergeRemoval(Removal(3, at(90, 1)), Start));
    CHECK_FALSE(Known.Registered);
    REQUIRE(Directory.hasUnconfirmed(StoreEra(2)));
    CHECK(Directory.takeWithheld(StoreEra(2)).size() == 1);
  }
}

TEST_CASE("A read that is older than a server's entry does not remove it",
          "[directory]") {
  // Guards against living servers that are taken as gone, and suspected, after
  // a stale read that follows one that was broken off.
  ServerDirectory Directory;
  Directory.update(makeServer(1), at(10), Start);
  Directory.update(makeServer(2), at(70), Start);
  const auto Removed = Directory.retain({}, at(60), Start);
  REQUIRE(Removed.size() == 1);
  CHECK(Removed[0]->Record.Name == makeServer(1).Name);
  const Server *Kept = Directory.find(tokenOf(makeServer(2)));
  REQUIRE(Kept);
  CHECK(Kept->Registered);
  CHECK(Kept->Position == at(70));
}
