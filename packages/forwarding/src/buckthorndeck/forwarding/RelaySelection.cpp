#include "buckthorndeck/forwarding/RelaySelection.h"

#include "buckthorndeck/base/Hash.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

namespace {

//! Relays watch the store with shorter waits than other hosts, so that in a
//! smaller failure domain they would make more calls than they save.
constexpr std::size_t MinDomainHosts = 8;
//! Bounds what a relay sends. A failure domain of 73 hosts has two levels below
//! its root.
constexpr std::size_t MaxFollowers = 8;
//! Time for which a relay that failed is not asked again.
constexpr Milliseconds FailedRelayTime{3000};

bool comesBefore(const Peer &First, const Peer &Second) {
  if (First.ProcessorPermille != Second.ProcessorPermille)
    return First.ProcessorPermille > Second.ProcessorPermille;
  const auto ScoreOf = [](const Peer &Host) {
    return rendezvousScore(Host.Domain.value(), Host.Name.value());
  };
  return ScoreOf(First) > ScoreOf(Second);
}

} // namespace

bool RelaySelection::hasRelays() const {
  return Known.domainPeers().size() + 1 >= MinDomainHosts;
}

bool RelaySelection::isRoot() const {
  const std::vector<const Peer *> Others = Known.domainPeers();
  return std::none_of(Others.begin(), Others.end(), [&](const Peer *Other) {
    return comesBefore(*Other, Known.self());
  });
}

bool RelaySelection::hasFailed(const Peer &Candidate, TimePoint Now) const {
  const auto Found = FailedUntil.find(Candidate.Name.value());
  return Found != FailedUntil.end() && Now < Found->second;
}

std::optional<Peer> RelaySelection::choose(TimePoint Now) const {
  if (!hasRelays())
    return std::nullopt;
  std::vector<const Peer *> Earlier = Known.domainPeers();
  std::erase_if(Earlier, [&](const Peer *Host) {
    return !comesBefore(*Host, Known.self()) || hasFailed(*Host, Now);
  });
  if (Earlier.empty())
    return std::nullopt;
  const auto Parent =
      Earlier.begin() +
      static_cast<std::ptrdiff_t>((Earlier.size() - 1) / MaxFollowers);
  std::nth_element(Earlier.begin(), Parent, Earlier.end(),
                   [](const Peer *First, const Peer *Second) {
                     return comesBefore(*First, *Second);
                   });
  return **Parent;
}

void RelaySelection::markFailed(const EntryHostName &Relay, TimePoint Now) {
  boost::unordered::erase_if(FailedUntil, [&](const auto &NameAndEnd) {
    return NameAndEnd.second <= Now;
  });
  FailedUntil[Relay.value()] = Now + FailedRelayTime;
}

} // namespace buckthorndeck::forwarding
