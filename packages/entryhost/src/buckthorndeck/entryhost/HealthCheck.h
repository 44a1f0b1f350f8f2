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
 * A first attempt is made alone, since most servers answer it. A second one
 * runs at the same time as one to Control, another server: if both time out,
 * or the timer fires late, the fault may be on this side and the outcome is
 * inconclusive.
 */
Task<forwarding::HealthCheckOutcome>
checkHealth(TcpEndpoint Target, std::optional<TcpEndpoint> Control);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_HEALTHCHECK_H
