#include "buckthorndeck/forwarding/ServerDirectory.h"

#include "Samples.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;
using Change = ServerDirectory::Change;

TEST_CASE("A server restarted under its name is another server with its own "
          "token",
          "[servers]") {
  ServerDirectory Servers;
  ServerRecord First = makeServer(1);
  ServerRecord Second = First;
  Second.StartTime = Incarnation(First.StartTime.value() + 1);
  REQUIRE(tokenOf(First) != tokenOf(Second));
  Servers.update(First, StoreRevision(1), Start);
  CHECK(Servers.update(Second, StoreRevision(2), Start) == Change::Added);
  CHECK_FALSE(Servers.find(tokenOf(First))->Registered);
  CHECK(Servers.find(tokenOf(Second))->Registered);
}

TEST_CASE("A stale read never takes a server back", "[servers]") {
  ServerDirectory Servers;
  ServerRecord Draining = makeServer(1);
  Draining.Draining = true;
  Servers.update(Draining, StoreRevision(5), Start);
  CHECK(Servers.update(makeServer(1), StoreRevision(4), Start) == Change::None);
  CHECK(Servers.find(tokenOf(Draining))->Record.Draining);
  CHECK(Servers.remove(Draining.Name, StoreRevision(4), Start) == nullptr);
}

TEST_CASE("An entry that vanished and came back is registered again",
          "[servers]") {
  ServerDirectory Servers;
  const ServerRecord Record = makeServer(1);
  Servers.update(Record, StoreRevision(5), Start);
  REQUIRE(Servers.remove(Record.Name, StoreRevision(6), Start) != nullptr);
  CHECK_FALSE(Servers.find(tokenOf(Record))->Registered);
  CHECK(Servers.update(Record, StoreRevision(7), Start) == Change::Updated);
  CHECK(Servers.find(tokenOf(Record))->Registered);
}

TEST_CASE("A removed server stays known until it is forgotten", "[servers]") {
  ServerDirectory Servers;
  const ServerRecord Record = makeServer(1);
  Servers.update(Record, StoreRevision(1), Start);
  Servers.remove(Record.Name, StoreRevision(2), Start);
  CHECK(Servers.forget(Start) == 0);
  CHECK(Servers.find(tokenOf(Record)) != nullptr);
  CHECK(Servers.forget(Start + Milliseconds(1)) == 1);
  CHECK(Servers.find(tokenOf(Record)) == nullptr);
  CHECK(Servers.serversOf(Floor).empty());
}

TEST_CASE("A complete read removes what it does not contain", "[servers]") {
  ServerDirectory Servers;
  for (unsigned Number = 0; Number < 3; ++Number)
    Servers.update(makeServer(Number), StoreRevision(1 + Number), Start);
  const auto Removed = Servers.retain({makeServer(2).Name, makeServer(0).Name},
                                      StoreRevision(9), Start);
  REQUIRE(Removed.size() == 1);
  CHECK(Removed[0]->Record.Name == makeServer(1).Name);
}

TEST_CASE("The address of a gone server shows its successor", "[servers]") {
  ServerDirectory Servers;
  const ServerRecord Gone = makeServer(1);
  Servers.update(Gone, StoreRevision(1), Start);
  Server &Known = *Servers.remove(Gone.Name, StoreRevision(2), Start);
  CHECK_FALSE(Servers.isReplaced(Known));
  ServerRecord Successor = makeServer(2);
  Successor.Address = Gone.Address;
  Successor.Service = Press;
  Servers.update(Successor, StoreRevision(3), Start);
  CHECK(Servers.isReplaced(Known));
}
