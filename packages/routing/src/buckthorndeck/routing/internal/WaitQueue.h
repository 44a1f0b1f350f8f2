#ifndef BUCKTHORNDECK_ROUTING_INTERNAL_WAITQUEUE_H
#define BUCKTHORNDECK_ROUTING_INTERNAL_WAITQUEUE_H

#include "buckthorndeck/net/Task.h"

#include <cstddef>
#include <map>
#include <memory>

namespace buckthorndeck::routing {

class CancelSignal;

//! Jobs of one service that wait for a server, ordered by deadline.
class WaitQueue {
public:
  using Entry =
      std::multimap<TimePoint, std::shared_ptr<CancelSignal>>::iterator;

  Entry add(TimePoint Deadline, std::shared_ptr<CancelSignal> Signal);
  void remove(Entry Waiting);
  bool isFirst(Entry Waiting) { return Waiting == Waiters.begin(); }
  //! Number of jobs before this one.
  std::size_t position(Entry Waiting);
  std::size_t size() const { return Waiters.size(); }
  bool empty() const { return Waiters.empty(); }

  void wakeFirst();
  void wakeAll();

private:
  std::multimap<TimePoint, std::shared_ptr<CancelSignal>> Waiters;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_INTERNAL_WAITQUEUE_H
