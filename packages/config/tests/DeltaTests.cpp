#include "SampleObjects.h"

#include "buckthorndeck/config/Delta.h"
#include "buckthorndeck/config/ObjectJson.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::config;

namespace {

//! A set that differs from the sample in an added, a changed and a removed
//! object.
ObjectSet otherSet() {
  ObjectSet Objects = sampleSet(4);
  Objects.BackendServers.erase(ObjectName("exchange/tf-0"));
  Objects.BackendServers.at(ObjectName("exchange/tf-1")).Draining = true;
  return Objects;
}

} // namespace

TEST_CASE("A delta holds only what differs", "[delta]") {
  const Delta Change = makeDelta(sampleSet(3), otherSet());
  CHECK(Change.Changed.BackendServers.size() == 2);
  CHECK(Change.Changed.Places.empty());
  REQUIRE(Change.Removed.size() == 1);
  CHECK(describe(Change.Removed[0]) == "backend_server exchange/tf-0");
}

TEST_CASE("A delta that was encoded and decoded gives the other set",
          "[delta]") {
  const Delta Change = makeDelta(sampleSet(3), otherSet());
  const auto Decoded = decodeDelta(encodeDelta(Change), "peer");
  REQUIRE(Decoded);
  CHECK(*Decoded == Change);
  const auto Applied = applyDelta(sampleSet(3), *Decoded);
  REQUIRE(Applied);
  CHECK(*Applied == otherSet());
}

TEST_CASE("A delta is refused by a set that it was not made from", "[delta]") {
  // Guards against a host that applies a delta to another version and then
  // serves a set that nobody published.
  const Delta Change = makeDelta(sampleSet(3), otherSet());
  for (const unsigned Servers : {0U, 2U, 5U}) {
    const auto Applied = applyDelta(sampleSet(Servers), Change);
    REQUIRE_FALSE(Applied);
    CHECK(Applied.error().Code == ErrorCode::Conflict);
  }
}

TEST_CASE("A malformed delta is refused with the field that is wrong",
          "[delta]") {
  struct Row {
    const char *Pointer;
    Json Value;
    std::string Message;
  };
  const std::vector<Row> Table = {
      {"/to", "12", "field to"},
      {"/removed", 3, "field removed"},
      {"/removed/0/kind", "manifest", "a kind of object"},
      {"/removed/0/name", std::string(200, 'x'), "field name"},
      {"/changed", Json::array(), "not a map"},
      {"/changed/rules", Json::object(), "field rules"},
      {"/changed/backend_servers/0/slots", 4000U, "field slots"},
      {"/changed/backend_servers/1/name", "exchange/tf-1", "field name"},
  };
  for (const Row &Bad : Table) {
    Json Value = toJson(makeDelta(sampleSet(3), otherSet()));
    Value[Json::json_pointer(Bad.Pointer)] = Bad.Value;
    const auto Read = deltaFromJson(Value, "peer");
    INFO(Bad.Pointer);
    REQUIRE_FALSE(Read);
    CHECK_THAT(describe(Read.error()), Catch::Contains(Bad.Message));
  }
}

TEST_CASE("A delta beyond the size limit is refused before it is decoded",
          "[delta]") {
  const Bytes Encoded(MaxDeltaBytes + 1);
  const auto Read = decodeDelta(Encoded, "peer");
  REQUIRE_FALSE(Read);
  CHECK_THAT(describe(Read.error()), Catch::Contains("at most"));
}

TEST_CASE("Truncated deltas are refused at every length", "[delta]") {
  const Bytes Encoded = encodeDelta(makeDelta(sampleSet(3), otherSet()));
  for (std::size_t Length = 0; Length < Encoded.size(); ++Length)
    REQUIRE_FALSE(decodeDelta(ByteView(Encoded).first(Length), "peer"));
}
