#ifndef BUCKTHORNDECK_ROUTING_INTERNAL_JOBTASK_H
#define BUCKTHORNDECK_ROUTING_INTERNAL_JOBTASK_H

#include "buckthorndeck/routing/Dispatcher.h"
#include "buckthorndeck/routing/internal/Channel.h"

#include <memory>
#include <optional>

namespace buckthorndeck::routing {

class ServicePool;

/**
 * Runs one job from admission to its result.
 *
 * A request is sent again only after the server's own answer proved that it
 * did not start, or if it is idempotent.
 */
class JobTask {
public:
  JobTask(std::shared_ptr<ServicePool> Pool, Job Work,
          std::shared_ptr<CancelSignal> Signal);

  Task<JobResult> run();

private:
  Task<std::shared_ptr<Channel>> waitForServer();
  Task<std::shared_ptr<Channel>> waitInQueue();
  Task<RunReply> runAt(Channel &Server);
  Task<> waitForReply(const ActiveRun &Run, TimePoint Until);
  const char *reasonToStop(TimePoint Now) const;
  bool mayRetry(TimePoint Now);
  JobResult notRun() const;
  JobResult unknown(const char *Reason) const;

  std::shared_ptr<ServicePool> Pool;
  Job Work;
  std::shared_ptr<CancelSignal> Signal;
  const char *StopReason = nullptr; //!< Why the job was not run.
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_INTERNAL_JOBTASK_H
