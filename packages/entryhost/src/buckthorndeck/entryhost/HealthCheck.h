#ifndef BUCKTHORNDECK_ENTRYHOST_HEALTHCHECK_H
#define BUCKTHORNDECK_ENTRYHOST_HEALTHCHECK_H

#include "buckthorndeck/forwarding/ServerDirectory.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <optional>

namespace buckthorndeck::entryhost {

/**
 * Checks by TCP connections whether a server can be reached.
 *
 * Most servers answer the first attempt. After a timeout a second attempt runs
 * at the same time as one to Reference, another server. If both time out, or
 * the timer fires late, the fault may be on this host, and the outcome is
 * inconclusive.
 */
Task<forwarding::HealthCheckOutcome>
checkHealth(TcpEndpoint Target, std::optional<TcpEndpoint> Reference);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_HEALTHCHECK_H
