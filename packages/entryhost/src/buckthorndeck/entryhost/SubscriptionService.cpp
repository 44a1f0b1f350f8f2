#include "buckthorndeck/entryhost/SubscriptionService.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/entryhost/Metrics.h"
#include "buckthorndeck/net/UdpSocket.h"

namespace buckthorndeck::entryhost {

namespace {

//! Events stored for one subscription until its caller acknowledges them.
constexpr std::size_t MaxUnacknowledged = 256;
//! Events sent again per keepalive; the next keepalive requests more.
constexpr std::size_t MaxResentPerKeepalive = 32;

struct StoredEvent {
  Sequence Number;
  Bytes Body;
};

} // namespace

struct SubscriptionService::CallerSubscription {
  FlowId Flow;
  ServiceAddress Service;
  ObjectName ServiceName;
  std::string Operation;
  UdpEndpoint Caller;
  TimePoint LastKeepalive;
  std::deque<StoredEvent> Unacknowledged;
  //! More than MaxUnacknowledged events were outstanding; later ones were
  //! dropped.
  bool Overrun = false;
  std::unique_ptr<routing::Subscription> Upstream;

  Sequence position() const {
    return Upstream ? Upstream->lastDelivered() : Sequence(0);
  }
};

SubscriptionService::SubscriptionService(HostContext &Context,
                                         SubscriptionServiceOptions Options)
    : Context(Context), Options(Options) {}
SubscriptionService::~SubscriptionService() = default;

void SubscriptionService::open(
    CallerSubscription &Target, Sequence After,
    const std::optional<routing::Affinity> &Preferred) {
  Target.Unacknowledged.clear();
  Target.Overrun = false;
  Target.Upstream.reset();
  // Target holds the upstream subscription, so the callback cannot outlive it.
  routing::SubscriptionRequest UpstreamRequest{
      .Service = Target.ServiceName,
      .Operation = Target.Operation,
      .After = After,
      .Preferred = Preferred,
      .OnEvent = [this, &Target](Sequence Number, const Bytes &Body) {
        if (Target.Unacknowledged.size() >= MaxUnacknowledged)
          Target.Overrun = true;
        if (Target.Overrun)
          return;
        Target.Unacknowledged.push_back({.Number = Number, .Body = Body});
        sendToCaller(
            Context, Target.Caller,
            wire::Event{.Flow = Target.Flow, .Number = Number, .Body = Body});
      }};
  Target.Upstream = Context.Servers.subscribe(std::move(UpstreamRequest));
}

void SubscriptionService::acknowledge(CallerSubscription &Target,
                                      Sequence After) {
  std::deque<StoredEvent> &Stored = Target.Unacknowledged;
  while (!Stored.empty() && Stored.front().Number <= After)
    Stored.pop_front();
  const bool Gap =
      !Stored.empty() && Stored.front().Number.value() != After.value() + 1;
  if (Gap || (Target.Overrun && Stored.empty())) {
    open(Target, After,
         Target.Upstream ? Target.Upstream->server() : std::nullopt);
    return;
  }
  const std::size_t Count = std::min(Stored.size(), MaxResentPerKeepalive);
  for (std::size_t Index = 0; Index < Count; ++Index)
    sendToCaller(Context, Target.Caller,
                 wire::Event{.Flow = Target.Flow,
                             .Number = Stored[Index].Number,
                             .Body = Stored[Index].Body});
}

void SubscriptionService::confirm(const CallerSubscription &Target) {
  const std::optional<routing::Affinity> Server =
      Target.Upstream ? Target.Upstream->server() : std::nullopt;
  sendToCaller(Context, Target.Caller,
               wire::Subscribed{.Flow = Target.Flow,
                                .Position = Target.position(),
                                .Token = issueToken(Context, Target.Flow,
                                                    Target.Service, Server),
                                .Lifetime = Context.Limits.Lifetime});
}

void SubscriptionService::handleSubscribe(
    const wire::Subscribe &Request, const UdpEndpoint &Caller,
    const std::optional<routing::Affinity> &Preferred) {
  const ServiceEntry *Entry = findService(Context.Services, Request.Service);
  const bool Declared = Entry && accepts(*Entry, Request.Operation);
  if (!Declared || (Subscriptions.size() >= Options.MaxSubscriptions &&
                    !Subscriptions.contains(Request.Flow))) {
    const char *Reason = !Entry     ? "unknown_service"
                         : Declared ? "too_many_feeds"
                                    : "unknown_operation";
    sendShortAnswer(Context, Caller, Request.Flow, Sequence(0),
                    wire::Outcome::NotRun, Reason);
    return;
  }
  std::unique_ptr<CallerSubscription> &Slot = Subscriptions[Request.Flow];
  const bool SameSubscription = Slot && Slot->Service == Request.Service &&
                                Slot->Operation == Request.Operation;
  if (!SameSubscription)
    Slot = std::make_unique<CallerSubscription>(
        CallerSubscription{.Flow = Request.Flow,
                           .Service = Request.Service,
                           .ServiceName = Entry->Service,
                           .Operation = Request.Operation});
  Slot->Caller = Caller;
  Slot->LastKeepalive = Clock::now();
  if (SameSubscription)
    acknowledge(*Slot, Request.After);
  else
    open(*Slot, Request.After, Preferred);
  confirm(*Slot);
}

void SubscriptionService::handleUnsubscribe(const wire::Unsubscribe &Request) {
  Subscriptions.erase(Request.Flow);
}

void SubscriptionService::expire() {
  const TimePoint Oldest = Clock::now() - Options.KeepaliveTimeout;
  std::erase_if(Subscriptions, [&](const auto &Entry) {
    return Entry.second->LastKeepalive < Oldest;
  });
}

} // namespace buckthorndeck::entryhost
