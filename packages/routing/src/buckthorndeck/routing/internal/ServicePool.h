#ifndef BUCKTHORNDECK_ROUTING_INTERNAL_SERVICEPOOL_H
#define BUCKTHORNDECK_ROUTING_INTERNAL_SERVICEPOOL_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/routing/Dispatcher.h"
#include "buckthorndeck/routing/Explanation.h"
#include "buckthorndeck/routing/RetryBudget.h"
#include "buckthorndeck/routing/Selection.h"
#include "buckthorndeck/routing/Shedding.h"
#include "buckthorndeck/routing/internal/Channel.h"
#include "buckthorndeck/routing/internal/WaitQueue.h"

#include <memory>
#include <vector>

namespace buckthorndeck::routing {

//! Reason of a job whose service has servers, all of them evacuated.
inline constexpr const char *EvacuatedReason = "evacuated";

//! What becomes of a request that arrives now.
struct Arrival {
  ArrivalAction Action = ArrivalAction::Refused;
  const char *Reason = "";         //!< Why it waits or is refused.
  std::shared_ptr<Channel> Server; //!< Set if it is sent.
};

//! The servers of one service and the jobs that wait for them.
class ServicePool : public ChannelDelegate,
                    public std::enable_shared_from_this<ServicePool> {
public:
  ServicePool(Executor Where, std::uint64_t Seed,
              std::shared_ptr<DispatcherCounters> Counters);

  //! Applies the service's rule and the list of servers that this host uses.
  void apply(const config::Rule &Rule,
             const std::vector<ServiceServer> &Servers);
  //! Retires every server.
  void retire();
  //! Closes all connections and ends waiting jobs at once.
  void stop();

  //! Why the service takes no request at all; null if it takes some.
  const char *refusalReason() const;
  //! Decides on a request that arrives now. Changes nothing but Random.
  Arrival decideArrival(const std::optional<Affinity> &Preferred, TimePoint Now,
                        RandomEngine &Random) const;
  //! What decideArrival() would decide for a new flow, and on what grounds.
  Explanation explain(TimePoint Now) const;
  //! Server for the next request; null if none is eligible now.
  std::shared_ptr<Channel> choose(const std::optional<Affinity> &Preferred,
                                  TimePoint Now);
  //! Server for a subscription; null if no connected server takes work. Avoided
  //! is chosen only if there is no other.
  std::shared_ptr<Channel>
  chooseForSubscription(const std::optional<Affinity> &Preferred,
                        const std::optional<Affinity> &Avoided) const;
  //! Server to name in the token of a new flow; null if none is connected.
  std::shared_ptr<Channel> chooseForToken(TimePoint Now);
  //! When the first waiting job should try again if nothing wakes it before.
  TimePoint nextAttemptTime(TimePoint Now) const;
  //! The queue as the waiting job finds it.
  QueueState queueState(WaitQueue::Handle Waiting, TimePoint Now);

  void onServerChanged() override { Queue.wakeFirst(); }
  double usagePerSlot(TimePoint Now) const override;
  void appendStatus(std::vector<ServerStatus> &Result) const;

  RandomEngine &random() { return Random; }
  DispatcherCounters &counters() { return *Counters; }

  WaitQueue Queue;
  std::uint32_t InFlight = 0;
  config::Rule ServiceRule;
  std::optional<ServiceAddress> Address; //!< As declared; none if it is not.
  RetryBudget Budget;

private:
  std::shared_ptr<Channel> takeChannel(const ServiceServer &Server,
                                       double UsagePerSlot);
  std::shared_ptr<Channel> openChannel(const ServiceServer &Server);
  void setEvacuated(bool Value);
  std::shared_ptr<Channel> choose(const std::optional<Affinity> &Preferred,
                                  TimePoint Now, RandomEngine &Engine) const;
  std::vector<Candidate> candidates(TimePoint Now) const;
  std::vector<bool> ejected(TimePoint Now) const;
  std::optional<std::size_t>
  indexOf(const std::optional<Affinity> &Target) const;

  Executor Where;
  RandomEngine Random;
  std::shared_ptr<DispatcherCounters> Counters;
  std::vector<std::shared_ptr<Channel>> Channels;
  std::vector<std::weak_ptr<Channel>> Retiring;
  bool Evacuated = false; //!< All servers are in evacuated domains.
  bool Stopped = false;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_INTERNAL_SERVICEPOOL_H
