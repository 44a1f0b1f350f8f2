#ifndef BUCKTHORNDECK_ROUTING_INTERNAL_UPSTREAMSUBSCRIPTION_H
#define BUCKTHORNDECK_ROUTING_INTERNAL_UPSTREAMSUBSCRIPTION_H

#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/routing/Dispatcher.h"
#include "buckthorndeck/routing/internal/Channel.h"

#include <memory>

namespace buckthorndeck::routing {

class ServicePool;

//! Keeps one upstream subscription open and moves it to another server when its
//! server drains, is evacuated, ends it or is disconnected.
class UpstreamSubscription
    : public EventReceiver,
      public std::enable_shared_from_this<UpstreamSubscription> {
public:
  UpstreamSubscription(Executor Where, std::shared_ptr<ServicePool> Pool,
                       SubscriptionRequest Request);

  //! Runs until close().
  static Task<> serve(std::shared_ptr<UpstreamSubscription> Self);
  void close();

  Sequence lastDelivered() const { return LastDelivered; }
  std::optional<Affinity> server() const;

  void onEvent(Sequence Number, const Bytes &Body) override;
  void onDraining() override;
  void onEnded() override;

private:
  bool attach();
  void detach();
  Task<> backOff();
  void leaveServer();
  bool detectGap(Sequence Number);

  std::shared_ptr<ServicePool> Pool;
  SubscriptionRequest Request;
  Notifier Changed;
  Sequence LastDelivered;
  std::shared_ptr<Channel> Current;
  std::uint64_t SubscriptionId = 0;
  TimePoint AttachedAt;
  //! Server that the subscription left or has to leave.
  std::optional<Affinity> LastServer;
  //! Last event before the gap that was found last.
  std::optional<Sequence> GapAfter;
  Milliseconds MoveDelay{0}; //!< Wait before the next move.
  bool MustMove = true;
  bool Closed = false;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_INTERNAL_UPSTREAMSUBSCRIPTION_H
