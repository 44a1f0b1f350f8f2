#ifndef BUCKTHORNDECK_FORWARDING_PLACEMENT_H
#define BUCKTHORNDECK_FORWARDING_PLACEMENT_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/forwarding/Eligibility.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

#include <span>

namespace buckthorndeck::forwarding {

//! Inputs of the placement of a new flow other than the servers.
struct PlacementContext {
  FailureDomainName Domain;    //!< Of this host.
  std::size_t DomainCount = 1; //!< Failure domains of the deployment.
  //! Servers that the flow's SYN was already sent to.
  std::span<const ServerToken> Tried;
  TimePoint Now;
  //! Overload control: the failure domain or the server that comes first; null
  //! if there is none.
  const FailureDomainName *SpillTo = nullptr;
  const Server *Spare = nullptr;
  //! The pace of a cold server is found from its responses.
  bool AdaptiveSlowStart = false;
  RegionMask AllowedRegions = AllRegions;
};

//! Why a server was chosen; appears in the log.
enum class PlacementReason {
  OwnDomain,       //!< In this host's failure domain.
  AnyDomain,       //!< Too few usable servers in this host's failure domain.
  Unhealthy,       //!< Fallback: it fails its health checks.
  RecentlyRemoved, //!< Second fallback: its registry entry was just removed.
  Unresponsive,    //!< Last fallback: it stopped answering.
  NoServer,        //!< No server is left.
};

const char *toString(PlacementReason Reason);

struct Placement {
  Server *Chosen = nullptr; //!< Null only with NoServer.
  PlacementReason Reason = PlacementReason::NoServer;
  //! Why an otherwise usable server that was considered got no flow.
  Ineligibility Excluded = Ineligibility::None;
};

/**
 * Chooses the server that gets a new flow.
 *
 * Servers of this host's failure domain come first, since traffic between
 * domains is charged and flows within a domain survive a partition. A domain
 * that has lost servers keeps as many new flows as its slots allow; the others
 * may go to any domain. Among the candidates, the server with the lowest
 * placementCost() gets the flow. Ineligible servers never get it, not even as a
 * fallback.
 */
Placement placeFlow(std::span<Server *const> Servers,
                    const PlacementContext &Context, RandomEngine &Random);

//! Cost of one more flow: established flows, weighted by the observed response
//! time and divided by slots, with a higher weight during slow start and
//! suspicion. UnknownResponseMs is assumed before the first response.
double placementCost(const Server &Candidate, double UnknownResponseMs,
                     TimePoint Now, bool AdaptiveSlowStart = false);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_PLACEMENT_H
