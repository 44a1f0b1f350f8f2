#include "buckthorndeck/forwarding/RouteTable.h"

namespace buckthorndeck::forwarding {

bool RouteTable::apply(RouteSet Next) {
  if (Next.Version <= Version)
    return false;
  Version = Next.Version;
  IdleTimeout = Next.IdleTimeout;
  HealthRules = std::move(Next.HealthRules);
  for (auto &[Address, Known] : Routes)
    Known.Removed = true;
  for (Route &Added : Next.Routes) {
    const SocketAddress Address = Added.Address;
    Routes[Address] = Entry{.Value = std::move(Added)};
  }
  return true;
}

const Route *RouteTable::find(const SocketAddress &Address) const {
  const auto Found = Routes.find(Address);
  if (Found == Routes.end() || Found->second.Removed)
    return nullptr;
  return &Found->second.Value;
}

bool RouteTable::isRemoved(const SocketAddress &Address) const {
  const auto Found = Routes.find(Address);
  return Found != Routes.end() && Found->second.Removed;
}

const ServiceName &serviceOf(const Route &Entry, const FlowKey &Flow) {
  std::uint64_t Sum = 0;
  for (const WeightedService &Choice : Entry.Services)
    Sum += Choice.Weight;
  std::uint64_t Point = hashOf(Flow) % Sum;
  for (const WeightedService &Choice : Entry.Services) {
    if (Point < Choice.Weight)
      return Choice.Service;
    Point -= Choice.Weight;
  }
  return Entry.Services.back().Service;
}

} // namespace buckthorndeck::forwarding
