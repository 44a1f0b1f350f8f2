#ifndef BUCKTHORNDECK_ENTRYHOST_SUBSCRIPTIONSERVICE_H
#define BUCKTHORNDECK_ENTRYHOST_SUBSCRIPTIONSERVICE_H

#include "buckthorndeck/entryhost/HostContext.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace buckthorndeck::entryhost {

struct SubscriptionServiceOptions {
  std::uint32_t MaxSubscriptions = 100'000;
  //! A subscription without a keepalive for this long is removed: its caller
  //! has stopped or another host has become its owner.
  Milliseconds KeepaliveTimeout{10'000};
};

/**
 * Callers' event subscriptions on the flows that this host owns.
 *
 * Events that the caller has not acknowledged are stored, and sent again when a
 * keepalive shows that they were lost. If more events are unacknowledged than
 * are stored, the subscription resumes at the caller's position through a new
 * upstream subscription.
 */
class SubscriptionService {
public:
  SubscriptionService(HostContext &Context, SubscriptionServiceOptions Options);
  ~SubscriptionService();

  //! Opens a subscription, or processes its keepalive.
  void handleSubscribe(const wire::Subscribe &Request,
                       const UdpEndpoint &Caller,
                       const std::optional<routing::Affinity> &Preferred);
  void handleUnsubscribe(const wire::Unsubscribe &Request);
  //! Removes subscriptions without keepalives.
  void expire();

  std::size_t size() const { return Subscriptions.size(); }

private:
  struct CallerSubscription;

  //! Starts an upstream subscription whose first event follows After.
  void open(CallerSubscription &Target, Sequence After,
            const std::optional<routing::Affinity> &Preferred);
  //! Removes stored events up to After and sends the next ones again.
  void acknowledge(CallerSubscription &Target, Sequence After);
  void confirm(const CallerSubscription &Target);

  HostContext &Context;
  SubscriptionServiceOptions Options;
  std::unordered_map<FlowId, std::unique_ptr<CallerSubscription>> Subscriptions;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_SUBSCRIPTIONSERVICE_H
