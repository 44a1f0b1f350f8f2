#ifndef BUCKTHORNDECK_ROUTING_SERVERHEALTH_H
#define BUCKTHORNDECK_ROUTING_SERVERHEALTH_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/Task.h"

#include <cstdint>
#include <span>
#include <vector>

namespace buckthorndeck::routing {

//! Failures in a row of one backend server.
struct ServerHealth {
  std::uint32_t ConsecutiveFailures = 0;
  std::uint32_t Ejections = 0; //!< In a row, without a success between.
  TimePoint UnhealthyUntil;
};

void recordSuccess(ServerHealth &Health, TimePoint Now);

//! Returns true if this failure made the server unhealthy. Its time doubles
//! with each ejection in a row.
bool recordFailure(ServerHealth &Health, TimePoint Now, RandomEngine &Random);

/**
 * Which servers of a service get no request because they look unhealthy.
 *
 * At most a third. If more than half look unhealthy, the cause is more likely
 * on this side or in the requests, and no server is ejected.
 */
std::vector<bool> ejectedServers(std::span<const ServerHealth *const> Servers,
                                 TimePoint Now);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_SERVERHEALTH_H
