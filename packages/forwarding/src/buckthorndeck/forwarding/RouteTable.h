#ifndef BUCKTHORNDECK_FORWARDING_ROUTETABLE_H
#define BUCKTHORNDECK_FORWARDING_ROUTETABLE_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/forwarding/Packet.h"
#include "buckthorndeck/net/Task.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::forwarding {

using ServiceName = StrongType<struct ServiceNameTag, std::string>;

//! A service of a route. Its share of the new flows is Weight divided by the
//! sum of the route's weights.
struct WeightedService {
  ServiceName Service;
  std::uint32_t Weight = 1;
};

//! Rank of a route's flows in overload; 0 is the highest.
using RoutePriority = StrongType<struct RoutePriorityTag, std::uint32_t>;

//! Services that new flows to one address may go to.
struct Route {
  SocketAddress Address;
  std::vector<WeightedService> Services; //!< At least one; weights above 0.
  Milliseconds Timeout{0};       //!< Longest time of a request; 0 if unknown.
  Milliseconds TargetLatency{0}; //!< 0 if the route states none.
  RoutePriority Priority;
  //! Regions whose servers may get the flows; empty: all.
  std::vector<RegionName> AllowedRegions;
};

//! How long a server is cold after its start, and what it bears while it is.
struct WarmupRule {
  Milliseconds Duration{0};
  double RequestsPerSecond = 0; //!< 0: no limit.
};

//! What the servers of a service have in common.
struct ServiceRule {
  ServiceName Service;
  std::string Path; //!< Path of an HTTP GET that checks a server.
  WarmupRule Warmup;
  std::uint32_t MaxConnections = 0; //!< Of one server; 0 if unknown.
};

//! A complete, validated configuration of the packet path.
struct RouteSet {
  ConfigVersion Version;
  std::vector<Route> Routes;
  std::vector<ServiceRule> ServiceRules;
  Milliseconds IdleTimeout{15000}; //!< Idle flows are removed after this.
};

/**
 * The routes in force. The version only increases during the life of a process.
 */
class RouteTable {
public:
  //! Puts Next into force and returns true, unless its version is not higher.
  //! The version in force was the newest one at least until CurrentUntil.
  bool apply(RouteSet Next, TimePoint CurrentUntil);

  ConfigVersion version() const { return Version; }
  const std::vector<ServiceRule> &serviceRules() const { return ServiceRules; }
  Milliseconds idleTimeout() const { return IdleTimeout; }
  std::size_t size() const { return Routes.size(); }

  //! Null if there is no route.
  const Route *find(const SocketAddress &Address) const;
  //! Until when the route to Address surely was part of the newest version, if
  //! a later version removed it. No value if there is a route, or if no version
  //! had one: another host may have a newer configuration.
  std::optional<TimePoint> removedAfter(const SocketAddress &Address) const;

  //! Calls Visit with each route in force.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Address, Stored] : Routes)
      if (!Stored.Removed)
        Visit(Stored.Definition);
  }

private:
  struct StoredRoute {
    Route Definition;
    bool Removed = false;
    TimePoint RemovedAfter;
  };

  ConfigVersion Version;
  Milliseconds IdleTimeout{15000};
  std::vector<ServiceRule> ServiceRules;
  boost::unordered_flat_map<SocketAddress, StoredRoute, SocketAddressHash>
      Routes;
};

//! The service that gets the flow. It is chosen by weight and depends only on
//! the flow, so that all hosts send copies of a SYN to the same service.
const ServiceName &serviceOf(const Route &Matched, const FlowKey &Flow);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_ROUTETABLE_H
