#include "buckthorndeck/forwarding/RelayedChanges.h"

#include "Samples.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

constexpr Milliseconds Age{250};

Bytes encode(ForwarderFixture &Relay, const ChangeQuery &Query) {
  return encodeChanges(Relay.Host.servers(), Relay.Host.routes(), Query, at(90),
                       Age, Relay.Now);
}

RelayedChanges relayed(ForwarderFixture &Relay, const ChangeQuery &Query) {
  auto Result = decodeChanges(encode(Relay, Query), "test");
  REQUIRE(Result);
  return std::move(*Result);
}

const ChangeQuery Current{.After = StoreRevision(20),
                          .Config = ConfigVersion(1)};

} // namespace

TEST_CASE("A query for changes is the same after encoding and decoding",
          "[relayed_changes]") {
  const auto Query = parseChangesTarget(changesTarget(Current));
  REQUIRE(Query);
  CHECK(Query->After == Current.After);
  CHECK(Query->Config == Current.Config);
  for (const char *Target :
       {"/changes", "/changes?after=", "/changes?after=x&config=1",
        "/changes?after=1&config=", "/changes?after=1&config=2&more=3",
        "/changes?after=99999999999999999999&config=1", "/metrics"})
    CHECK_FALSE(parseChangesTarget(Target));
}

TEST_CASE("Only what changed after the query's revision is passed on",
          "[relayed_changes]") {
  ForwarderFixture Relay;
  CHECK(relayed(Relay, Current).Changes.Events == 0);
  ServerRecord Draining = makeServer(1);
  Draining.Draining = true;
  Draining.WarmupLeft = Milliseconds(700);
  Relay.Host.updateServer(Draining, at(30), Relay.Now);
  Relay.Host.removeServer(makeServer(2).Name, at(31), Relay.Now);
  Relay.Host.applyRoutes(makeRoutes(4));
  Relay.Now += Milliseconds(100);
  const RelayedChanges Received = relayed(Relay, Current);
  CHECK(Received.Age == Age);
  CHECK(Received.Changes.AsOf == at(90));
  REQUIRE(Received.Changes.Servers.size() == 2);
  CHECK(Received.Changes.Servers[0].Record->Draining);
  CHECK(Received.Changes.Servers[0].Record->WarmupLeft == Milliseconds(600));
  CHECK(Received.Changes.Servers[1].Name == makeServer(2).Name);
  CHECK_FALSE(Received.Changes.Servers[1].Record);
  REQUIRE(Received.Changes.Routes);
  CHECK(Received.Changes.Routes->Version == ConfigVersion(4));
}

TEST_CASE("A server that restarted under its name is not passed on as removed",
          "[relayed_changes]") {
  // The relay keeps the process that ended for its open flows. Its removal has
  // the revision of the new process's entry and must not end that one.
  ForwarderFixture Relay;
  ServerRecord Restarted = makeServer(1);
  Restarted.StartTime = Incarnation(Restarted.StartTime.value() + 5000);
  Relay.Host.updateServer(Restarted, at(40), Relay.Now);
  const RelayedChanges Received = relayed(Relay, Current);
  REQUIRE(Received.Changes.Servers.size() == 1);
  REQUIRE(Received.Changes.Servers[0].Record);
  CHECK(tokenOf(*Received.Changes.Servers[0].Record) == tokenOf(Restarted));
}

TEST_CASE("Truncated changes are rejected and corrupt ones do not crash",
          "[relayed_changes]") {
  ForwarderFixture Relay;
  Relay.Host.removeServer(makeServer(2).Name, at(31), Relay.Now);
  const Bytes Valid = encode(Relay, {});
  for (std::size_t Length = 0; Length < Valid.size(); ++Length)
    CHECK_FALSE(decodeChanges(ByteView(Valid).first(Length), "test"));
  for (std::size_t Index = 0; Index < Valid.size(); ++Index) {
    Bytes Corrupt = Valid;
    Corrupt[Index] ^= 0xff;
    decodeChanges(Corrupt, "test");
  }
}

TEST_CASE("A relayed server that can't be used hides no other",
          "[relayed_changes]") {
  // Guards against hosts that stop following their relay because of one entry,
  // which a relay of another version has accepted.
  ForwarderFixture Relay;
  const Json Valid = *decodeCbor(encode(Relay, {}), "test", "test");
  for (const OddField &Odd : oddServerFields()) {
    INFO(Odd.Name << " = " << Odd.Value.dump());
    Json Changes = Valid;
    Changes["updated"][0][Odd.Name] = Odd.Value;
    const auto Decoded = decodeChanges(encodeCbor(Changes), "test");
    REQUIRE(Decoded);
    CHECK(countUsable(Decoded->Changes) == 2);
    CHECK(Decoded->Changes.AsOf == at(90));
  }
}
