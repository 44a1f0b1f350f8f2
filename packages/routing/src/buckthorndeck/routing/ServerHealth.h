#ifndef BUCKTHORNDECK_ROUTING_SERVERHEALTH_H
#define BUCKTHORNDECK_ROUTING_SERVERHEALTH_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/Task.h"

#include <cstdint>
#include <span>
#include <vector>

namespace buckthorndeck::routing {

//! Consecutive failures and ejections of one backend server.
struct ServerHealth {
  std::uint32_t ConsecutiveFailures = 0;
  //! Consecutive ejections without a success between.
  std::uint32_t Ejections = 0;
  TimePoint UnhealthyUntil;
};

void recordSuccess(ServerHealth &Health, TimePoint Now);

//! Returns true if this failure made the server unhealthy. The unhealthy time
//! starts at 2 s and doubles with each consecutive ejection, up to 32 s, with a
//! jitter of 25 %.
bool recordFailure(ServerHealth &Health, TimePoint Now, RandomEngine &Random);

/**
 * Which servers of a service get no requests because they are unhealthy.
 *
 * At most a third of the servers is ejected. If more than half are unhealthy,
 * the cause is more likely this host or the requests, and no server is ejected.
 */
std::vector<bool> ejectedServers(std::span<const ServerHealth *const> Servers,
                                 TimePoint Now);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_SERVERHEALTH_H
