#include "buckthorndeck/wire/Token.h"

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/wire/Datagram.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

namespace {

const ServiceAddress Service("10.0.0.1:443");

MacKey key(std::uint8_t Fill) {
  MacKey Key;
  Key.Value.fill(Fill);
  return Key;
}

Token contents() {
  return {.Owner = EntryHostName("hella-1"),
          .OwnerIncarnation = Incarnation(5),
          .Flow = FlowId(77),
          .Server = ObjectName("exchange/floor-1"),
          .ServerGeneration = Generation(3),
          .IssuedAt = std::chrono::milliseconds(1234)};
}

//! Fields under a right MAC, as a host of another release could mint them.
Bytes sealedFields(const Json &Fields) {
  Bytes Sealed = encodeCbor(Fields);
  const Mac Tag = authenticate(key(1), Service.value(), Sealed);
  Sealed.insert(Sealed.end(), Tag.begin(), Tag.end());
  return Sealed;
}

bool opens(const Bytes &Sealed) {
  return verifyToken(key(1), Sealed, Service, FlowId(77), "peer").has_value();
}

} // namespace

TEST_CASE("A token opens to what was minted", "[token]") {
  const Bytes Sealed = issueToken(key(1), contents(), Service);
  const auto Opened = verifyToken(key(1), Sealed, Service, FlowId(77), "peer");
  REQUIRE(Opened);
  CHECK(Opened->Owner == contents().Owner);
  CHECK(Opened->OwnerIncarnation == contents().OwnerIncarnation);
  CHECK(Opened->Flow == contents().Flow);
  CHECK(Opened->Server == contents().Server);
  CHECK(Opened->ServerGeneration == contents().ServerGeneration);
  CHECK(Opened->IssuedAt == contents().IssuedAt);
}

TEST_CASE("A token is refused for another service, flow or key", "[token]") {
  // Guards G2: a token of one service must never route to another's servers.
  const Bytes Sealed = issueToken(key(1), contents(), Service);
  const FlowId Flow(77);
  CHECK_FALSE(verifyToken(key(1), Sealed, ServiceAddress("10.0.0.1:444"), Flow,
                          "peer"));
  CHECK_FALSE(verifyToken(key(1), Sealed, ServiceAddress(), Flow, "peer"));
  CHECK_FALSE(verifyToken(key(1), Sealed, Service, FlowId(78), "peer"));
  CHECK_FALSE(verifyToken(key(2), Sealed, Service, Flow, "peer"));
}

TEST_CASE("A token with any bit flipped is refused", "[token]") {
  Bytes Sealed = issueToken(key(1), contents(), Service);
  for (std::size_t Bit = 0; Bit < Sealed.size() * 8; ++Bit) {
    const auto Mask = static_cast<std::uint8_t>(1U << (Bit % 8));
    Sealed[Bit / 8] ^= Mask;
    CHECK_FALSE(opens(Sealed));
    Sealed[Bit / 8] ^= Mask;
  }
  CHECK(opens(Sealed));
}

TEST_CASE("A token of another length is refused", "[token]") {
  Bytes Sealed = issueToken(key(1), contents(), Service);
  for (std::size_t Length = 0; Length < Sealed.size(); ++Length)
    CHECK_FALSE(opens(Bytes(Sealed.begin(), Sealed.begin() + Length)));
  Sealed.push_back(0);
  CHECK_FALSE(opens(Sealed));
  CHECK_FALSE(opens(Bytes(MaxTokenBytes + 1)));
}

TEST_CASE("The longest token is within its limit", "[token]") {
  Token Longest = contents();
  Longest.Owner = EntryHostName(std::string(MaxHostNameBytes, 'h'));
  Longest.OwnerIncarnation = Incarnation(UINT64_MAX);
  Longest.Flow = FlowId(UINT64_MAX);
  Longest.Server = ObjectName(std::string(MaxObjectNameBytes, 's'));
  Longest.ServerGeneration = Generation(UINT64_MAX);
  Longest.IssuedAt = std::chrono::milliseconds::max();
  const Bytes Sealed = issueToken(key(1), Longest, Service);
  CHECK(Sealed.size() <= MaxTokenBytes);
  CHECK(verifyToken(key(1), Sealed, Service, Longest.Flow, "peer"));
}

TEST_CASE("A rightly sealed token with a bad field is refused", "[token]") {
  const Json Right = {{"h", "hella-1"}, {"i", 5u}, {"f", 77u},
                      {"s", ""},        {"g", 3u}, {"m", 1234u}};
  CHECK(opens(sealedFields(Right)));
  CHECK_FALSE(opens(sealedFields(Json::array({1}))));
  CHECK_FALSE(opens(sealedFields(1)));
  for (const auto &[Name, Value] : Right.items()) {
    INFO(Name);
    Json Changed = Right;
    Changed.erase(Name);
    CHECK_FALSE(opens(sealedFields(Changed)));
    Changed[Name] = nullptr;
    CHECK_FALSE(opens(sealedFields(Changed)));
    Changed[Name] = -1;
    CHECK_FALSE(opens(sealedFields(Changed)));
  }
  Json Changed = Right;
  Changed["m"] = UINT64_MAX;
  CHECK_FALSE(opens(sealedFields(Changed)));
  Changed = Right;
  Changed["h"] = "";
  CHECK_FALSE(opens(sealedFields(Changed)));
}
