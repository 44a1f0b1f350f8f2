#include "buckthorndeck/wire/Datagram.h"

#include "Samples.h"
#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/wire/Envelope.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

namespace {

bool isRefused(const Bytes &Payload) {
  const auto Message = decode(Payload, "10.0.0.1:9");
  return !Message && Message.error().Code == ErrorCode::Invalid &&
         Message.error().Peer == "10.0.0.1:9";
}

Json itemOf(const Bytes &Payload) {
  return decodeCbor(Payload, "decode", "test").value();
}

struct BadValue {
  unsigned Type;
  const char *Field;
  Json Value;
};

} // namespace

TEST_CASE("Every datagram decodes to what was encoded", "[datagram]") {
  unsigned Type = 0;
  for (const Datagram &Message : longestDatagrams()) {
    const Bytes Payload = encode(Message);
    INFO("type " << ++Type);
    CHECK(itemOf(Payload)[1] == Type);
    const auto Decoded = decode(Payload, "test");
    REQUIRE(Decoded);
    CHECK(Decoded->index() == Message.index());
    CHECK(encode(*Decoded) == Payload);
  }
}

TEST_CASE("Fields end up in the members that they were sent from",
          "[datagram]") {
  // Guards against two fields swapped in both encoder and decoder.
  const auto Decoded =
      decode(encode(Request{.Flow = FlowId(1),
                            .Number = Sequence(2),
                            .Service = ServiceAddress("1.2.3.4:5"),
                            .Operation = "bid",
                            .Attempt = 3,
                            .Deadline = std::chrono::milliseconds(4),
                            .Token = {5},
                            .Part = {.Part = 6,
                                     .Parts = 7,
                                     .TotalBytes = 8,
                                     .BodyDigest = Digest(9),
                                     .Body = {10}}}),
             "test");
  REQUIRE(Decoded);
  const auto &M = std::get<Request>(*Decoded);
  CHECK((M.Flow == FlowId(1) && M.Number == Sequence(2)));
  CHECK((M.Service.value() == "1.2.3.4:5" && M.Operation == "bid"));
  CHECK((M.Attempt == 3 && M.Deadline.count() == 4 && !M.Idempotent));
  CHECK((M.Token == Bytes{5} && M.Part.Body == Bytes{10}));
  CHECK((M.Part.Part == 6 && M.Part.Parts == 7 && M.Part.TotalBytes == 8));
  CHECK(M.Part.BodyDigest == Digest(9));
}

TEST_CASE("A time left that has passed is sent as none", "[datagram]") {
  // Guards against a negative deadline that becomes a huge unsigned one.
  const auto Decoded =
      decode(encode(Request{.Service = ServiceAddress("1.2.3.4:5"),
                            .Operation = "bid",
                            .Deadline = std::chrono::milliseconds(-1)}),
             "test");
  REQUIRE(Decoded);
  CHECK(std::get<Request>(*Decoded).Deadline.count() == 0);
}

TEST_CASE("A datagram cut anywhere or with more bytes is refused",
          "[datagram]") {
  for (const Datagram &Message : longestDatagrams()) {
    Bytes Payload = encode(Message);
    for (std::size_t Length = 0; Length < Payload.size(); ++Length)
      CHECK(isRefused(Bytes(Payload.begin(), Payload.begin() + Length)));
    Payload.push_back(0);
    CHECK(isRefused(Payload));
  }
}

TEST_CASE("A datagram without a field, or with one of another type, is refused",
          "[datagram]") {
  const Json Values[] = {nullptr,       true,           -1,
                         1.5,           "text",         binary({1}),
                         Json::array(), Json::object(), MaxNumber};
  for (const Datagram &Message : longestDatagrams()) {
    const Json Item = itemOf(encode(Message));
    for (const auto &[Name, Right] : Item[2].items()) {
      INFO("type " << Item[1] << " field " << Name);
      Json Changed = Item;
      Changed[2].erase(Name);
      CHECK(isRefused(encodeCbor(Changed)));
      for (const Json &Value : Values) {
        if (Value.type() == Right.type())
          continue;
        Changed[2][Name] = Value;
        CHECK(isRefused(encodeCbor(Changed)));
      }
    }
  }
}

TEST_CASE("A datagram with a field out of range is refused", "[datagram]") {
  const BadValue Rows[] = {
      {1, "svc", ""},
      {1, "svc", std::string(MaxAddressBytes + 1, '1')},
      {2, "op", ""},
      {2, "op", std::string(MaxOperationBytes + 1, 'o')},
      {2, "attempt", 0u},
      {2, "attempt", 1001u},
      {2, "deadline", 120001u},
      {2, "token", binary(Bytes(MaxTokenBytes + 1))},
      {2, "parts", 0u},
      {2, "parts", MaxParts + 1},
      {2, "part", MaxParts},
      {2, "total", MaxBodyBytes + 1},
      {2, "body", binary(Bytes(MaxPartBytes + 1))},
      {3, "op", ""},
      {3, "attempt", 0u},
      {6, "lifetime", 3'600'001u},
      {7, "outcome", 5u},
      {7, "reason", std::string(MaxReasonBytes + 1, 'r')},
      {7, "part", MaxParts},
      {7, "token", binary(Bytes(MaxTokenBytes + 1))},
      {8, "body", binary(Bytes(MaxPartBytes + 1))},
      {9, "token", binary(Bytes(MaxTokenBytes + 1))},
  };
  for (const BadValue &Row : Rows) {
    INFO("type " << Row.Type << " field " << Row.Field);
    Json Item = itemOf(encode(longestDatagrams()[Row.Type - 1]));
    // Room for a value over its limit within the limit of the datagram.
    if (Item[2].contains("body"))
      Item[2]["body"] = binary({});
    CHECK(decode(encodeCbor(Item), "test"));
    Item[2][Row.Field] = Row.Value;
    CHECK(isRefused(encodeCbor(Item)));
  }
}

TEST_CASE("An envelope of another shape, version or type is refused",
          "[envelope]") {
  const Json Fields = {{"flow", 1u}, {"svc", "1.2.3.4:5"}};
  CHECK_FALSE(isRefused(encodeCbor(Json::array({1u, 1u, Fields}))));
  const Json Rows[] = {
      1u,
      Fields,
      Json::array(),
      Json::array({1u, 1u}),
      Json::array({1u, 1u, Fields, 1u}),
      Json::array({0u, 1u, Fields}),
      Json::array({2u, 1u, Fields}),
      Json::array({1.0, 1u, Fields}),
      Json::array({"1", 1u, Fields}),
      Json::array({true, 1u, Fields}),
      Json::array({1u, 0u, Fields}),
      Json::array({1u, 10u, Fields}),
      Json::array({1u, 20u, Fields}),
      Json::array({1u, 30u, Fields}),
      Json::array({1u, 255u, Fields}),
      Json::array({1u, 256u, Fields}),
      Json::array({1u, MaxNumber, Fields}),
      Json::array({1u, -1, Fields}),
      Json::array({1u, 1.0, Fields}),
      Json::array({1u, "open", Fields}),
      Json::array({1u, 1u, nullptr}),
      Json::array({1u, 1u, Json::array({1u})}),
  };
  for (const Json &Row : Rows) {
    INFO(Row);
    CHECK(isRefused(encodeCbor(Row)));
  }
}

TEST_CASE("A datagram over the limit is refused before it is decoded",
          "[envelope]") {
  Json Item = Json::array({1u, 1u, {{"flow", 1u}, {"svc", "1.2.3.4:5"}}});
  Item[2]["pad"] = binary({});
  const std::size_t Room = MaxDatagramBytes - encodeCbor(Item).size() - 2;
  Item[2]["pad"] = binary(Bytes(Room));
  REQUIRE(encodeCbor(Item).size() == MaxDatagramBytes);
  CHECK(decode(encodeCbor(Item), "test"));
  Item[2]["pad"] = binary(Bytes(Room + 1));
  CHECK(isRefused(encodeCbor(Item)));
  CHECK_FALSE(decodeEnvelope(Bytes(MaxDatagramBytes + 1), "step", "peer"));
}

TEST_CASE("The longest datagrams are within the limit", "[datagram]") {
  for (const Datagram &Message : longestDatagrams()) {
    INFO("index " << Message.index());
    CHECK(encode(Message).size() <= MaxDatagramBytes);
  }
}

TEST_CASE("Every outcome has its own name", "[datagram]") {
  CHECK(std::string(toString(Outcome::Ok)) == "ok");
  CHECK(std::string(toString(Outcome::Failed)) == "failed");
  CHECK(std::string(toString(Outcome::NotRun)) == "not_run");
  CHECK(std::string(toString(Outcome::Unknown)) == "unknown");
  CHECK(std::string(toString(Outcome::Reopen)) == "reopen");
}
