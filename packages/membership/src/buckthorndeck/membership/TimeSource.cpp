#include "buckthorndeck/membership/TimeSource.h"

#include "buckthorndeck/net/Notifier.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndeck {

namespace asio = boost::asio;

namespace {
Task<> sleepUntil(TimePoint Deadline) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Deadline);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

Task<> waitUntil(std::shared_ptr<Notifier> Wake, TimePoint Deadline) {
  co_await Wake->waitUntil(Deadline);
}
} // namespace

TimeSource systemTime() {
  return TimeSource{.Now = [] { return Clock::now(); },
                    .SleepUntil = sleepUntil,
                    .WaitUntil = waitUntil};
}

} // namespace buckthorndeck
