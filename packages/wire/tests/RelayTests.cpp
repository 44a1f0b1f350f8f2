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

//! What an entry host does with a datagram from a peer.
Expected<Relay> openRelay(const MacKey &Key, ByteView Sealed) {
  const auto Frame = unsealEnvelope(Key, Sealed, "peer");
  if (!Frame)
    return Unexpected(Frame.error());
  return decodeRelay(*Frame, "peer");
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
  const auto Opened = openRelay(key(1), Sealed);
  REQUIRE(Opened);
  CHECK(Opened->Caller == Message.Caller);
  CHECK(Opened->Payload == Message.Payload);
}

TEST_CASE("A relayed datagram is refused if it was changed", "[relay]") {
  Bytes Sealed =
      encodeRelay(key(1), {.Caller = "1.2.3.4:5", .Payload = {1, 2}});
  CHECK(openRelay(key(1), Sealed));
  CHECK_FALSE(openRelay(key(2), Sealed));
  for (std::size_t Length = 0; Length < Sealed.size(); ++Length)
    CHECK_FALSE(openRelay(key(1), ByteView(Sealed).first(Length)));
  Sealed[0] ^= 1;
  CHECK_FALSE(openRelay(key(1), Sealed));
}

TEST_CASE("A sealed message that is not a relay is refused", "[relay]") {
  const auto Refused = [](unsigned Type, const Json &Fields) {
    return !openRelay(key(1), seal(key(1), encodeEnvelope(Type, Fields)));
  };
  const Json Right = {{"c", "1.2.3.4:5"}, {"t", true}, {"d", binary({1})}};
  const auto With = [&](const char *Field, const Json &Value) {
    Json Changed = Right;
    Changed[Field] = Value;
    return Changed;
  };
  const auto Without = [&](const char *Field) {
    Json Changed = Right;
    Changed.erase(Field);
    return Changed;
  };
  CHECK_FALSE(Refused(30, Right));
  CHECK(Refused(20, Right));
  CHECK(Refused(30, Without("c")));
  CHECK(Refused(30, Without("t")));
  CHECK(Refused(30, Without("d")));
  CHECK(Refused(30, With("c", "")));
  CHECK(Refused(30, With("c", std::string(22, '1'))));
  CHECK(Refused(30, With("c", 1)));
  CHECK(Refused(30, With("t", 1)));
  CHECK(Refused(30, With("d", "text")));
  CHECK(Refused(30, With("d", binary(Bytes(MaxDatagramBytes + 1)))));
}
