#ifndef BUCKTHORNDECK_FORWARDING_SLOWSTART_H
#define BUCKTHORNDECK_FORWARDING_SLOWSTART_H

#include "buckthorndeck/forwarding/ServerDirectory.h"

namespace buckthorndeck::forwarding {

//! Starts the slow start of a server that is announced as cold, unless its
//! present cold time is already covered.
void beginIfCold(Server &Target, TimePoint Now);

//! Starts the slow start of a server that was found to be up again.
void beginAfterRecovery(Server &Target, TimePoint Now);

//! Adapts the pace to a response. PeerMs is the present response time of the
//! servers of the service. A response that looks rejected lowers the pace.
void recordPace(Server &Target, double ResponseMs, double PeerMs, TimePoint Now,
                bool Rejected = false);

//! Cost of a flow relative to a server that bears its full share.
double slowStartFactor(const ServerPace &Pace, TimePoint Now);

//! Whether the last response of a server in slow start is too old to describe
//! it, so that its peers' response time is assumed.
bool paceIsStale(const ServerPace &Pace, TimePoint Now);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_SLOWSTART_H
