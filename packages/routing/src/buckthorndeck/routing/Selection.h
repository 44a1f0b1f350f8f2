#ifndef BUCKTHORNDECK_ROUTING_SELECTION_H
#define BUCKTHORNDECK_ROUTING_SELECTION_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/routing/ServerLoad.h"

#include <cstddef>
#include <optional>
#include <span>

namespace buckthorndeck::routing {

//! A server of one service, as the choice sees it.
struct Candidate {
  const ServerLoad *Load = nullptr;
  bool Ejected = false;
};

//! Whether a request may be sent to the server now.
bool isEligible(const Candidate &Server, TimePoint Now);

/**
 * Lower is better.
 *
 * The sum of the service time that this host used per slot lately and of the
 * expected time until one more request is finished. The first part makes hosts
 * spread their requests in proportion to the servers' speeds although each
 * sees only its own; the second part avoids servers that are full now.
 */
double score(const ServerLoad &Load, TimePoint Now);

/**
 * Index of the server that gets the next request; none if no server is
 * eligible.
 *
 * Preferred is the index of the affinity server. Continuity takes it while it
 * is eligible and otherwise the better of two random servers. Balance compares
 * all servers and ignores the affinity.
 */
std::optional<std::size_t> chooseServer(std::span<const Candidate> Servers,
                                        config::Objective Goal,
                                        std::optional<std::size_t> Preferred,
                                        TimePoint Now, RandomEngine &Random);

//! Mean of usagePerSlot() over the connected servers; 0 if there are none.
double meanUsagePerSlot(std::span<const Candidate> Servers, TimePoint Now);

//! Mean service time in ms of the connected servers that answered; 0 if none.
double meanServiceTime(std::span<const Candidate> Servers);

//! When a waiting request should be tried again although nothing changed.
TimePoint nextAttemptTime(std::span<const Candidate> Servers, TimePoint Now);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_SELECTION_H
