#ifndef BUCKTHORNDECK_BASE_BOOTCLOCK_H
#define BUCKTHORNDECK_BASE_BOOTCLOCK_H

#include <chrono>

namespace buckthorndeck {

/**
 * A clock for the age of data: never set, like the steady clock, but it also
 * counts the time during which the machine is suspended.
 */
struct BootClock {
  // The names that the standard requires of a clock.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  static time_point now() noexcept;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_BOOTCLOCK_H
