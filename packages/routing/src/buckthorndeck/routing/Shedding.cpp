#include "buckthorndeck/routing/Shedding.h"

#include <algorithm>
#include <chrono>

namespace buckthorndeck::routing {

Clock::duration expectedTime(const QueueView &Queue) {
  // Requests leave the queue as fast as this host's share of the slots ends
  // requests.
  const double Parallel = std::max<std::uint32_t>(1, Queue.InFlight);
  const double Rounds = static_cast<double>(Queue.Ahead) / Parallel + 1;
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(Rounds * Queue.ServiceTimeMs));
}

bool canMeetDeadline(const QueueView &Queue, TimePoint Deadline,
                     TimePoint Now) {
  return Now + expectedTime(Queue) / 2 <= Deadline;
}

} // namespace buckthorndeck::routing
