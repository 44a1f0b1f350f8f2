#include "buckthorndeck/forwarding/Peers.h"

#include "buckthorndeck/base/FieldReader.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

namespace {

constexpr std::size_t MaxNameBytes = 200;
constexpr std::size_t MaxAddressBytes = 21;

} // namespace

Json encodePeer(const Peer &Value) {
  return Json{{"name", Value.Name.value()},
              {"failure_domain", Value.Domain.value()},
              {"heartbeat", toString(Value.Heartbeat)},
              {"snapshot", toString(Value.Snapshot)}};
}

Expected<Peer> decodePeer(const Json &Value, const std::string &Source) {
  const std::string Step = "read peer";
  if (!Value.is_object())
    return Unexpected(Error{.Code = ErrorCode::Invalid,
                            .Step = Step,
                            .Peer = Source,
                            .Message = "not an object"});
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

void PeerDirectory::update(const Peer &Known) {
  if (Known.Name != Self.Name && Known.Domain == Self.Domain)
    Peers[Known.Name.value()] = Known;
}

void PeerDirectory::remove(const EntryHostName &Name) {
  Peers.erase(Name.value());
}

std::optional<Peer> PeerDirectory::random(RandomEngine &Engine) const {
  if (Peers.empty())
    return std::nullopt;
  const auto Index =
      static_cast<std::ptrdiff_t>(randomBelow(Engine, Peers.size()));
  return std::next(Peers.begin(), Index)->second;
}

} // namespace buckthorndeck::forwarding
