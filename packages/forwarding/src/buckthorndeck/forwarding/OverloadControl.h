#ifndef BUCKTHORNDECK_FORWARDING_OVERLOADCONTROL_H
#define BUCKTHORNDECK_FORWARDING_OVERLOADCONTROL_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/forwarding/RouteTable.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

#include <map>
#include <span>

namespace buckthorndeck::forwarding {

//! What this host knows of the load of a service in one failure domain.
struct DomainLoad {
  FailureDomainName Domain;
  double RecentMs = 0; //!< Geometric moving average of response times.
  TimePoint SampledAt; //!< Last response.
  //! Of the servers that may get new flows, as of the last refresh.
  double Slots = 0;
  double Servers = 0;
  double SpillWeight = 0; //!< Share of the flows that leave the own domain.
};

//! What this host knows of the load of a service that has a route with a
//! target latency.
struct ServiceLoad {
  std::vector<RoutePriority> Priorities; //!< Of its routes, lowest rank first.
  Milliseconds Timeout{0}; //!< Shortest of its routes; 0 if none states one.
  double UnloadedMs = 0;   //!< Typical response time while nothing queues.
  std::uint64_t Samples = 0;
  std::vector<DomainLoad> Domains;
  //! Some server queues: new flows may spill over or be refused.
  bool Queueing = false;
  double SpillShare = 0; //!< Of new flows, to other failure domains.
  //! How full the queues of the least loaded domain are: 0 is idle, 1 full.
  double Pressure = 0;
  //! Sum of the refused shares of all priorities.
  double ShedLevel = 0;
  bool Overloaded = false;
  TimePoint RefreshedAt;
  TimePoint ConditionSince;  //!< When the condition to start or end began.
  TimePoint StartedAt;       //!< Of the overload.
  std::uint64_t Refused = 0; //!< Since StartedAt.
  std::uint64_t Offered = 0; //!< Since StartedAt.
};

//! What overload control asks of the placement of a new flow.
struct LoadDecision {
  bool Refuse = false;
  //! Failure domain whose servers come first; null: as without overload.
  const FailureDomainName *SpillTo = nullptr;
  //! Server with spare capacity that comes first; null: none.
  const Server *Spare = nullptr;
};

//! Numbers of flows for the metrics.
struct OverloadCounters {
  std::map<RoutePriority, std::uint64_t> RefusedByPriority;
  std::uint64_t FlowsSpilled = 0;
};

/**
 * Decides which new flows go to other failure domains and which are refused,
 * from the response times that this host observes.
 *
 * It does nothing for routes without a target latency and while no failure
 * domain of the service queues. See docs/design/overload.md.
 */
class OverloadControl {
public:
  explicit OverloadControl(FailureDomainName OwnDomain,
                           std::uint64_t RandomSeed = 1);

  //! Adopts the services and priorities of the routes in force.
  void setRoutes(const RouteTable &Routes);
  //! A response of Target arrived after Time. A response that looks rejected
  //! counts as one from a full queue.
  void recordResponse(Server &Target, Clock::duration Time, TimePoint Now,
                      bool Rejected = false);
  //! Decides on a new flow of the route to Service.
  LoadDecision decide(const Route &Matched, const ServiceName &Service,
                      std::span<Server *const> Servers, TimePoint Now,
                      RegionMask AllowedRegions = AllRegions);
  //! Present response time of the servers in Target's failure domain; 0 if it
  //! is unknown or no route with a target latency has its service.
  double peerMs(const Server &Target, TimePoint Now) const;
  //! Counts a flow that was placed after decide() returned Decision.
  void recordPlacement(const LoadDecision &Decision, const Server &Chosen);

  const OverloadCounters &counters() const { return Counters; }
  //! Null if no route with a target latency has the service.
  const ServiceLoad *loadOf(const ServiceName &Service) const;

private:
  FailureDomainName OwnDomain;
  boost::unordered_flat_map<std::string, ServiceLoad> Services;
  OverloadCounters Counters;
  RandomEngine Random;
  double ReleasePace; //!< Random part of the speed at which shedding ends.
};

//! Expected time until one more request is finished: recent responses, or the
//! unloaded time if there are none.
double expectedMs(const DomainLoad &Domain, const ServiceLoad &Service,
                  TimePoint Now);

//! How full the queues of a failure domain are, 0 to 1.
double pressureOf(const DomainLoad &Domain, const ServiceLoad &Service,
                  TimePoint Now);

//! Share of the new flows with Priority to refuse.
double refusedShare(const ServiceLoad &Service, RoutePriority Priority);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_OVERLOADCONTROL_H
