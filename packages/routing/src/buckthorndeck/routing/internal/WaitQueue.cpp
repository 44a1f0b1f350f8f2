#include "buckthorndeck/routing/internal/WaitQueue.h"

#include "buckthorndeck/routing/internal/CancelSignal.h"

#include <iterator>

namespace buckthorndeck::routing {

WaitQueue::Handle WaitQueue::add(TimePoint Deadline,
                                 std::shared_ptr<CancelSignal> Signal) {
  return Waiters.emplace(Deadline, std::move(Signal));
}

void WaitQueue::remove(Handle Waiting) { Waiters.erase(Waiting); }

std::size_t WaitQueue::jobsAhead(Handle Waiting) {
  return static_cast<std::size_t>(std::distance(Waiters.begin(), Waiting));
}

void WaitQueue::wakeFirst() {
  if (!Waiters.empty())
    Waiters.begin()->second->Changed.notifyAll();
}

void WaitQueue::wakeAll() {
  for (auto &[Deadline, Signal] : Waiters)
    Signal->Changed.notifyAll();
}

} // namespace buckthorndeck::routing
