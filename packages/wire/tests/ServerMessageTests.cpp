#include "buckthorndeck/wire/ServerMessage.h"

#include "Samples.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

namespace {

struct BadValue {
  const char *Type;
  const char *Field;
  Json Value;
};

//! All messages of both directions as maps.
std::vector<Json> allMaps() {
  std::vector<Json> Maps;
  for (const ServerMessage &Message : serverMessages())
    Maps.push_back(encode(Message));
  for (const ServerCommand &Command : serverCommands())
    Maps.push_back(encode(Command));
  return Maps;
}

Json mapOfType(const std::string &Type) {
  for (const Json &Fields : allMaps())
    if (Fields["type"] == Type)
      return Fields;
  FAIL("no message of type " << Type);
  return {};
}

bool isRefused(const Json &Fields) {
  const auto Message = decodeServerMessage(Fields, "peer");
  const auto Command = decodeServerCommand(Fields, "peer");
  return !Message && !Command && Message.error().Peer == "peer" &&
         Command.error().Code == ErrorCode::Invalid;
}

} // namespace

TEST_CASE("Every server message decodes to what was encoded", "[server]") {
  for (const ServerMessage &Message : serverMessages()) {
    const Bytes Sent = encodeCbor(encode(Message));
    const auto Fields = decodeCbor(Sent, "decode", "peer");
    REQUIRE(Fields);
    const auto Decoded = decodeServerMessage(*Fields, "peer");
    REQUIRE(Decoded);
    CHECK(Decoded->index() == Message.index());
    CHECK(encodeCbor(encode(*Decoded)) == Sent);
    CHECK_FALSE(decodeServerCommand(*Fields, "peer"));
  }
}

TEST_CASE("Every command decodes to what was encoded", "[server]") {
  for (const ServerCommand &Command : serverCommands()) {
    const Bytes Sent = encodeCbor(encode(Command));
    const auto Fields = decodeCbor(Sent, "decode", "peer");
    REQUIRE(Fields);
    const auto Decoded = decodeServerCommand(*Fields, "peer");
    REQUIRE(Decoded);
    CHECK(Decoded->index() == Command.index());
    CHECK(encodeCbor(encode(*Decoded)) == Sent);
    CHECK_FALSE(decodeServerMessage(*Fields, "peer"));
  }
}

TEST_CASE("A message without a field, or with one of another type, is refused",
          "[server]") {
  const Json Values[] = {nullptr,       true,           -1,
                         1.5,           "text",         binary({1}),
                         Json::array(), Json::object(), MaxNumber};
  for (const Json &Map : allMaps())
    for (const auto &[Name, Right] : Map.items()) {
      INFO(Map["type"] << " field " << Name);
      Json Changed = Map;
      Changed.erase(Name);
      CHECK(isRefused(Changed));
      for (const Json &Value : Values) {
        if (Value.type() == Right.type())
          continue;
        Changed[Name] = Value;
        CHECK(isRefused(Changed));
      }
    }
}

TEST_CASE("A message with a field out of range is refused", "[server]") {
  const std::string LongName(MaxObjectNameBytes + 1, 'n');
  const BadValue Rows[] = {
      {"hello", "server", ""},
      {"hello", "server", LongName},
      {"hello", "service", LongName},
      {"hello", "slots", 0u},
      {"hello", "slots", 1025u},
      {"done", "body", binary(Bytes(MaxBodyBytes + 1))},
      {"refused", "reason", 4u},
      {"ended", "reason", 4u},
      {"event", "body", binary(Bytes(MaxPartBytes + 1))},
      {"run", "service", ""},
      {"run", "op", ""},
      {"run", "op", std::string(MaxOperationBytes + 1, 'o')},
      {"run", "deadline", 120001u},
      {"run", "body", binary(Bytes(MaxBodyBytes + 1))},
      {"subscribe", "op", ""},
      {"draining", "type", "unknown"},
      {"draining", "type", std::string(1000, 'd')},
  };
  for (const BadValue &Row : Rows) {
    INFO(Row.Type << " field " << Row.Field);
    Json Fields = mapOfType(Row.Type);
    Fields[Row.Field] = Row.Value;
    CHECK(isRefused(Fields));
  }
}

TEST_CASE("What is not a map is no message", "[server]") {
  for (const Json &Value : {Json(), Json(1), Json("run"), Json::array({1, 2})})
    CHECK(isRefused(Value));
}
