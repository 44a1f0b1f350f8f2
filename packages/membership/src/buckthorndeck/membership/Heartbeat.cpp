#include "buckthorndeck/membership/Heartbeat.h"

#include "buckthorndeck/base/FieldReader.h"

#include <algorithm>
#include <limits>

namespace buckthorndeck::membership {

namespace {

constexpr std::size_t MaxLocations = MaxPageMembers + MaxUpdates + 2;
constexpr std::size_t MemberFields = 9;
constexpr std::uint64_t MaxPort = 65535;
//! Bytes of the envelope and of length prefixes, which grow with the arrays.
constexpr std::size_t EncodingOverheadBytes = 16;

//! Encodes members as arrays. Region and failure domain are sent once per
//! message and referred to by index, because most members share them.
class MemberEncoder {
public:
  Json add(const Member &Value) {
    const Json Location =
        Json::array({Value.Region.value(), Value.FailureDomain.value()});
    auto Found = std::find(Locations.begin(), Locations.end(), Location);
    const std::size_t Index = Found - Locations.begin();
    if (Found == Locations.end())
      Locations.push_back(Location);
    const std::uint32_t Peer = Value.PeerAddress.address().to_v4().to_uint();
    const std::uint32_t Sync = Value.SyncAddress.address().to_v4().to_uint();
    // 0 as the sync address means the same as the peer address.
    return Json::array({Value.Name.value(), Index, Peer,
                        Value.PeerAddress.port(), Sync == Peer ? 0 : Sync,
                        Value.SyncAddress.port(), Value.StartTime.value(),
                        Value.Refutation, static_cast<unsigned>(Value.State)});
  }

  //! Adds a member to List if the message stays within MaxMessageBytes.
  bool addIfFits(const Member &Value, Json &List, std::size_t &BytesUsed) {
    const std::size_t LocationsBefore = Locations.size();
    Json Item = add(Value);
    std::size_t Size = encodeCbor(Item).size();
    if (Locations.size() > LocationsBefore)
      Size += encodeCbor(Locations.back()).size();
    if (BytesUsed + Size > MaxMessageBytes) {
      if (Locations.size() > LocationsBefore)
        Locations.erase(Locations.size() - 1);
      return false;
    }
    BytesUsed += Size;
    List.push_back(std::move(Item));
    return true;
  }

  Json Locations = Json::array();
};

Json encodeHeader(MemberEncoder &Encoder, const Member &From,
                  std::uint64_t Number) {
  return {{"from", Encoder.add(From)},
          {"version", From.Version.value()},
          {"number", Number}};
}

void encodeUpdates(MemberEncoder &Encoder, Json &Fields,
                   std::vector<Member> &Updates, std::size_t &BytesUsed) {
  Json List = Json::array();
  Updates.resize(std::min(Updates.size(), MaxUpdates));
  std::size_t Sent = 0;
  while (Sent < Updates.size() &&
         Encoder.addIfFits(Updates[Sent], List, BytesUsed))
    ++Sent;
  Updates.resize(Sent);
  Fields["updates"] = std::move(List);
}

std::size_t sizeOf(const MemberEncoder &Encoder, const Json &Fields) {
  return encodeCbor(Fields).size() + encodeCbor(Encoder.Locations).size() +
         EncodingOverheadBytes;
}

struct MessageEncoder {
  Bytes operator()(Heartbeat &M) const {
    MemberEncoder Encoder;
    Json Fields = encodeHeader(Encoder, M.From, M.Number);
    if (M.PageAfter)
      Fields["after"] = M.PageAfter->value();
    Fields["updates"] = Json::array();
    Fields["places"] = Json::array();
    std::size_t BytesUsed = sizeOf(Encoder, Fields);
    encodeUpdates(Encoder, Fields, M.Updates, BytesUsed);
    Fields["places"] = std::move(Encoder.Locations);
    return wire::encodeEnvelope(HeartbeatType, std::move(Fields));
  }

  Bytes operator()(HeartbeatAck &M) const {
    MemberEncoder Encoder;
    Json Fields = encodeHeader(Encoder, M.From, M.Number);
    Fields["updates"] = Json::array();
    Fields["places"] = Json::array();
    if (M.Report) {
      Fields["subject"] = M.Report->Subject.value();
      Fields["reached"] = M.Report->Reached;
    }
    if (M.Page) {
      Fields["page"] = Json::array();
      Fields["last"] = M.Page->Last;
      Fields["partial"] = M.Page->SenderIncomplete;
    }
    std::size_t BytesUsed = sizeOf(Encoder, Fields);
    encodeUpdates(Encoder, Fields, M.Updates, BytesUsed);
    if (M.Page)
      encodePage(Encoder, Fields, *M.Page, BytesUsed);
    Fields["places"] = std::move(Encoder.Locations);
    return wire::encodeEnvelope(HeartbeatAckType, std::move(Fields));
  }

  Bytes operator()(ProbeRequest &M) const {
    MemberEncoder Encoder;
    Json Fields = encodeHeader(Encoder, M.From, M.Number);
    Fields["target"] = Encoder.add(M.Target);
    Fields["places"] = std::move(Encoder.Locations);
    return wire::encodeEnvelope(ProbeRequestType, std::move(Fields));
  }

  static void encodePage(MemberEncoder &Encoder, Json &Fields, MemberPage &Page,
                         std::size_t &BytesUsed) {
    Json List = Json::array();
    std::size_t Sent = 0;
    while (Sent < std::min(Page.Members.size(), MaxPageMembers) &&
           Encoder.addIfFits(Page.Members[Sent], List, BytesUsed))
      ++Sent;
    if (Sent < Page.Members.size())
      Page.Last = false;
    Page.Members.resize(Sent);
    Fields["page"] = std::move(List);
    Fields["last"] = Page.Last;
  }
};

//! Decodes members. Their regions and failure domains are in the field "places"
//! of the message.
class MemberDecoder {
public:
  explicit MemberDecoder(FieldReader &Reader) : Reader(Reader) {
    const Json *List = Reader.array("places", MaxLocations);
    if (!List)
      return;
    for (const Json &Item : *List) {
      if (!Item.is_array() || Item.size() != 2 || !isName(Item[0]) ||
          !isName(Item[1])) {
        Reader.fail("places", "an array of [region, failure domain] pairs, "
                              "each name 1 to 64 bytes long");
        return;
      }
      Locations.emplace_back(RegionName(Item[0].get<std::string>()),
                             FailureDomainName(Item[1].get<std::string>()));
    }
  }

  Member readOne(const char *Field) {
    const Json *Item = Reader.array(Field, MemberFields);
    return Item ? decodeMember(Field, *Item) : Member{};
  }

  std::vector<Member> readList(const char *Field, std::size_t MaxLength) {
    std::vector<Member> Result;
    const Json *List = Reader.array(Field, MaxLength);
    if (!List)
      return Result;
    for (const Json &Item : *List)
      Result.push_back(decodeMember(Field, Item));
    return Result;
  }

private:
  static bool isName(const Json &Value) {
    if (!Value.is_string())
      return false;
    const std::size_t Size = Value.get_ref<const std::string &>().size();
    return Size >= 1 && Size <= MaxNameBytes;
  }

  static bool isNumber(const Json &Value, std::uint64_t Min,
                       std::uint64_t Max) {
    return Value.is_number_unsigned() && Value.get<std::uint64_t>() >= Min &&
           Value.get<std::uint64_t>() <= Max;
  }

  Member decodeMember(const char *Field, const Json &Item) {
    constexpr std::uint64_t Any = std::numeric_limits<std::uint64_t>::max();
    constexpr std::uint64_t MaxAddress =
        std::numeric_limits<std::uint32_t>::max();
    if (!Item.is_array() || Item.size() != MemberFields || !isName(Item[0]) ||
        Locations.empty() || !isNumber(Item[1], 0, Locations.size() - 1) ||
        !isNumber(Item[2], 1, MaxAddress) || !isNumber(Item[3], 1, MaxPort) ||
        !isNumber(Item[4], 0, MaxAddress) || !isNumber(Item[5], 0, MaxPort) ||
        !isNumber(Item[6], 0, Any) || !isNumber(Item[7], 0, Any - 1) ||
        !isNumber(Item[8], 0, static_cast<unsigned>(MemberState::Left))) {
      Reader.fail(
          Field,
          "a member as an array of 9 values: name, index in places, peer IPv4 "
          "address and "
          "port, sync IPv4 address and port, start time, refutation, state");
      return {};
    }
    const auto &[Region, Domain] = Locations[Item[1].get<std::size_t>()];
    const auto PeerAddress = Item[2].get<std::uint32_t>();
    const auto SyncAddress = Item[4].get<std::uint32_t>();
    return Member{.Name = EntryHostName(Item[0].get<std::string>()),
                  .Region = Region,
                  .FailureDomain = Domain,
                  .PeerAddress = {boost::asio::ip::address_v4(PeerAddress),
                                  Item[3].get<std::uint16_t>()},
                  .SyncAddress = {boost::asio::ip::address_v4(
                                      SyncAddress ? SyncAddress : PeerAddress),
                                  Item[5].get<std::uint16_t>()},
                  .StartTime = Incarnation(Item[6].get<std::uint64_t>()),
                  .Refutation = Item[7].get<std::uint64_t>(),
                  .State =
                      static_cast<MemberState>(Item[8].get<std::uint8_t>())};
  }

  FieldReader &Reader;
  std::vector<std::pair<RegionName, FailureDomainName>> Locations;
};

} // namespace

Bytes encode(Message &Content) { return std::visit(MessageEncoder{}, Content); }

Expected<Message> decode(const wire::Envelope &Envelope,
                         const std::string &Peer) {
  FieldReader Reader(Envelope.Fields, "decode heartbeat", Peer);
  if (Envelope.Type < HeartbeatType || Envelope.Type > ProbeRequestType)
    Reader.fail("type",
                "20 (heartbeat), 21 (acknowledgement) or 22 (probe request)");
  if (Reader.failed())
    return Unexpected(Reader.error());
  MemberDecoder Members(Reader);
  Member From = Members.readOne("from");
  From.Version = ConfigVersion(Reader.number("version"));
  const std::uint64_t Number = Reader.number("number");
  Message Result;
  if (Envelope.Type == HeartbeatType) {
    Heartbeat M{.From = From, .Number = Number};
    M.Updates = Members.readList("updates", MaxUpdates);
    if (Envelope.Fields.contains("after"))
      M.PageAfter = EntryHostName(Reader.text("after", MaxNameBytes));
    Result = std::move(M);
  } else if (Envelope.Type == HeartbeatAckType) {
    HeartbeatAck M{.From = From, .Number = Number};
    M.Updates = Members.readList("updates", MaxUpdates);
    if (Envelope.Fields.contains("page"))
      M.Page = MemberPage{.Members = Members.readList("page", MaxPageMembers),
                          .Last = Reader.flag("last"),
                          .SenderIncomplete = Reader.flag("partial")};
    if (Envelope.Fields.contains("subject"))
      M.Report = ProbeReport{
          .Subject = EntryHostName(Reader.text("subject", MaxNameBytes, 1)),
          .Reached = Reader.flag("reached")};
    Result = std::move(M);
  } else {
    Result = ProbeRequest{
        .From = From, .Number = Number, .Target = Members.readOne("target")};
  }
  if (Reader.failed())
    return Unexpected(Reader.error());
  return Result;
}

} // namespace buckthorndeck::membership
