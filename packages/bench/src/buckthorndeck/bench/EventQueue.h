#ifndef BUCKTHORNDECK_BENCH_EVENTQUEUE_H
#define BUCKTHORNDECK_BENCH_EVENTQUEUE_H

#include "buckthorndeck/net/Task.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace buckthorndeck::bench {

//! Runs actions in the order of a virtual clock.
class EventQueue {
public:
  using Action = std::function<void()>;

  TimePoint now() const { return Now; }
  void after(Clock::duration Delay, Action Work);
  //! Runs every action up to End and leaves the clock there.
  void runUntil(TimePoint End);

private:
  struct Event {
    TimePoint At;
    std::uint64_t Order; //!< Actions of one time run in the order of entry.
    Action Work;

    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  //! Away from the clock's epoch, which stands for "never" in server loads.
  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t LastOrder = 0;
  std::priority_queue<Event> Events;
};

} // namespace buckthorndeck::bench

#endif // BUCKTHORNDECK_BENCH_EVENTQUEUE_H
