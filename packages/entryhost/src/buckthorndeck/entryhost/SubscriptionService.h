#ifndef BUCKTHORNDECK_ENTRYHOST_SUBSCRIPTIONSERVICE_H
#define BUCKTHORNDECK_ENTRYHOST_SUBSCRIPTIONSERVICE_H

#include "buckthorndeck/entryhost/HostContext.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace buckthorndeck::entryhost {

struct FeedServiceOptions {
  std::uint32_t MaxFeeds = 100'000;
  //! A feed without a keepalive for this long is closed: the caller has gone
  //! or another host has become its home.
  Milliseconds KeepaliveTimeout{10'000};
};

/**
 * The subscriptions of the flows that this host is home of.
 *
 * Events that the caller has not acknowledged are kept and sent again when a
 * keepalive shows that they were lost. If more are outstanding than are kept,
 * the feed continues from the caller's position through a new upstream
 * subscription.
 */
class FeedService {
public:
  FeedService(HostContext &Context, FeedServiceOptions Options);
  ~FeedService();

  //! Opens a feed or takes its keepalive.
  void handleSubscribe(const wire::Subscribe &Request,
                       const UdpEndpoint &Caller,
                       const std::optional<routing::Affinity> &Preferred);
  void handleUnsubscribe(const wire::Unsubscribe &Request);
  //! Closes feeds without keepalives.
  void expire();

  std::size_t size() const { return Feeds.size(); }

private:
  struct Feed;

  void open(Feed &Target, Sequence After,
            const std::optional<routing::Affinity> &Preferred);
  void acknowledge(Feed &Target, Sequence After);
  void confirm(const Feed &Target);

  HostContext &Context;
  FeedServiceOptions Options;
  std::unordered_map<FlowId, std::unique_ptr<Feed>> Feeds;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_SUBSCRIPTIONSERVICE_H
