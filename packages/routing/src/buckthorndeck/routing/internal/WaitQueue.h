#ifndef BUCKTHORNDECK_ROUTING_INTERNAL_WAITQUEUE_H
#define BUCKTHORNDECK_ROUTING_INTERNAL_WAITQUEUE_H

#include "buckthorndeck/net/Task.h"

#include <cstddef>
#include <map>
#include <memory>

namespace buckthorndeck::routing {

class CancelSignal;

//! Jobs of one service that wait for a server, earliest deadline first.
class WaitQueue {
public:
  using Handle =
      std::multimap<TimePoint, std::shared_ptr<CancelSignal>>::iterator;

  Handle add(TimePoint Deadline, std::shared_ptr<CancelSignal> Signal);
  void remove(Handle Waiting);
  bool isFirst(Handle Waiting) { return Waiting == Waiters.begin(); }
  //! Number of jobs with an earlier place in the queue.
  std::size_t jobsAhead(Handle Waiting);
  std::size_t size() const { return Waiters.size(); }
  bool empty() const { return Waiters.empty(); }

  void wakeFirst();
  void wakeAll();

private:
  std::multimap<TimePoint, std::shared_ptr<CancelSignal>> Waiters;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_INTERNAL_WAITQUEUE_H
