#ifndef BUCKTHORNDECK_ROUTING_INTERNAL_UPSTREAMSUBSCRIPTION_H
#define BUCKTHORNDECK_ROUTING_INTERNAL_UPSTREAMSUBSCRIPTION_H

#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/routing/Dispatcher.h"
#include "buckthorndeck/routing/internal/Channel.h"

#include <memory>

namespace buckthorndeck::routing {

class ServicePool;

//! Keeps one upstream subscription open on one server after another.
class Feed : public EventReceiver, public std::enable_shared_from_this<Feed> {
public:
  Feed(Executor Where, std::shared_ptr<ServicePool> Pool,
       SubscriptionRequest Wanted);

  //! Runs until close().
  static Task<> serve(std::shared_ptr<Feed> Self);
  void close();

  Sequence lastDelivered() const { return Position; }
  std::optional<Affinity> server() const;

  void onEvent(Sequence Number, const Bytes &Body) override;
  void onDraining() override;
  void onEnded() override;

private:
  bool attach();
  void detach();
  Task<> backOff();
  void leaveServer();
  bool isGap(Sequence Number);

  std::shared_ptr<ServicePool> Pool;
  SubscriptionRequest Wanted;
  Notifier Changed;
  Sequence Position;
  std::shared_ptr<Channel> Current;
  std::uint64_t Id = 0;
  TimePoint AttachedAt;
  std::optional<Affinity> LastServer; //!< Ended the subscription or was lost.
  std::optional<Sequence> GapAfter;   //!< Position at which a gap was seen.
  Milliseconds Delay{0};              //!< Before the next move.
  bool MustMove = true;
  bool Closed = false;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_INTERNAL_UPSTREAMSUBSCRIPTION_H
