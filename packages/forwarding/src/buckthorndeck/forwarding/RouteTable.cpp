#include "buckthorndeck/forwarding/RouteTable.h"

#include <utility>

namespace buckthorndeck::forwarding {

bool RouteTable::apply(RouteSet Next, TimePoint CurrentUntil) {
  if (Next.Version <= Version)
    return false;
  Version = Next.Version;
  IdleTimeout = Next.IdleTimeout;
  ServiceRules = std::move(Next.ServiceRules);
  for (auto &[Address, Stored] : Routes)
    if (!std::exchange(Stored.Removed, true))
      Stored.RemovedAfter = CurrentUntil;
  for (Route &Added : Next.Routes) {
    const SocketAddress Address = Added.Address;
    Routes[Address] = StoredRoute{.Definition = std::move(Added)};
  }
  return true;
}

const Route *RouteTable::find(const SocketAddress &Address) const {
  const auto Found = Routes.find(Address);
  if (Found == Routes.end() || Found->second.Removed)
    return nullptr;
  return &Found->second.Definition;
}

std::optional<TimePoint>
RouteTable::removedAfter(const SocketAddress &Address) const {
  const auto Found = Routes.find(Address);
  if (Found == Routes.end() || !Found->second.Removed)
    return std::nullopt;
  return Found->second.RemovedAfter;
}

const ServiceName &serviceOf(const Route &Matched, const FlowKey &Flow) {
  std::uint64_t WeightSum = 0;
  for (const WeightedService &Candidate : Matched.Services)
    WeightSum += Candidate.Weight;
  std::uint64_t Remaining = hashOf(Flow) % WeightSum;
  for (const WeightedService &Candidate : Matched.Services) {
    if (Remaining < Candidate.Weight)
      return Candidate.Service;
    Remaining -= Candidate.Weight;
  }
  return Matched.Services.back().Service;
}

} // namespace buckthorndeck::forwarding
