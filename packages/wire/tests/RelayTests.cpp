#include "buckthorndeck/wire/Relay.h"

#include "buckthorndeck/wire/Envelope.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

namespace {

MacKey key(std::uint8_t Fill) {
  MacKey Key;
  Key.Value.fill(Fill);
  return Key;
}

Relay longestRelay() {
  return {.Caller = "255.255.255.255:65535",
          .Payload = Bytes(MaxDatagramBytes, 0xff)};
}

} // namespace

TEST_CASE("The longest datagram can be relayed in one Ethernet frame",
          "[relay]") {
  // Guards against a datagram that its first host accepts and the home cannot.
  const Relay Message = longestRelay();
  const Bytes Sealed = encodeRelay(key(1), Message);
  CHECK(Sealed.size() == MaxDatagramBytes + MaxRelayOverheadBytes);
  CHECK(Sealed.size() <= MaxPeerDatagramBytes);
  const auto Opened = decodeRelay(key(1), Sealed, "peer");
  REQUIRE(Opened);
  CHECK(Opened->Caller == Message.Caller);
  CHECK(Opened->Payload == Message.Payload);
}

TEST_CASE("A relayed datagram is refused if it was changed", "[relay]") {
  Bytes Sealed =
      encodeRelay(key(1), {.Caller = "1.2.3.4:5", .Payload = {1, 2}});
  CHECK(decodeRelay(key(1), Sealed, "peer"));
  CHECK_FALSE(decodeRelay(key(2), Sealed, "peer"));
  for (std::size_t Length = 0; Length < Sealed.size(); ++Length)
    CHECK_FALSE(decodeRelay(key(1), ByteView(Sealed).first(Length), "peer"));
  Sealed[0] ^= 1;
  CHECK_FALSE(decodeRelay(key(1), Sealed, "peer"));
}

TEST_CASE("A sealed message that is not a relay is refused", "[relay]") {
  const auto Refused = [](unsigned Type, const Json &Fields) {
    return !decodeRelay(key(1), seal(key(1), encodeEnvelope(Type, Fields)),
                        "peer");
  };
  const Json Right = {{"c", "1.2.3.4:5"}, {"d", binary({1})}};
  CHECK_FALSE(Refused(30, Right));
  CHECK(Refused(20, Right));
  CHECK(Refused(30, {{"c", "1.2.3.4:5"}}));
  CHECK(Refused(30, {{"d", binary({1})}}));
  CHECK(Refused(30, {{"c", ""}, {"d", binary({1})}}));
  CHECK(Refused(30, {{"c", std::string(22, '1')}, {"d", binary({1})}}));
  CHECK(Refused(30, {{"c", 1}, {"d", binary({1})}}));
  CHECK(Refused(30, {{"c", "1.2.3.4:5"}, {"d", "text"}}));
  CHECK(Refused(
      30, {{"c", "1.2.3.4:5"}, {"d", binary(Bytes(MaxDatagramBytes + 1))}}));
}
