#include "buckthorndeck/forwarding/DomainView.h"

#include <algorithm>
#include <iterator>

namespace buckthorndeck::forwarding {

namespace {

//! New peers within QuietTime that a steady view tolerates: one host that joins
//! at a time, and the peers that gossip loses and finds again in a large
//! domain.
constexpr std::size_t MinToleratedPeers = 2;
constexpr std::size_t HostsPerToleratedPeer = 32;
//! Lost peers count if they are more than this part of all. The hosts of so
//! small a part send little themselves, as they have lost the others.
constexpr std::size_t IgnoredLossDivisor = 8;

} // namespace

bool DomainView::update(std::vector<std::string> PeerNames, bool HeardAny,
                        TimePoint Now) {
  Heard = Heard || HeardAny;
  while (!Discoveries.empty() && Now - Discoveries.front() > QuietTime)
    Discoveries.pop_front();
  bool Changed = std::erase_if(Lost, [&](const auto &Each) {
                   return Now - Each.second > LostPeerLifetime;
                 }) > 0;
  std::sort(PeerNames.begin(), PeerNames.end());
  if (PeerNames == Peers)
    return Changed;
  std::vector<std::string> Gone;
  std::set_difference(Peers.begin(), Peers.end(), PeerNames.begin(),
                      PeerNames.end(), std::back_inserter(Gone));
  for (const std::string &Name : Gone)
    Lost[Name] = Now;
  for (const std::string &Name : PeerNames) {
    Lost.erase(Name);
    if (!std::binary_search(Peers.begin(), Peers.end(), Name))
      Discoveries.push_back(Now);
  }
  Peers = std::move(PeerNames);
  return true;
}

bool DomainView::isSteady(TimePoint Now) const {
  if (StartedAt == TimePoint::max() || Now - StartedAt < MinUptime ||
      (HasSeeds && !Heard))
    return false;
  const auto Recent =
      std::count_if(Discoveries.begin(), Discoveries.end(),
                    [&](TimePoint At) { return Now - At <= QuietTime; });
  return static_cast<std::size_t>(Recent) <=
         std::max(MinToleratedPeers, size() / HostsPerToleratedPeer);
}

double DomainView::remainingShare() const {
  const std::size_t All = size() + Lost.size();
  if (Lost.size() * IgnoredLossDivisor <= All)
    return 1;
  return static_cast<double>(size()) / static_cast<double>(All);
}

} // namespace buckthorndeck::forwarding
