#ifndef BUCKTHORNDECK_ROUTING_SHEDDING_H
#define BUCKTHORNDECK_ROUTING_SHEDDING_H

#include "buckthorndeck/net/Task.h"

#include <cstddef>
#include <cstdint>

namespace buckthorndeck::routing {

//! What a waiting request can expect.
struct QueueView {
  std::size_t Ahead = 0;      //!< Requests with an earlier deadline.
  std::uint32_t InFlight = 0; //!< Requests of this host at the servers.
  double ServiceTimeMs = 0;   //!< Mean of the servers; 0 if unknown.
};

//! Time until a request at this place in the queue would be finished.
Clock::duration expectedTime(const QueueView &Queue);

//! Whether the request should go on waiting. Service times of one service
//! differ by operation, so only a miss by half is certain enough to shed.
bool canMeetDeadline(const QueueView &Queue, TimePoint Deadline, TimePoint Now);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_SHEDDING_H
