#ifndef BUCKTHORNDECK_ROUTING_INTERNAL_CANCELSIGNAL_H
#define BUCKTHORNDECK_ROUTING_INTERNAL_CANCELSIGNAL_H

#include "buckthorndeck/net/Notifier.h"

namespace buckthorndeck::routing {

//! Wakes the task of one job when the job is cancelled, its attempt ends, or a
//! server may be free for it.
class CancelSignal {
public:
  explicit CancelSignal(Executor Where) : Changed(std::move(Where)) {}

  Notifier Changed;
  bool Cancelled = false;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_INTERNAL_CANCELSIGNAL_H
