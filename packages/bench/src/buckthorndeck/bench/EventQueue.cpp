#include "buckthorndeck/bench/EventQueue.h"

namespace buckthorndeck::bench {

void EventQueue::after(Clock::duration Delay, Action Work) {
  Events.push(Event{Now + Delay, ++LastOrder, std::move(Work)});
}

void EventQueue::runUntil(TimePoint End) {
  while (!Events.empty() && Events.top().At <= End) {
    Now = Events.top().At;
    const Action Work = Events.top().Work;
    Events.pop();
    Work();
  }
  Now = End;
}

} // namespace buckthorndeck::bench
