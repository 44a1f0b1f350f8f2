#include "buckthorndeck/base/Mac.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;

namespace {

MacKey key(std::uint8_t Fill) {
  MacKey Key;
  Key.Value.fill(Fill);
  return Key;
}

} // namespace

TEST_CASE("A sealed message opens only with its key", "[mac]") {
  for (const Bytes &Message : {Bytes{}, toBytes("a"), Bytes(2000, 0x5a)}) {
    const Bytes Sealed = seal(key(1), Message);
    CHECK(Sealed.size() == Message.size() + MacBytes);
    const auto Opened = unseal(key(1), Sealed, "peer");
    REQUIRE(Opened);
    CHECK(Bytes(Opened->begin(), Opened->end()) == Message);
    CHECK_FALSE(unseal(key(2), Sealed, "peer"));
  }
}

TEST_CASE("A sealed message with any bit flipped is refused", "[mac]") {
  Bytes Sealed = seal(key(1), toBytes("heartbeat"));
  for (std::size_t Bit = 0; Bit < Sealed.size() * 8; ++Bit) {
    const auto Mask = static_cast<std::uint8_t>(1U << (Bit % 8));
    Sealed[Bit / 8] ^= Mask;
    CHECK_FALSE(unseal(key(1), Sealed, "peer"));
    Sealed[Bit / 8] ^= Mask;
  }
  CHECK(unseal(key(1), Sealed, "peer"));
}

TEST_CASE("A sealed message of another length is refused", "[mac]") {
  const Bytes Sealed = seal(key(1), toBytes("heartbeat"));
  for (std::size_t Length = 0; Length < Sealed.size(); ++Length) {
    const auto Opened =
        unseal(key(1), ByteView(Sealed).first(Length), "10.0.0.1:9");
    REQUIRE_FALSE(Opened);
    CHECK(Opened.error().Peer == "10.0.0.1:9");
  }
  Bytes Longer = Sealed;
  Longer.push_back(0);
  CHECK_FALSE(unseal(key(1), Longer, "peer"));
}

TEST_CASE("A byte cannot move between context and message", "[mac]") {
  CHECK(authenticate(key(1), "ab", toBytes("c")) !=
        authenticate(key(1), "a", toBytes("bc")));
  const Mac Tag = authenticate(key(1), "ab", toBytes("c"));
  CHECK(verify(key(1), "ab", toBytes("c"), Tag));
  CHECK_FALSE(verify(key(1), "a", toBytes("bc"), Tag));
  CHECK_FALSE(verify(key(1), "ab", toBytes("c"), ByteView(Tag).first(15)));
}

TEST_CASE("A key for one purpose is not valid for another", "[mac]") {
  const Bytes Sealed = seal(deriveKey(key(1), "relay"), toBytes("x"));
  CHECK(unseal(deriveKey(key(1), "relay"), Sealed, "peer"));
  CHECK_FALSE(unseal(deriveKey(key(1), "heartbeat"), Sealed, "peer"));
  CHECK_FALSE(unseal(deriveKey(key(2), "relay"), Sealed, "peer"));
  CHECK_FALSE(unseal(key(1), Sealed, "peer"));
}

TEST_CASE("A key is read from exactly 64 hexadecimal digits", "[mac]") {
  const auto Key = parseMacKey(std::string(62, '0') + "Af");
  REQUIRE(Key);
  CHECK(Key->Value.front() == 0);
  CHECK(Key->Value.back() == 0xaf);
  for (const std::string &Bad :
       {std::string(), std::string(62, '0'), std::string(63, '0'),
        std::string(66, '0'), std::string(63, '0') + "g",
        std::string(63, '0') + " ", "0x" + std::string(62, '0')})
    CHECK_FALSE(parseMacKey(Bad));
}
