#ifndef BUCKTHORNDECK_NET_NOTIFIER_H
#define BUCKTHORNDECK_NET_NOTIFIER_H

#include "buckthorndeck/net/Task.h"

#include <boost/asio/steady_timer.hpp>
#include <list>

namespace buckthorndeck {

/**
 * Wakes coroutines that wait for a condition.
 *
 * Only for use from the io_context thread. A waiter tests its condition, then
 * waits, then tests again; no notification is lost because nothing else runs
 * between the test and the start of the wait.
 */
class Notifier {
public:
  explicit Notifier(Executor Where) : Where(std::move(Where)) {}
  Notifier(const Notifier &) = delete;
  Notifier &operator=(const Notifier &) = delete;
  //! Wakes all waiters.
  ~Notifier() { notifyAll(); }

  void notifyAll();
  //! Wakes the waiter that has waited longest, if any.
  void notifyOne();
  Task<> wait();
  //! Returns false when Deadline passed without a notification.
  Task<bool> waitUntil(TimePoint Deadline);

private:
  struct Waiter {
    boost::asio::steady_timer Timer;
    bool Notified = false;
  };

  Executor Where;
  std::list<std::shared_ptr<Waiter>> Waiters;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_NOTIFIER_H
