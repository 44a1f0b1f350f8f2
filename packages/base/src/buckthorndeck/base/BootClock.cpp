#include "buckthorndeck/base/BootClock.h"

#include <ctime>

namespace buckthorndeck {

BootClock::time_point BootClock::now() noexcept {
  std::timespec Time{};
  // Fails only for a clock that the kernel does not have.
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return time_point(std::chrono::seconds(Time.tv_sec) +
                    std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace buckthorndeck
