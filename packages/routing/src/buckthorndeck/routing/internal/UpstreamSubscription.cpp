#include "buckthorndeck/routing/internal/UpstreamSubscription.h"

#include "buckthorndeck/routing/internal/ServicePool.h"

#include <algorithm>

namespace buckthorndeck::routing {

namespace {

constexpr Milliseconds MinMoveDelay{10};
constexpr Milliseconds MaxMoveDelay{500};
//! A draining server still sends events, so its subscriptions move spread over
//! this time and do not all reach the other servers at once.
constexpr Milliseconds DrainSpread{200};
//! A subscription that ends sooner than this was not accepted, and the next
//! attempt is delayed.
constexpr Milliseconds MinAcceptedTime{1000};

} // namespace

UpstreamSubscription::UpstreamSubscription(Executor Where,
                                           std::shared_ptr<ServicePool> Pool,
                                           SubscriptionRequest Request)
    : Pool(std::move(Pool)), Request(std::move(Request)),
      Changed(std::move(Where)), LastDelivered(this->Request.After) {}

Task<> UpstreamSubscription::serve(std::shared_ptr<UpstreamSubscription> Self) {
  while (!Self->Closed) {
    if (Self->MustMove && Self->MoveDelay.count() > 0)
      co_await Self->backOff();
    if (Self->Closed)
      co_return;
    if (Self->MustMove && !Self->attach())
      Self->MoveDelay =
          std::clamp(Self->MoveDelay * 2, MinMoveDelay, MaxMoveDelay);
    if (!Self->MustMove)
      co_await Self->Changed.wait();
  }
}

Task<> UpstreamSubscription::backOff() {
  const double Jitter = 0.5 + 0.5 * randomUnit(Pool->random());
  const TimePoint Until =
      Clock::now() +
      std::chrono::duration_cast<Clock::duration>(MoveDelay * Jitter);
  bool Notified = true;
  while (Notified && !Closed)
    Notified = co_await Changed.waitUntil(Until);
}

bool UpstreamSubscription::attach() {
  const auto Next = Pool->chooseForSubscription(Request.Preferred, LastServer);
  if (!Next || Next == Current)
    return false;
  const std::uint64_t NextId =
      Next->subscribe(Request, LastDelivered, weak_from_this());
  if (NextId == 0)
    return false;
  detach();
  if (LastServer)
    ++Pool->counters().SubscriptionMoves;
  Current = Next;
  SubscriptionId = NextId;
  AttachedAt = Clock::now();
  LastServer.reset();
  MustMove = false;
  return true;
}

void UpstreamSubscription::detach() {
  if (Current)
    Current->unsubscribe(SubscriptionId);
  Current.reset();
}

void UpstreamSubscription::close() {
  Closed = true;
  detach();
  Changed.notifyAll();
}

std::optional<Affinity> UpstreamSubscription::server() const {
  if (!Current)
    return std::nullopt;
  return Current->affinity();
}

void UpstreamSubscription::onEvent(Sequence Number, const Bytes &Body) {
  if (Closed || Number <= LastDelivered)
    return;
  if (detectGap(Number)) {
    const auto SkippingServer = Current;
    leaveServer();
    SkippingServer->unsubscribe(SubscriptionId);
    return;
  }
  LastDelivered = Number;
  Request.OnEvent(Number, Body);
}

//! Returns true, once per gap, if events are missing before this one: the
//! server may have lost them, so another server is asked for them. If that
//! server skips them too, they do not exist.
bool UpstreamSubscription::detectGap(Sequence Number) {
  if (LastDelivered.value() == 0 ||
      Number.value() == LastDelivered.value() + 1 || GapAfter == LastDelivered)
    return false;
  GapAfter = LastDelivered;
  ++Pool->counters().EventGaps;
  return true;
}

void UpstreamSubscription::onDraining() {
  MustMove = true;
  MoveDelay = DrainSpread;
  LastServer = Current->affinity();
  Changed.notifyAll();
}

void UpstreamSubscription::onEnded() { leaveServer(); }

void UpstreamSubscription::leaveServer() {
  if (Current)
    LastServer = Current->affinity();
  Current.reset();
  MustMove = true;
  const bool Accepted = Clock::now() >= AttachedAt + MinAcceptedTime;
  MoveDelay = Accepted ? Milliseconds(0)
                       : std::clamp(MoveDelay * 2, MinMoveDelay, MaxMoveDelay);
  Changed.notifyAll();
}

} // namespace buckthorndeck::routing
