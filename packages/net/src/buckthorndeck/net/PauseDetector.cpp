#include "buckthorndeck/net/PauseDetector.h"

#include <utility>

namespace buckthorndeck {

bool PauseDetector::check(TimePoint Now, BootClock::time_point BootNow) {
  const BootClock::duration DriftNow =
      BootNow.time_since_epoch() - Now.time_since_epoch();
  const BootClock::duration DriftBefore =
      std::exchange(Drift, DriftNow).value_or(DriftNow);
  const bool Suspended = DriftNow - DriftBefore > Limit;
  const bool Late = Due != TimePoint::max() && Now - Due > Limit;
  if (Suspended || Late)
    Due = TimePoint::max();
  return Suspended || Late;
}

} // namespace buckthorndeck
