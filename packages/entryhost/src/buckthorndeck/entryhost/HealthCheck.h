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
 * inconclusive. A confirmation makes only the second attempt and leaves the
 * server four times as long as the reference server, so that two answers that
 * wait in the same queue don't end on different sides of their limits.
 */
Task<forwarding::HealthCheckOutcome>
checkHealth(TcpEndpoint Target, std::optional<TcpEndpoint> Reference,
            forwarding::HealthCheckKind Kind);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_HEALTHCHECK_H
