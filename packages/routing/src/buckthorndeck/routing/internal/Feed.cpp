#include "buckthorndeck/routing/internal/Feed.h"

#include "buckthorndeck/routing/internal/ServicePool.h"

#include <algorithm>

namespace buckthorndeck::routing {

namespace {
constexpr Milliseconds MinBackOff{10};
constexpr Milliseconds MaxBackOff{500};
} // namespace

Feed::Feed(Executor Where, std::shared_ptr<ServicePool> Pool,
           SubscriptionRequest Wanted)
    : Pool(std::move(Pool)), Wanted(std::move(Wanted)),
      Changed(std::move(Where)), Position(this->Wanted.After) {}

Task<> Feed::serve(std::shared_ptr<Feed> Self) {
  Milliseconds BackOff = MinBackOff;
  while (!Self->Closed) {
    if (Self->MustMove && Self->attach())
      BackOff = MinBackOff;
    TimePoint Until = TimePoint::max();
    if (Self->MustMove) {
      const double Jitter = 0.5 + randomUnit(Self->Pool->random());
      Until = Clock::now() +
              std::chrono::duration_cast<Clock::duration>(BackOff * Jitter);
      BackOff = std::min(MaxBackOff, BackOff * 2);
    }
    co_await Self->Changed.waitUntil(Until);
  }
}

bool Feed::attach() {
  const auto Next = Pool->chooseForSubscription(Wanted.Preferred);
  if (!Next || Next == Current)
    return false;
  const std::uint64_t NextId =
      Next->subscribe(Wanted, Position, weak_from_this());
  if (NextId == 0)
    return false;
  detach();
  Current = Next;
  Id = NextId;
  MustMove = false;
  return true;
}

void Feed::detach() {
  if (Current)
    Current->unsubscribe(Id);
  Current.reset();
}

void Feed::close() {
  Closed = true;
  detach();
  Changed.notifyAll();
}

std::optional<Affinity> Feed::server() const {
  if (!Current || MustMove)
    return std::nullopt;
  return Current->affinity();
}

void Feed::onEvent(Sequence Number, const Bytes &Body) {
  if (Closed || Number <= Position)
    return;
  Position = Number;
  Wanted.OnEvent(Number, Body);
}

void Feed::onDraining() {
  MustMove = true;
  Changed.notifyAll();
}

void Feed::onEnded() {
  Current.reset();
  MustMove = true;
  Changed.notifyAll();
}

} // namespace buckthorndeck::routing
