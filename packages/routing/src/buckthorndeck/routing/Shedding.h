#ifndef BUCKTHORNDECK_ROUTING_SHEDDING_H
#define BUCKTHORNDECK_ROUTING_SHEDDING_H

#include "buckthorndeck/net/Task.h"

#include <cstddef>
#include <cstdint>

namespace buckthorndeck::routing {

//! The queue and the servers as a waiting request finds them.
struct QueueState {
  std::size_t Ahead = 0;      //!< Requests with an earlier deadline.
  std::uint32_t InFlight = 0; //!< Requests of this host at the servers.
  double ServiceTimeMs = 0;   //!< Mean over the servers, in ms; 0 if unknown.
};

//! Estimated time until a request at this position in the queue is finished.
Clock::duration expectedCompletionTime(const QueueState &Queue);

//! Whether the request may still meet its deadline and so stays in the queue.
//! Half the estimated time must fit: the service times of one service differ by
//! operation, and a tighter check would shed requests that could be in time.
bool canMeetDeadline(const QueueState &Queue, TimePoint Deadline,
                     TimePoint Now);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_SHEDDING_H
