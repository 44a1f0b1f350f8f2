#include "buckthorndeck/base/Json.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;

namespace {

struct BadItem {
  const char *Name;
  Bytes Encoded;
};

bool isRefused(const Bytes &Encoded) {
  const auto Item = decodeCbor(Encoded, "decode", "peer");
  return !Item && Item.error().Code == ErrorCode::Invalid &&
         Item.error().Step == "decode" && Item.error().Peer == "peer";
}

} // namespace

TEST_CASE("Every kind of value that is sent decodes to itself", "[cbor]") {
  const Json Value = {{"list", {0, 23, 24, 255, 256, 65536, -1, -500, 1.5}},
                      {"max", std::numeric_limits<std::uint64_t>::max()},
                      {"text", std::string(300, 'a')},
                      {"bytes", binary(Bytes(70000, 7))},
                      {"empty", {Json::array(), Json::object(), "", nullptr}},
                      {"flags", {true, false}}};
  const auto Decoded = decodeCbor(encodeCbor(Value), "decode", "peer");
  REQUIRE(Decoded);
  CHECK(*Decoded == Value);
}

TEST_CASE("What is not exactly one CBOR item is refused", "[cbor]") {
  const Bytes Huge(8, 0xff);
  const auto With = [&](std::uint8_t Head) {
    Bytes Encoded = {Head};
    Encoded.insert(Encoded.end(), Huge.begin(), Huge.end());
    return Encoded;
  };
  const std::vector<BadItem> Rows = {
      {"nothing", {}},
      {"trailing byte", {0x01, 0x00}},
      {"second item", {0x81, 0x01, 0x81, 0x01}},
      {"number cut short", {0x1b, 0, 0, 0}},
      {"text cut short", {0x63, 'a', 'b'}},
      {"bytes cut short", {0x58, 0x04, 1, 2, 3}},
      {"array cut short", {0x82, 0x01}},
      {"map without a value", {0xa1, 0x61, 'a'}},
      {"map key that is a number", {0xa1, 0x01, 0x01}},
      {"reserved head", {0x1c}},
      {"reserved simple value", {0xf8, 0xff}},
      {"undefined", {0xf7}},
      {"break without a start", {0xff}},
      {"tag", {0xc1, 0x01}},
      {"indefinite array", {0x9f, 0x01, 0xff}},
      {"indefinite map", {0xbf, 0x61, 'a', 0x01, 0xff}},
      {"indefinite text", {0x7f, 0x61, 'a', 0xff}},
      {"indefinite bytes", {0x5f, 0x41, 0x01, 0xff}},
      {"text of 2^64-1 bytes", With(0x7b)},
      {"bytes of 2^64-1 bytes", With(0x5b)},
      {"array of 2^64-1 items", With(0x9b)},
      {"map of 2^64-1 items", With(0xbb)},
      {"array of 2^62 items", {0x9b, 0x40, 0, 0, 0, 0, 0, 0, 0, 0x01}},
      {"array of 2^32-1 items", {0x9a, 0xff, 0xff, 0xff, 0xff, 0x01}},
      {"map of 2^63 pairs", {0xbb, 0x80, 0, 0, 0, 0, 0, 0, 0, 0x61, 'a', 1}},
  };
  for (const BadItem &Row : Rows) {
    INFO(Row.Name);
    CHECK(isRefused(Row.Encoded));
  }
}

TEST_CASE("Deep nesting is refused without deep recursion", "[cbor]") {
  // Guards against a peer that ends the process by stack overflow: the
  // library's decoder recurses once per level, also within chunked strings.
  constexpr std::size_t Levels = 2 * 1024 * 1024;
  const std::uint8_t Head = GENERATE(0x81, 0x9f, 0x5f, 0x7f, 0xc1);
  Bytes Encoded(Levels, Head);
  Encoded.push_back(0x00);
  CHECK(isRefused(Encoded));
  Bytes Maps;
  for (std::size_t Level = 0; Level < Levels / 3; ++Level)
    Maps.insert(Maps.end(), {0xa1, 0x61, 'a'});
  Maps.push_back(0x00);
  CHECK(isRefused(Maps));
}

TEST_CASE("Nesting up to the limit is accepted", "[cbor]") {
  Bytes Encoded(MaxCborDepth, 0x81);
  Encoded.push_back(0x00);
  CHECK(decodeCbor(Encoded, "decode", "peer"));
  Encoded.insert(Encoded.begin(), 0x81);
  CHECK(isRefused(Encoded));
}
