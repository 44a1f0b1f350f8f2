#include "buckthorndeck/net/Notifier.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gsl/util>

namespace buckthorndeck {

namespace asio = boost::asio;

void Notifier::notifyOne() {
  if (Waiters.empty())
    return;
  std::shared_ptr<Waiter> First = Waiters.front();
  Waiters.pop_front();
  First->Notified = true;
  First->Timer.cancel();
}

void Notifier::notifyAll() {
  for (std::size_t Left = Waiters.size(); Left > 0; --Left)
    notifyOne();
}

Task<> Notifier::wait() { co_await waitUntil(TimePoint::max()); }

Task<bool> Notifier::waitUntil(TimePoint Deadline) {
  auto Self =
      std::make_shared<Waiter>(Waiter{asio::steady_timer(Where, Deadline)});
  Waiters.push_back(Self);
  // Also runs when the coroutine is destroyed while it waits, at the end of its
  // context. After a notification the notifier may be gone; only a waiter that
  // was not notified is still in its list.
  const auto Leave = gsl::finally([&] {
    if (!Self->Notified)
      Waiters.remove(Self);
  });
  co_await Self->Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return Self->Notified;
}

} // namespace buckthorndeck
