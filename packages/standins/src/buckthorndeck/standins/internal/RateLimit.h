#ifndef BUCKTHORNDECK_STANDINS_INTERNAL_RATELIMIT_H
#define BUCKTHORNDECK_STANDINS_INTERNAL_RATELIMIT_H

#include "buckthorndeck/net/Task.h"

#include <algorithm>

namespace buckthorndeck::standins {

//! A token bucket that holds one second's worth of calls, at least one.
class RateLimit {
public:
  //! PerSecond 0 stands for no limit.
  explicit RateLimit(double PerSecond)
      : PerSecond(PerSecond), Capacity(std::max(1.0, PerSecond)),
        Available(Capacity), Filled(Clock::now()) {}

  //! Returns false if the call is over the limit.
  bool take() {
    if (PerSecond <= 0)
      return true;
    const TimePoint Now = Clock::now();
    const std::chrono::duration<double> Passed = Now - Filled;
    Available = std::min(Capacity, Available + Passed.count() * PerSecond);
    Filled = Now;
    if (Available < 1)
      return false;
    Available -= 1;
    return true;
  }

private:
  double PerSecond;
  double Capacity;
  double Available;
  TimePoint Filled;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_INTERNAL_RATELIMIT_H
