#ifndef BUCKTHORNDECK_FORWARDING_SERVERPACE_H
#define BUCKTHORNDECK_FORWARDING_SERVERPACE_H

#include "buckthorndeck/net/Task.h"

namespace buckthorndeck::forwarding {

//! State of a server's adaptive slow start at this host.
struct ServerPace {
  bool Active = false; //!< Its pace has not yet reached that of its peers.
  double Share = 1;    //!< Of the flows of a peer, as of ChangedAt.
  TimePoint StartedAt;
  TimePoint ChangedAt;    //!< Start or last response.
  TimePoint CoveredUntil; //!< Announced end of the cold time, as far as known.
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_SERVERPACE_H
