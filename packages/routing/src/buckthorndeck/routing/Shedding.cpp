#include "buckthorndeck/routing/Shedding.h"

#include <algorithm>
#include <chrono>

namespace buckthorndeck::routing {

Clock::duration expectedCompletionTime(const QueueState &Queue) {
  // This host runs InFlight requests in parallel, so the queue moves by that
  // many requests per service time.
  const double Parallel = std::max<std::uint32_t>(1, Queue.InFlight);
  const double Rounds = static_cast<double>(Queue.Ahead) / Parallel + 1;
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(Rounds * Queue.ServiceTimeMs));
}

bool canMeetDeadline(const QueueState &Queue, TimePoint Deadline,
                     TimePoint Now) {
  return Now + expectedCompletionTime(Queue) / 2 <= Deadline;
}

} // namespace buckthorndeck::routing
