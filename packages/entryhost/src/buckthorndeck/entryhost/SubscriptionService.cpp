#include "buckthorndeck/entryhost/SubscriptionService.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/entryhost/Metrics.h"
#include "buckthorndeck/net/UdpSocket.h"

namespace buckthorndeck::entryhost {

namespace {

//! Events kept for one feed until the caller acknowledges them.
constexpr std::size_t MaxUnacknowledged = 256;
//! Events sent again for one keepalive; the next keepalive asks for more.
constexpr std::size_t MaxRepeatedAtOnce = 32;

struct StoredEvent {
  Sequence Number;
  Bytes Body;
};

} // namespace

struct FeedService::Feed {
  FlowId Flow;
  ServiceAddress Service;
  ObjectName ServiceName;
  std::string Operation;
  UdpEndpoint Caller;
  TimePoint LastKeepalive;
  std::deque<StoredEvent> Unacknowledged;
  //! More events were outstanding than are kept; later ones were dropped.
  bool Overrun = false;
  std::unique_ptr<routing::Subscription> Upstream;

  Sequence position() const {
    return Upstream ? Upstream->lastDelivered() : Sequence(0);
  }
};

FeedService::FeedService(HostContext &Context, FeedServiceOptions Options)
    : Context(Context), Options(Options) {}
FeedService::~FeedService() = default;

void FeedService::open(Feed &Target, Sequence After,
                       const std::optional<routing::Affinity> &Preferred) {
  Target.Unacknowledged.clear();
  Target.Overrun = false;
  Target.Upstream.reset();
  // The feed owns the subscription, so the callback never outlives the feed.
  routing::SubscriptionRequest Wanted{
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
  Target.Upstream = Context.Servers.subscribe(std::move(Wanted));
}

void FeedService::acknowledge(Feed &Target, Sequence After) {
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
  const std::size_t Count = std::min(Stored.size(), MaxRepeatedAtOnce);
  for (std::size_t Index = 0; Index < Count; ++Index)
    sendToCaller(Context, Target.Caller,
                 wire::Event{.Flow = Target.Flow,
                             .Number = Stored[Index].Number,
                             .Body = Stored[Index].Body});
}

void FeedService::confirm(const Feed &Target) {
  const std::optional<routing::Affinity> Server =
      Target.Upstream ? Target.Upstream->server() : std::nullopt;
  sendToCaller(Context, Target.Caller,
               wire::Subscribed{.Flow = Target.Flow,
                                .Position = Target.position(),
                                .Token = issueToken(Context, Target.Flow,
                                                    Target.Service, Server),
                                .Lifetime = Context.Limits.Lifetime});
}

void FeedService::handleSubscribe(
    const wire::Subscribe &Request, const UdpEndpoint &Caller,
    const std::optional<routing::Affinity> &Preferred) {
  const ServiceEntry *Entry = findService(Context.Services, Request.Service);
  const bool Declared = Entry && accepts(*Entry, Request.Operation);
  if (!Declared ||
      (Feeds.size() >= Options.MaxFeeds && !Feeds.contains(Request.Flow))) {
    const char *Reason = !Entry     ? "unknown_service"
                         : Declared ? "too_many_feeds"
                                    : "unknown_operation";
    sendShortAnswer(Context, Caller, Request.Flow, Sequence(0),
                    wire::Outcome::NotRun, Reason);
    return;
  }
  std::unique_ptr<Feed> &Slot = Feeds[Request.Flow];
  const bool Same = Slot && Slot->Service == Request.Service &&
                    Slot->Operation == Request.Operation;
  if (!Same)
    Slot = std::make_unique<Feed>(Feed{.Flow = Request.Flow,
                                       .Service = Request.Service,
                                       .ServiceName = Entry->Service,
                                       .Operation = Request.Operation});
  Slot->Caller = Caller;
  Slot->LastKeepalive = Clock::now();
  if (Same)
    acknowledge(*Slot, Request.After);
  else
    open(*Slot, Request.After, Preferred);
  confirm(*Slot);
}

void FeedService::handleUnsubscribe(const wire::Unsubscribe &Request) {
  Feeds.erase(Request.Flow);
}

void FeedService::expire() {
  const TimePoint Oldest = Clock::now() - Options.KeepaliveTimeout;
  std::erase_if(Feeds, [&](const auto &Item) {
    return Item.second->LastKeepalive < Oldest;
  });
}

} // namespace buckthorndeck::entryhost
