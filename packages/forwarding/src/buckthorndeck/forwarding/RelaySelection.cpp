#include "buckthorndeck/forwarding/RelaySelection.h"

#include "buckthorndeck/base/Hash.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

namespace {

//! Relays watch the store with shorter waits than other hosts, so that in a
//! smaller failure domain they would make more calls than they save.
constexpr std::size_t MinDomainHosts = 8;
constexpr std::size_t HostsPerRelay = 40;
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

std::size_t RelaySelection::relayCount() const {
  return 1 + (Known.domainPeers().size() + 1) / HostsPerRelay;
}

bool RelaySelection::isRelay() const {
  const std::vector<const Peer *> Others = Known.domainPeers();
  const auto Earlier = static_cast<std::size_t>(
      std::count_if(Others.begin(), Others.end(), [&](const Peer *Other) {
        return comesBefore(*Other, Known.self());
      }));
  return hasRelays() && Earlier < relayCount();
}

bool RelaySelection::hasFailed(const Peer &Candidate, TimePoint Now) const {
  const auto Found = FailedUntil.find(Candidate.Name.value());
  return Found != FailedUntil.end() && Now < Found->second;
}

std::optional<Peer> RelaySelection::choose(TimePoint Now) const {
  if (!hasRelays())
    return std::nullopt;
  std::vector<const Peer *> Hosts = Known.domainPeers();
  Hosts.push_back(&Known.self());
  std::erase_if(Hosts, [&](const Peer *Host) { return hasFailed(*Host, Now); });
  const auto RelaysEnd =
      Hosts.begin() +
      static_cast<std::ptrdiff_t>(std::min(relayCount(), Hosts.size()));
  std::partial_sort(Hosts.begin(), RelaysEnd, Hosts.end(),
                    [](const Peer *First, const Peer *Second) {
                      return comesBefore(*First, *Second);
                    });
  if (std::find(Hosts.begin(), RelaysEnd, &Known.self()) != RelaysEnd)
    return std::nullopt;
  const auto ScoreOf = [&](const Peer *Host) {
    return rendezvousScore(Known.self().Name.value(), Host->Name.value());
  };
  return **std::max_element(Hosts.begin(), RelaysEnd,
                            [&](const Peer *First, const Peer *Second) {
                              return ScoreOf(First) < ScoreOf(Second);
                            });
}

void RelaySelection::markFailed(const EntryHostName &Relay, TimePoint Now) {
  boost::unordered::erase_if(FailedUntil, [&](const auto &NameAndEnd) {
    return NameAndEnd.second <= Now;
  });
  FailedUntil[Relay.value()] = Now + FailedRelayTime;
}

} // namespace buckthorndeck::forwarding
