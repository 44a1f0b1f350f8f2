#ifndef BUCKTHORNDECK_NET_PAUSEDETECTOR_H
#define BUCKTHORNDECK_NET_PAUSEDETECTOR_H

#include "buckthorndeck/base/BootClock.h"
#include "buckthorndeck/net/Task.h"

#include <optional>

namespace buckthorndeck {

/**
 * Detects that this process did not run for a while.
 *
 * A stopped process misses the time by which it expected to run. A suspended
 * machine does not: its steady clock stops as well, so that the two clocks
 * drift apart.
 */
class PauseDetector {
public:
  //! Shorter pauses are not reported.
  explicit PauseDetector(Milliseconds Limit) : Limit(Limit) {}

  //! Expects a call of check() at Due or earlier.
  void expectRunBy(TimePoint Due) { this->Due = Due; }
  //! Returns whether there was a pause since the last call. Reports each pause
  //! once.
  bool check(TimePoint Now, BootClock::time_point BootNow);

private:
  Milliseconds Limit;
  TimePoint Due = TimePoint::max();
  //! Boot clock minus steady clock.
  std::optional<BootClock::duration> Drift;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_PAUSEDETECTOR_H
