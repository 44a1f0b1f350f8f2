#ifndef BUCKTHORNDECK_FORWARDING_ROUTETABLE_H
#define BUCKTHORNDECK_FORWARDING_ROUTETABLE_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/forwarding/Packet.h"
#include "buckthorndeck/net/Task.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <string>
#include <vector>

namespace buckthorndeck::forwarding {

using ServiceName = StrongType<struct ServiceNameTag, std::string>;

//! A service that gets Weight of the sum of all weights of a route's new flows.
struct WeightedService {
  ServiceName Service;
  std::uint32_t Weight = 1;
};

//! Where new flows to one service address go.
struct Route {
  SocketAddress Address;
  std::vector<WeightedService> Services; //!< At least one; weights above 0.
};

//! How a service's servers are asked for their health.
struct HealthRule {
  ServiceName Service;
  std::string Path; //!< Of an HTTP GET.
};

//! A complete, checked configuration of the packet path.
struct RouteSet {
  ConfigVersion Version;
  std::vector<Route> Routes;
  std::vector<HealthRule> HealthRules;
  Milliseconds IdleTimeout{15000}; //!< After it a flow may be forgotten.
};

/**
 * The routes in force. Versions only rise within the life of a process.
 */
class RouteTable {
public:
  //! Puts Next into force and returns true, unless its version is not higher.
  bool apply(RouteSet Next);

  ConfigVersion version() const { return Version; }
  const std::vector<HealthRule> &healthRules() const { return HealthRules; }
  Milliseconds idleTimeout() const { return IdleTimeout; }
  std::size_t size() const { return Routes.size(); }

  //! Null if there is no route.
  const Route *find(const SocketAddress &Address) const;
  //! Whether an earlier version had a route that the one in force has not.
  //! False for an address that no version ever had: another host may know a
  //! newer version.
  bool isRemoved(const SocketAddress &Address) const;

  //! Calls Visit with each route in force.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Address, Known] : Routes)
      if (!Known.Removed)
        Visit(Known.Value);
  }

private:
  struct Entry {
    Route Value;
    bool Removed = false;
  };

  ConfigVersion Version;
  Milliseconds IdleTimeout{15000};
  std::vector<HealthRule> HealthRules;
  boost::unordered_flat_map<SocketAddress, Entry, SocketAddressHash> Routes;
};

//! The service that gets the flow. The choice follows the weights and depends
//! on the flow only, so that copies of its first packet go to one service on
//! every host.
const ServiceName &serviceOf(const Route &Entry, const FlowKey &Flow);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_ROUTETABLE_H
