#include "buckthorndeck/base/Json.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;

TEST_CASE("An encoded value is decoded again", "[cbor]") {
  const Json Value = {{"a", {1, 2, {{"b", binary({1, 2, 3})}}}}, {"c", 1.5}};
  const auto Decoded = decodeCbor(encodeCbor(Value), "step", "peer");
  REQUIRE(Decoded);
  CHECK(*Decoded == Value);
}

TEST_CASE("Hostile CBOR is refused without a crash or an exception", "[cbor]") {
  // Guards against a peer that ends the process with one message: nesting
  // overflows the stack, and the library throws for impossible lengths.
  const std::vector<Bytes> Table = {
      Bytes(2 * 1024 * 1024, 0x81),                           // Nested arrays.
      Bytes(2 * 1024 * 1024, 0x9f),                           // Without length.
      {0x9b, 0x0f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // Array length.
      {0xbb, 0x0f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // Map length.
      {0x5b, 0x0f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // Bytes.
      {0x01, 0x01},                                           // Trailing byte.
      {},
  };
  for (std::size_t Row = 0; Row < Table.size(); ++Row) {
    INFO("row " << Row);
    CHECK_FALSE(decodeCbor(Table[Row], "step", "peer"));
  }
}
