#include "buckthorndeck/forwarding/Peers.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/forwarding/Limits.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

namespace {

constexpr std::size_t MaxAddressBytes = 21;
//! Peers named in a heartbeat, which keeps it below 1 KB.
constexpr std::size_t MaxOthers = 4;
//! A peer that was heard within this time is named to others.
constexpr std::chrono::seconds FreshTime{10};
//! A peer is remembered for longer than the store or a failure domain is away
//! on most days.
constexpr std::chrono::seconds ForgetTime{60};
//! Without a heartbeat of the own domain for this time, seeds are asked.
constexpr std::chrono::seconds LonelyTime{5};

Json encodePeer(const Peer &Value) {
  return Json{{"name", Value.Name.value()},
              {"failure_domain", Value.Domain.value()},
              {"heartbeat", toString(Value.Heartbeat)},
              {"snapshot", toString(Value.Snapshot)}};
}

Expected<Peer> decodePeer(const Json &Value, const std::string &Step,
                          const std::string &Source) {
  FieldReader Fields(Value, Step, Source);
  Peer Result{.Name = EntryHostName(Fields.text("name", MaxNameBytes, 1)),
              .Domain = FailureDomainName(
                  Fields.text("failure_domain", MaxNameBytes, 1))};
  const auto Heartbeat =
      parseUdpEndpoint(Fields.text("heartbeat", MaxAddressBytes), Step);
  const auto Snapshot =
      parseTcpEndpoint(Fields.text("snapshot", MaxAddressBytes), Step);
  if (Fields.failed())
    return Unexpected(Fields.error());
  if (!Heartbeat)
    return Unexpected(Heartbeat.error());
  if (!Snapshot)
    return Unexpected(Snapshot.error());
  Result.Heartbeat = *Heartbeat;
  Result.Snapshot = *Snapshot;
  return Result;
}

//! Moves Count random entries to the front.
template <typename Item>
void drawFront(std::vector<Item> &Items, std::size_t Count,
               RandomEngine &Random) {
  for (std::size_t Place = 0; Place < Count; ++Place)
    std::swap(Items[Place],
              Items[Place + randomBelow(Random, Items.size() - Place)]);
}

} // namespace

Bytes encodeHeartbeat(const PeerHeartbeat &Message) {
  Json Others = Json::array();
  for (const Peer &Other : Message.Others)
    Others.push_back(encodePeer(Other));
  const Json Encoded{{"sender", encodePeer(Message.Sender)},
                     {"others", std::move(Others)}};
  return encodeCbor(Encoded);
}

Expected<PeerHeartbeat> decodeHeartbeat(ByteView Data,
                                        const std::string &Source) {
  const std::string Step = "receive heartbeat";
  const auto Document = decodeCbor(Data, Step, Source);
  if (!Document)
    return Unexpected(Document.error());
  if (!Document->is_object() || !Document->contains("sender"))
    return Unexpected(Error{.Code = ErrorCode::Invalid,
                            .Step = Step,
                            .Peer = Source,
                            .Message = "no sender"});
  auto Sender = decodePeer((*Document)["sender"], Step, Source);
  if (!Sender)
    return Unexpected(Sender.error());
  FieldReader Fields(*Document, Step, Source);
  const Json *Others = Fields.array("others", MaxOthers);
  if (Fields.failed())
    return Unexpected(Fields.error());
  PeerHeartbeat Message{.Sender = std::move(*Sender)};
  for (const Json &Value : *Others) {
    auto Other = decodePeer(Value, Step, Source);
    if (!Other)
      return Unexpected(Other.error());
    Message.Others.push_back(std::move(*Other));
  }
  return Message;
}

PeerDirectory::PeerDirectory(Peer Self, std::vector<UdpEndpoint> Seeds)
    : Self(std::move(Self)), Seeds(std::move(Seeds)) {
  std::erase(this->Seeds, this->Self.Heartbeat);
}

void PeerDirectory::add(const Peer &Known, bool Direct, TimePoint Now) {
  if (Known.Name == Self.Name)
    return;
  Entry &Place = Peers[Known.Name.value()];
  // What a host says of itself counts for more than what others remember.
  if (Direct || Place.HeardAt == TimePoint{})
    Place.Value = Known;
  if (Direct)
    Place.HeardAt = Now;
  Place.NamedAt = Now;
}

bool PeerDirectory::update(const PeerHeartbeat &Message, TimePoint Now) {
  const bool Unknown = !Peers.contains(Message.Sender.Name.value()) &&
                       Message.Sender.Name != Self.Name;
  add(Message.Sender, /*Direct=*/true, Now);
  for (const Peer &Other : Message.Others)
    if (Other.Domain == Self.Domain)
      add(Other, /*Direct=*/false, Now);
  return Unknown;
}

std::vector<const PeerDirectory::Entry *>
PeerDirectory::peersOf(const FailureDomainName &Domain) const {
  std::vector<const Entry *> Result;
  for (const auto &[Name, Known] : Peers)
    if (Known.Value.Domain == Domain)
      Result.push_back(&Known);
  return Result;
}

PeerHeartbeat PeerDirectory::heartbeatFor(const FailureDomainName &Domain,
                                          TimePoint Now,
                                          RandomEngine &Random) const {
  std::vector<const Entry *> Fresh = peersOf(Domain);
  std::erase_if(Fresh, [&](const Entry *Known) {
    return Now - Known->HeardAt > FreshTime;
  });
  const std::size_t Count = std::min(MaxOthers, Fresh.size());
  drawFront(Fresh, Count, Random);
  PeerHeartbeat Message{.Sender = Self};
  for (std::size_t Index = 0; Index < Count; ++Index)
    Message.Others.push_back(Fresh[Index]->Value);
  return Message;
}

std::vector<UdpEndpoint>
PeerDirectory::heartbeatReceivers(TimePoint Now, RandomEngine &Random) const {
  const std::vector<const Entry *> Own = peersOf(Self.Domain);
  const bool Lonely =
      std::none_of(Own.begin(), Own.end(), [&](const Entry *Known) {
        return Known->HeardAt != TimePoint{} &&
               Now - Known->HeardAt < LonelyTime;
      });
  std::vector<UdpEndpoint> Result;
  if (Lonely)
    Result = Seeds;
  if (!Own.empty())
    Result.push_back(Own[randomBelow(Random, Own.size())]->Value.Heartbeat);
  return Result;
}

std::optional<Peer> PeerDirectory::randomPeer(RandomEngine &Random) const {
  const std::vector<const Entry *> Own = peersOf(Self.Domain);
  if (Own.empty())
    return std::nullopt;
  return Own[randomBelow(Random, Own.size())]->Value;
}

void PeerDirectory::removeStale(TimePoint Now) {
  boost::unordered::erase_if(Peers, [&](const auto &Item) {
    return Now - Item.second.NamedAt > ForgetTime;
  });
}

} // namespace buckthorndeck::forwarding
