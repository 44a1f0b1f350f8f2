#ifndef BUCKTHORNDECK_FORWARDING_PLACEMENT_H
#define BUCKTHORNDECK_FORWARDING_PLACEMENT_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

#include <span>

namespace buckthorndeck::forwarding {

//! What the choice of a server for a new flow depends on besides the servers.
struct PlacementContext {
  FailureDomainName Domain;           //!< Of this host.
  std::size_t DomainCount = 1;        //!< Failure domains of the deployment.
  std::span<const ServerToken> Tried; //!< Servers that this flow was sent to.
  TimePoint Now;
};

//! Why a server was chosen, for the log.
enum class PlacementReason {
  OwnDomain,    //!< Own failure domain, which has room.
  AnyDomain,    //!< Too few usable servers in the own failure domain.
  Unhealthy,    //!< Only servers are left that fail their health check.
  LatelyGone,   //!< Only servers are left whose registry entry just vanished.
  Unresponsive, //!< Only servers are left that did not answer lately.
  NoServer,     //!< None is left.
};

const char *toString(PlacementReason Reason);

struct Placement {
  Server *Chosen = nullptr; //!< Null only with NoServer.
  PlacementReason Reason = PlacementReason::NoServer;
};

/**
 * Chooses the server that gets a new flow.
 *
 * Servers of the own failure domain come first: traffic between domains has a
 * price, and flows that stay inside survive a partition. A domain that has lost
 * servers keeps as many flows as it has slots for and passes the others on to
 * all domains. Among the candidates
 * the one with the least expected work wins: open flows by observed response
 * time and slots, more during a slow start.
 */
Placement placeFlow(std::span<Server *const> Servers,
                    const PlacementContext &Context, RandomEngine &Random);

//! Expected work of one more flow; lower is better.
double placementCost(const Server &Candidate, TimePoint Now);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_PLACEMENT_H
