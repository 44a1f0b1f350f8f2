#include "Fleet.h"

#include "buckthorndeck/membership/Heartbeat.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::membership;

namespace {

wire::Envelope envelopeOf(Message Content) {
  const Bytes Encoded = encode(Content);
  return *wire::decodeEnvelope(Encoded, "test", "peer");
}

Message fullAck() {
  return HeartbeatAck{
      .From = makeMember(0),
      .Number = 7,
      .Updates = {makeMember(1)},
      .Page = MemberPage{.Members = {makeMember(2)}, .Last = true},
      .Report = ProbeReport{.Subject = EntryHostName("h"), .Reached = true}};
}

} // namespace

TEST_CASE("Decoded heartbeat messages equal the encoded ones", "[heartbeat]") {
  // Guards against fields that are lost or swapped by encoding and decoding.
  Member From = makeMember(3, 77);
  From.Version = ConfigVersion(12);
  From.Refutation = 4;
  From.State = MemberState::Leaving;
  From.SyncAddress.address(boost::asio::ip::make_address_v4("10.9.9.9"));
  const auto Decoded =
      decode(envelopeOf(Heartbeat{.From = From,
                                  .Number = 9,
                                  .Updates = {makeMember(1), makeMember(2)},
                                  .PageAfter = EntryHostName("x")}),
             "peer");
  REQUIRE(Decoded);
  const auto &Received = std::get<Heartbeat>(*Decoded);
  CHECK(Received.From.Name == From.Name);
  CHECK(Received.From.Region == From.Region);
  CHECK(Received.From.FailureDomain == From.FailureDomain);
  CHECK(Received.From.PeerAddress == From.PeerAddress);
  CHECK(Received.From.SyncAddress == From.SyncAddress);
  CHECK(Received.From.StartTime == From.StartTime);
  CHECK(Received.From.Refutation == From.Refutation);
  CHECK(Received.From.State == From.State);
  CHECK(Received.From.Version == From.Version);
  CHECK(Received.Number == 9);
  CHECK(Received.PageAfter == EntryHostName("x"));
  REQUIRE(Received.Updates.size() == 2);
  CHECK(Received.Updates[1].FailureDomain == makeMember(2).FailureDomain);
  CHECK(Received.Updates[1].SyncAddress == makeMember(2).SyncAddress);

  const auto Ack = decode(envelopeOf(fullAck()), "peer");
  REQUIRE(Ack);
  CHECK(std::get<HeartbeatAck>(*Ack).Page->Last);
  CHECK(std::get<HeartbeatAck>(*Ack).Page->Members.size() == 1);
  CHECK(std::get<HeartbeatAck>(*Ack).Report->Reached);
  const auto Request = decode(
      envelopeOf(ProbeRequest{.From = From, .Target = makeMember(5)}), "p");
  REQUIRE(Request);
  CHECK(std::get<ProbeRequest>(*Request).Target.Name == makeMember(5).Name);
}

TEST_CASE("A message stays within 700 bytes and 8 updates", "[heartbeat]") {
  // Guards against messages that exceed the byte budget because names are long.
  for (const std::size_t Length : {1U, 24U, 64U}) {
    CAPTURE(Length);
    std::vector<Member> Many;
    for (unsigned I = 0; I < 80; ++I) {
      Member Entry = makeMember(I);
      const std::string Suffix = std::to_string(I);
      Entry.Name = EntryHostName(
          std::string(Length, 'n').substr(0, Length - Suffix.size() % Length) +
          Suffix);
      Entry.Region = RegionName(std::string(Length, 'r'));
      Entry.FailureDomain =
          FailureDomainName(std::string(Length - 1, 'd') + char('a' + I % 3));
      Entry.StartTime = Incarnation(~0ULL);
      Many.push_back(Entry);
    }
    Message Beat = Heartbeat{.From = Many[0], .Number = ~0ULL, .Updates = Many};
    CHECK(encode(Beat).size() <= MaxMessageBytes);
    CHECK(std::get<Heartbeat>(Beat).Updates.size() <= MaxUpdates);
    CHECK(std::get<Heartbeat>(Beat).Updates.size() >= 2);
    Message Ack =
        HeartbeatAck{.From = Many[0],
                     .Updates = {Many[1]},
                     .Page = MemberPage{.Members = Many, .Last = true}};
    const Bytes Encoded = encode(Ack);
    CHECK(Encoded.size() <= MaxMessageBytes);
    const MemberPage &Page = *std::get<HeartbeatAck>(Ack).Page;
    CHECK_FALSE(Page.Last);
    CHECK(Page.Members.size() >= 1);
    const auto Decoded =
        decode(*wire::decodeEnvelope(Encoded, "test", "peer"), "peer");
    REQUIRE(Decoded);
    CHECK(std::get<HeartbeatAck>(*Decoded).Page->Members.size() ==
          Page.Members.size());
  }
}

TEST_CASE("Malformed heartbeats are refused", "[heartbeat]") {
  // Guards against crashes and members with values out of range, caused by
  // messages of a faulty peer.
  struct TestCase {
    const char *Pointer; //!< Field to change, as a JSON pointer.
    Json Value;          //!< Null removes the field.
  };
  const std::string Long(65, 'n');
  const TestCase Cases[] = {
      {"/from", nullptr},
      {"/from", 5},
      {"/from", Json::array()},
      {"/from/0", ""},
      {"/from/0", Long},
      {"/from/1", 99},
      {"/from/1", -1},
      {"/from/2", 0},
      {"/from/2", 1ULL << 32},
      {"/from/3", 0},
      {"/from/3", 65536},
      {"/from/4", "x"},
      {"/from/5", 70000},
      {"/from/6", -3},
      {"/from/7", ~0ULL},
      {"/from/8", 5},
      {"/from/8", 1.5},
      {"/version", "1"},
      {"/version", nullptr},
      {"/number", -1},
      {"/number", nullptr},
      {"/places", nullptr},
      {"/places", Json::array()},
      {"/places/0", Json::array({"a"})},
      {"/places/0", Json::array({"a", Long})},
      {"/updates", nullptr},
      {"/updates", Json::array({1})},
      {"/updates", Json(std::vector<int>(9, 1))},
      {"/updates/0/8", 6},
      {"/page", Json(std::vector<int>(65, 1))},
      {"/page/0", "x"},
      {"/last", 1},
      {"/partial", nullptr},
      {"/subject", ""},
      {"/reached", "yes"},
  };
  for (const TestCase &Case : Cases) {
    CAPTURE(Case.Pointer, Case.Value.dump());
    wire::Envelope Changed = envelopeOf(fullAck());
    REQUIRE(decode(Changed, "peer"));
    const Json::json_pointer Pointer(Case.Pointer);
    if (Case.Value.is_null())
      Changed.Fields.erase(Pointer.back());
    else
      Changed.Fields[Pointer] = Case.Value;
    CHECK_FALSE(decode(Changed, "peer"));
  }
  wire::Envelope Other = envelopeOf(fullAck());
  Other.Type = 23;
  CHECK_FALSE(decode(Other, "peer"));
  CHECK_FALSE(decode(wire::Envelope{.Type = 20, .Fields = 3}, "peer"));
  wire::Envelope Request =
      envelopeOf(ProbeRequest{.From = makeMember(1), .Target = makeMember(2)});
  Request.Fields.erase("target");
  CHECK_FALSE(decode(Request, "peer"));
}
