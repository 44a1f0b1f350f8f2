#ifndef BUCKTHORNDECK_FORWARDING_SERVERLOAD_H
#define BUCKTHORNDECK_FORWARDING_SERVERLOAD_H

#include "buckthorndeck/net/Task.h"

namespace buckthorndeck::forwarding {

//! How soon a server has answered this host lately.
struct ServerLoad {
  double RecentMs = 0; //!< Geometric moving average of few responses.
  TimePoint SampledAt; //!< Last response.
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_SERVERLOAD_H
