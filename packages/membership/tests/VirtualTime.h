#ifndef BUCKTHORNDECK_MEMBERSHIP_TESTS_VIRTUALTIME_H
#define BUCKTHORNDECK_MEMBERSHIP_TESTS_VIRTUALTIME_H

#include "buckthorndeck/membership/TimeSource.h"
#include "buckthorndeck/net/Notifier.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>

namespace buckthorndeck {

//! A clock that only the test advances, and the io_context whose coroutines
//! wait on it.
class VirtualTime {
public:
  boost::asio::io_context Context;

  TimePoint now() const { return Current; }

  TimeSource timeSource() {
    return TimeSource{
        .Now = [this] { return Current; },
        .SleepUntil =
            [this](TimePoint Deadline) { return sleepUntil(this, Deadline); },
        .WaitUntil =
            [this](std::shared_ptr<Notifier> Wake, TimePoint Deadline) {
              return waitUntil(this, std::move(Wake), Deadline);
            }};
  }

  //! Advances the clock by Step and wakes the waits that end meanwhile, in
  //! order.
  void advance(Milliseconds Step) {
    const TimePoint End = Current + Step;
    runReady();
    while (!Sleepers.empty() && Sleepers.begin()->first.first <= End) {
      auto First = Sleepers.begin();
      Current = std::max(Current, First->first.first);
      std::shared_ptr<Notifier> Sleeper = First->second;
      Sleepers.erase(First);
      Sleeper->notifyAll();
      runReady();
    }
    Current = End;
  }

  //! Advances the clock without waking anything, as if the process were
  //! suspended.
  void jump(Milliseconds Step) { Current += Step; }

  //! Calls Work after Delay.
  template <typename Callable> void after(Milliseconds Delay, Callable Work) {
    spawn(Context.get_executor(), "delayed",
          runAt(this, Current + Delay, std::move(Work)));
  }

  void runReady() {
    Context.restart();
    while (Context.poll() > 0) {
    }
  }

private:
  static Task<> waitUntil(VirtualTime *Self, std::shared_ptr<Notifier> Wake,
                          TimePoint Deadline) {
    if (Deadline <= Self->Current)
      co_return;
    const std::pair Key(Deadline, ++Self->LastSleeper);
    Self->Sleepers.emplace(Key, Wake);
    co_await Wake->wait();
    // A notification may have ended the wait before its time.
    Self->Sleepers.erase(Key);
  }

  static Task<> sleepUntil(VirtualTime *Self, TimePoint Deadline) {
    co_await waitUntil(Self,
                       std::make_shared<Notifier>(Self->Context.get_executor()),
                       Deadline);
  }

  template <typename Callable>
  static Task<> runAt(VirtualTime *Self, TimePoint When, Callable Work) {
    co_await sleepUntil(Self, When);
    Work();
  }

  TimePoint Current{std::chrono::hours(1)};
  //! Waits in progress, by deadline and then in the order in which they began.
  std::map<std::pair<TimePoint, std::uint64_t>, std::shared_ptr<Notifier>>
      Sleepers;
  std::uint64_t LastSleeper = 0;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_MEMBERSHIP_TESTS_VIRTUALTIME_H
