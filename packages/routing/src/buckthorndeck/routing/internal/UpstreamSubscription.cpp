#include "buckthorndeck/routing/internal/UpstreamSubscription.h"

#include "buckthorndeck/routing/internal/ServicePool.h"

#include <algorithm>

namespace buckthorndeck::routing {

namespace {

constexpr Milliseconds MinDelay{10};
constexpr Milliseconds MaxDelay{500};
//! A draining server still delivers, so its subscriptions are spread over this
//! time instead of reaching the other servers at once.
constexpr Milliseconds DrainSpread{200};
//! A subscription that ends sooner was not accepted, and the next one waits.
constexpr Milliseconds AcceptedTime{1000};

} // namespace

Feed::Feed(Executor Where, std::shared_ptr<ServicePool> Pool,
           SubscriptionRequest Wanted)
    : Pool(std::move(Pool)), Wanted(std::move(Wanted)),
      Changed(std::move(Where)), Position(this->Wanted.After) {}

Task<> Feed::serve(std::shared_ptr<Feed> Self) {
  while (!Self->Closed) {
    if (Self->MustMove && Self->Delay.count() > 0)
      co_await Self->backOff();
    if (Self->Closed)
      co_return;
    if (Self->MustMove && !Self->attach())
      Self->Delay = std::clamp(Self->Delay * 2, MinDelay, MaxDelay);
    if (!Self->MustMove)
      co_await Self->Changed.wait();
  }
}

Task<> Feed::backOff() {
  const double Jitter = 0.5 + 0.5 * randomUnit(Pool->random());
  const TimePoint Until =
      Clock::now() +
      std::chrono::duration_cast<Clock::duration>(Delay * Jitter);
  bool Notified = true;
  while (Notified && !Closed)
    Notified = co_await Changed.waitUntil(Until);
}

bool Feed::attach() {
  const auto Next = Pool->chooseForSubscription(Wanted.Preferred, LastServer);
  if (!Next || Next == Current)
    return false;
  const std::uint64_t NextId =
      Next->subscribe(Wanted, Position, weak_from_this());
  if (NextId == 0)
    return false;
  detach();
  if (LastServer)
    ++Pool->counters().SubscriptionMoves;
  Current = Next;
  Id = NextId;
  AttachedAt = Clock::now();
  LastServer.reset();
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
  if (!Current)
    return std::nullopt;
  return Current->affinity();
}

void Feed::onEvent(Sequence Number, const Bytes &Body) {
  if (Closed || Number <= Position)
    return;
  if (isGap(Number)) {
    const auto Skipping = Current;
    leaveServer();
    Skipping->unsubscribe(Id);
    return;
  }
  Position = Number;
  Wanted.OnEvent(Number, Body);
}

//! A server that skips an event may have lost it, so another one is asked
//! first. If that one skips it too, there is no such event.
bool Feed::isGap(Sequence Number) {
  if (Position.value() == 0 || Number.value() == Position.value() + 1 ||
      GapAfter == Position)
    return false;
  GapAfter = Position;
  ++Pool->counters().EventGaps;
  return true;
}

void Feed::onDraining() {
  MustMove = true;
  Delay = DrainSpread;
  LastServer = Current->affinity();
  Changed.notifyAll();
}

void Feed::onEnded() { leaveServer(); }

void Feed::leaveServer() {
  if (Current)
    LastServer = Current->affinity();
  Current.reset();
  MustMove = true;
  const bool Accepted = Clock::now() >= AttachedAt + AcceptedTime;
  Delay =
      Accepted ? Milliseconds(0) : std::clamp(Delay * 2, MinDelay, MaxDelay);
  Changed.notifyAll();
}

} // namespace buckthorndeck::routing
