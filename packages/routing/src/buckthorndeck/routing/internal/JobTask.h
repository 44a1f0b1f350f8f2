#ifndef BUCKTHORNDECK_ROUTING_INTERNAL_JOBTASK_H
#define BUCKTHORNDECK_ROUTING_INTERNAL_JOBTASK_H

#include "buckthorndeck/routing/Dispatcher.h"
#include "buckthorndeck/routing/internal/Channel.h"

#include <memory>
#include <optional>

namespace buckthorndeck::routing {

class ServicePool;

/**
 * Runs one job until it has a result.
 *
 * A request is sent again only if the last server answered that it did not
 * start it, or if it is idempotent and the retry budget allows it.
 */
class JobTask {
public:
  JobTask(std::shared_ptr<ServicePool> Pool, Job Request,
          std::shared_ptr<CancelSignal> Signal);

  Task<JobResult> run();

private:
  Task<std::shared_ptr<Channel>> waitForServer();
  Task<std::shared_ptr<Channel>> waitInQueue();
  Task<AttemptResult> attemptOn(Channel &Server);
  Task<> waitForResult(const RequestAttempt &Attempt, TimePoint Until);
  const char *reasonToStop(TimePoint Now) const;
  bool mayRetry(TimePoint Now);
  JobResult notRun() const;
  JobResult unknown(const char *Reason) const;

  std::shared_ptr<ServicePool> Pool;
  Job Request;
  std::shared_ptr<CancelSignal> Signal;
  //! Reason of the result if the job was not run.
  const char *StopReason = nullptr;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_INTERNAL_JOBTASK_H
