#include "buckthorndeck/forwarding/Peers.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/forwarding/Limits.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

namespace {

constexpr std::size_t MaxAddressBytes = 21;
//! Peers listed in a heartbeat, which keeps it below 1 KB.
constexpr std::size_t MaxKnownPeers = 4;
//! Evacuated failure domains listed in a heartbeat. A datagram must not exceed
//! the receive buffer of 2048 bytes, of which peers take up to 1 KB.
constexpr std::size_t MaxListedEvacuations = 32;
constexpr std::size_t MaxListedEvacuationBytes = 600;
//! Heartbeats list only peers that sent a heartbeat within this time.
constexpr std::chrono::seconds MaxAdvertisedAge{10};
//! A peer is kept for longer than most outages of the store or of a failure
//! domain last.
constexpr std::chrono::seconds PeerLifetime{60};
//! If no heartbeat came from the own failure domain for this time, seeds get
//! heartbeats too.
constexpr std::chrono::seconds SeedFallbackTime{5};

Json encodePeer(const Peer &Value) {
  return Json{{"name", Value.Name.value()},
              {"failure_domain", Value.Domain.value()},
              {"heartbeat", toString(Value.Heartbeat)},
              {"snapshot", toString(Value.Snapshot)},
              {"processor_permille", Value.ProcessorPermille}};
}

Expected<Peer> decodePeer(const Json &Value, const std::string &Step,
                          const std::string &Source) {
  FieldReader Fields(Value, Step, Source);
  Peer Result{.Name = EntryHostName(Fields.text("name", MaxNameBytes, 1)),
              .Domain = FailureDomainName(
                  Fields.text("failure_domain", MaxNameBytes, 1))};
  // Hosts of earlier versions don't send it.
  if (Value.is_object() && Value.contains("processor_permille"))
    Result.ProcessorPermille = static_cast<std::uint32_t>(
        Fields.number("processor_permille", UINT32_MAX));
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

Json encodeKnowledge(const RegistryKnowledge &Value) {
  Json Evacuated = Json::array();
  std::size_t Bytes = 0;
  for (const FailureDomainName &Domain : Value.Evacuated) {
    Bytes += Domain.value().size();
    if (Evacuated.size() == MaxListedEvacuations ||
        Bytes > MaxListedEvacuationBytes)
      break;
    Evacuated.push_back(Domain.value());
  }
  return Json{{"era", Value.Era.value()},
              {"config_version", Value.Config.value()},
              {"confirming", Value.Confirming},
              {"evacuated", std::move(Evacuated)}};
}

Expected<RegistryKnowledge> decodeKnowledge(const Json &Value,
                                            const std::string &Step,
                                            const std::string &Source) {
  FieldReader Fields(Value, Step, Source);
  RegistryKnowledge Result{.Era = StoreEra(Fields.number("era")),
                           .Config =
                               ConfigVersion(Fields.number("config_version")),
                           .Confirming = Fields.flag("confirming")};
  if (Fields.failed())
    return Unexpected(Fields.error());
  // Hosts of earlier versions don't send them.
  if (!Value.contains("evacuated"))
    return Result;
  const Json *Evacuated = Fields.array("evacuated", MaxListedEvacuations);
  for (const Json &Domain : Evacuated ? *Evacuated : Json::array()) {
    if (Domain.is_string() &&
        Domain.get_ref<const std::string &>().size() <= MaxNameBytes)
      Result.Evacuated.emplace_back(Domain.get<std::string>());
    else
      Fields.fail("evacuated", "an array of failure domains");
  }
  if (Fields.failed())
    return Unexpected(Fields.error());
  return Result;
}

bool contains(const std::vector<FailureDomainName> &List,
              const FailureDomainName &Domain) {
  return std::find(List.begin(), List.end(), Domain) != List.end();
}

//! Whether Theirs has an evacuation of which Own says nothing.
bool listsUnknownEvacuation(const RegistryKnowledge &Theirs,
                            const RegistryKnowledge &Own) {
  return std::any_of(Theirs.Evacuated.begin(), Theirs.Evacuated.end(),
                     [&](const FailureDomainName &Domain) {
                       return !contains(Own.Evacuated, Domain) &&
                              !contains(Own.Revoked, Domain);
                     });
}

//! Moves Count random elements to the front.
template <typename Element>
void shuffleFront(std::vector<Element> &Elements, std::size_t Count,
                  RandomEngine &Random) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    std::swap(Elements[Index],
              Elements[Index + randomBelow(Random, Elements.size() - Index)]);
}

} // namespace

Bytes encodeHeartbeat(const PeerHeartbeat &Message) {
  Json KnownPeers = Json::array();
  for (const Peer &Other : Message.KnownPeers)
    KnownPeers.push_back(encodePeer(Other));
  Json Encoded{{"sender", encodePeer(Message.Sender)},
               {"others", std::move(KnownPeers)}};
  if (Message.Knowledge)
    Encoded["knowledge"] = encodeKnowledge(*Message.Knowledge);
  return encodeCbor(Encoded);
}

Expected<PeerHeartbeat> decodeHeartbeat(ByteView Data,
                                        const std::string &Source) {
  const std::string Step = "receive heartbeat";
  const auto Document = decodeCbor(Data, Step, Source);
  if (!Document)
    return Unexpected(Document.error());
  if (!Document->is_object() || !Document->contains("sender"))
    return Unexpected(
        Error{.Code = ErrorCode::Invalid,
              .Step = Step,
              .Peer = Source,
              .Message = "the heartbeat is not a map with the field sender"});
  auto Sender = decodePeer((*Document)["sender"], Step, Source);
  if (!Sender)
    return Unexpected(Sender.error());
  FieldReader Fields(*Document, Step, Source);
  const Json *KnownPeers = Fields.array("others", MaxKnownPeers);
  if (Fields.failed())
    return Unexpected(Fields.error());
  PeerHeartbeat Message{.Sender = std::move(*Sender)};
  if (Document->contains("knowledge")) {
    const auto Knowledge =
        decodeKnowledge((*Document)["knowledge"], Step, Source);
    if (!Knowledge)
      return Unexpected(Knowledge.error());
    Message.Knowledge = *Knowledge;
  }
  for (const Json &Value : *KnownPeers) {
    auto Other = decodePeer(Value, Step, Source);
    if (!Other)
      return Unexpected(Other.error());
    Message.KnownPeers.push_back(std::move(*Other));
  }
  return Message;
}

PeerDirectory::PeerDirectory(Peer Self, std::vector<UdpEndpoint> Seeds)
    : Self(std::move(Self)), Seeds(std::move(Seeds)) {
  std::erase(this->Seeds, this->Self.Heartbeat);
}

void PeerDirectory::addOrUpdate(const Peer &Described, bool Direct,
                                TimePoint Now) {
  if (Described.Name == Self.Name)
    return;
  PeerState &State = Peers[Described.Name.value()];
  // A host's own description takes precedence over that by other hosts.
  if (Direct || State.LastHeartbeatAt == TimePoint{})
    State.Description = Described;
  if (Direct)
    State.LastHeartbeatAt = Now;
  State.LastMentionedAt = Now;
}

bool PeerDirectory::update(const PeerHeartbeat &Message, TimePoint Now) {
  const bool IsNew = !Peers.contains(Message.Sender.Name.value()) &&
                     Message.Sender.Name != Self.Name;
  addOrUpdate(Message.Sender, /*Direct=*/true, Now);
  const auto Sender = Peers.find(Message.Sender.Name.value());
  if (Sender != Peers.end())
    Sender->second.Knowledge = Message.Knowledge;
  for (const Peer &Other : Message.KnownPeers)
    if (Other.Domain == Self.Domain)
      addOrUpdate(Other, /*Direct=*/false, Now);
  return IsNew;
}

std::vector<const PeerDirectory::PeerState *>
PeerDirectory::peersOf(const FailureDomainName &Domain) const {
  std::vector<const PeerState *> Result;
  for (const auto &[Name, State] : Peers)
    if (State.Description.Domain == Domain)
      Result.push_back(&State);
  return Result;
}

PeerHeartbeat PeerDirectory::heartbeatFor(const FailureDomainName &Domain,
                                          TimePoint Now,
                                          RandomEngine &Random) const {
  std::vector<const PeerState *> Candidates = peersOf(Domain);
  std::erase_if(Candidates, [&](const PeerState *State) {
    return Now - State->LastHeartbeatAt > MaxAdvertisedAge;
  });
  const std::size_t Count = std::min(MaxKnownPeers, Candidates.size());
  shuffleFront(Candidates, Count, Random);
  PeerHeartbeat Message{.Sender = Self};
  for (std::size_t Index = 0; Index < Count; ++Index)
    Message.KnownPeers.push_back(Candidates[Index]->Description);
  return Message;
}

std::vector<UdpEndpoint>
PeerDirectory::heartbeatReceivers(TimePoint Now, RandomEngine &Random) const {
  const std::vector<const PeerState *> DomainPeers = peersOf(Self.Domain);
  const bool UseSeeds = std::none_of(
      DomainPeers.begin(), DomainPeers.end(), [&](const PeerState *State) {
        return State->LastHeartbeatAt != TimePoint{} &&
               Now - State->LastHeartbeatAt < SeedFallbackTime;
      });
  std::vector<UdpEndpoint> Result;
  if (UseSeeds)
    Result = Seeds;
  if (!DomainPeers.empty())
    Result.push_back(DomainPeers[randomBelow(Random, DomainPeers.size())]
                         ->Description.Heartbeat);
  return Result;
}

std::vector<const Peer *> PeerDirectory::domainPeers() const {
  std::vector<const Peer *> Result;
  for (const PeerState *State : peersOf(Self.Domain))
    Result.push_back(&State->Description);
  return Result;
}

std::optional<Peer> PeerDirectory::randomPeer(RandomEngine &Random) const {
  const std::vector<const PeerState *> DomainPeers = peersOf(Self.Domain);
  if (DomainPeers.empty())
    return std::nullopt;
  return DomainPeers[randomBelow(Random, DomainPeers.size())]->Description;
}

//! A peer with servers and routes whose knowledge IsWanted; one of the own
//! failure domain if there is one.
template <typename Predicate>
std::optional<Peer> PeerDirectory::findPeer(Predicate IsWanted) const {
  std::optional<Peer> Result;
  for (const auto &[Name, State] : Peers) {
    const auto &Theirs = State.Knowledge;
    const bool Loaded = Theirs && Theirs->Config != ConfigVersion();
    if (!Loaded || !IsWanted(*Theirs))
      continue;
    Result = State.Description;
    if (Result->Domain == Self.Domain)
      break;
  }
  return Result;
}

std::optional<Peer>
PeerDirectory::peerAheadOf(const RegistryKnowledge &Own) const {
  return findPeer([&](const RegistryKnowledge &Theirs) {
    return Theirs.Config > Own.Config || Theirs.Era != Own.Era ||
           Theirs.Confirming || listsUnknownEvacuation(Theirs, Own);
  });
}

std::optional<Peer>
PeerDirectory::peerWithUnknownEvacuation(const RegistryKnowledge &Own) const {
  return findPeer([&](const RegistryKnowledge &Theirs) {
    return listsUnknownEvacuation(Theirs, Own);
  });
}

void PeerDirectory::removeStale(TimePoint Now) {
  boost::unordered::erase_if(Peers, [&](const auto &NameAndState) {
    return Now - NameAndState.second.LastMentionedAt > PeerLifetime;
  });
}

} // namespace buckthorndeck::forwarding
