#ifndef BUCKTHORNDECK_FORWARDING_ELIGIBILITY_H
#define BUCKTHORNDECK_FORWARDING_ELIGIBILITY_H

#include "buckthorndeck/forwarding/PacketRefusal.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

#include <cstdint>

namespace buckthorndeck::forwarding {

//! Why a server must not get a new flow, whatever this host believes of its
//! health. A later one takes precedence as the reason of a refusal: it is the
//! one without which a server could have been used.
enum class Ineligibility : std::uint8_t {
  None,
  Evacuated,   //!< Its failure domain is evacuated.
  Region,      //!< The route does not allow its region.
  WarmupLimit, //!< It is cold, and this host has used its share.
  Ejected,     //!< It rejects or fails much more than its peers.
};

const char *toString(Ineligibility Reason);

//! The reason of a refusal for a flow that only ineligible servers could serve.
PacketRefusal refusalFor(Ineligibility Reason);

//! The one question that placement asks of every candidate, also as a fallback.
Ineligibility ineligibility(const Server &Candidate, TimePoint Now,
                            RegionMask AllowedRegions = AllRegions);

//! Whether Candidate is eligible, registered and reachable, and does not drain.
bool mayGetFlows(const Server &Candidate, TimePoint Now,
                 RegionMask AllowedRegions = AllRegions);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_ELIGIBILITY_H
