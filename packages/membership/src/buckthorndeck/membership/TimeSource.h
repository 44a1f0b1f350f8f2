#ifndef BUCKTHORNDECK_MEMBERSHIP_TIMESOURCE_H
#define BUCKTHORNDECK_MEMBERSHIP_TIMESOURCE_H

#include "buckthorndeck/net/Task.h"

#include <functional>
#include <memory>

namespace buckthorndeck {

class Notifier;

/**
 * The clock that a periodic task reads and waits on.
 *
 * Tests pass a clock that they advance themselves, so that they run the same
 * coroutines as the process without real waits.
 */
struct TimeSource {
  std::function<TimePoint()> Now;
  //! Returns once Now() is at or after the given time.
  std::function<Task<>(TimePoint)> SleepUntil;
  //! The same, but a notification ends the wait. It may also return early
  //! without one.
  std::function<Task<>(std::shared_ptr<Notifier>, TimePoint)> WaitUntil;
};

//! The monotonic clock of the process.
TimeSource systemTime();

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_MEMBERSHIP_TIMESOURCE_H
