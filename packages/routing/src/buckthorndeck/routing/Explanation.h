#ifndef BUCKTHORNDECK_ROUTING_EXPLANATION_H
#define BUCKTHORNDECK_ROUTING_EXPLANATION_H

#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/routing/Selection.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

//! What a request would meet on this host now.
namespace buckthorndeck::routing {

struct CandidateExplanation {
  ObjectName Server;
  FailureDomainName FailureDomain;
  Ineligibility Reason = Ineligibility::None; //!< Why it gets no request.
  bool Ejected = false;
  std::uint32_t InFlight = 0; //!< Requests of this host.
  std::uint32_t Slots = 0;
  double OtherHostsLoad = 0; //!< Estimated requests of other hosts.
  double ServiceTimeMs = 0;
  double SlowStartShare = 0; //!< Share of its full traffic, up to 1.
  double Score = 0;          //!< The lowest one wins.
};

enum class ArrivalAction : std::uint8_t { Sent, Waits, Refused };

//! "sent", "waits" or "refused".
const char *toString(ArrivalAction Action);

struct Explanation {
  ArrivalAction Action = ArrivalAction::Refused;
  std::string Reason; //!< Why it waits or is refused.
  std::optional<ObjectName> Server;
  config::Objective Goal = config::Objective::Continuity;
  std::uint32_t InFlight = 0; //!< Of the service, from this host.
  std::uint32_t MaxInFlight = 0;
  std::size_t Queued = 0;
  std::uint32_t MaxQueued = 0;
  std::vector<CandidateExplanation> Candidates;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_EXPLANATION_H
