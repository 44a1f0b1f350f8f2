#ifndef BUCKTHORNDECK_ROUTING_SELECTION_H
#define BUCKTHORNDECK_ROUTING_SELECTION_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/routing/ServerLoad.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace buckthorndeck::routing {

//! One server of a service, as input to the selection.
struct Candidate {
  const ServerLoad *Load = nullptr;
  bool Ejected = false;
};

//! Why a server gets no request now.
enum class Ineligibility : std::uint8_t {
  None,
  Evacuated,
  NotConnected,
  Draining,
  Ejected,
  SlotsFull,
  BackingOff,
};

const char *toString(Ineligibility Reason);

//! Why no request may be sent to the server now. Of several reasons the first
//! one in the order of the enumeration.
Ineligibility ineligibility(const Candidate &Server, TimePoint Now);

//! Whether a request may be sent to the server now.
bool isEligible(const Candidate &Server, TimePoint Now);

/**
 * Score of a server for the next request; the lowest score wins.
 *
 * The score is the sum, in ms, of the service time per slot that this host used
 * recently and of the expected time until one more request is finished, divided
 * by the slow start share. The first part makes each host spread its requests
 * in proportion to the servers' speeds, although a host sees only its own
 * requests. The second part avoids servers that are full now.
 */
double score(const ServerLoad &Load, TimePoint Now);

/**
 * Index of the server that gets the next request; none if no server is
 * eligible.
 *
 * Preferred is the index of the affinity server. With objective Continuity it
 * is chosen while it is eligible, otherwise the better of two random servers.
 * With objective Balance all eligible servers are compared and Preferred is
 * ignored.
 */
std::optional<std::size_t> chooseServer(std::span<const Candidate> Servers,
                                        config::Objective Goal,
                                        std::optional<std::size_t> Preferred,
                                        TimePoint Now, RandomEngine &Random);

//! Mean of usagePerSlot() over the connected servers that are not evacuated; 0
//! if there are none. The usage of evacuated servers decays although the load
//! of the service does not.
double meanUsagePerSlot(std::span<const Candidate> Servers, TimePoint Now);

//! Mean service time in ms of the connected servers that have answered; 0 if
//! none.
double meanServiceTime(std::span<const Candidate> Servers);

//! When a waiting request should try again if no server changes before: at the
//! end of the first back-off, at most 100 ms from now.
TimePoint nextAttemptTime(std::span<const Candidate> Servers, TimePoint Now);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_SELECTION_H
