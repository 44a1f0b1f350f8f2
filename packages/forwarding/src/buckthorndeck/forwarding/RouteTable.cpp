#include "buckthorndeck/forwarding/RouteTable.h"

namespace buckthorndeck::forwarding {

bool RouteTable::apply(RouteSet Next) {
  if (Next.Version <= Version)
    return false;
  Version = Next.Version;
  IdleTimeout = Next.IdleTimeout;
  HealthRules = std::move(Next.HealthRules);
  for (auto &[Address, Stored] : Routes)
    Stored.Removed = true;
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

bool RouteTable::isRemoved(const SocketAddress &Address) const {
  const auto Found = Routes.find(Address);
  return Found != Routes.end() && Found->second.Removed;
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
