#include "buckthorndeck/routing/internal/JobTask.h"

#include "buckthorndeck/routing/internal/CancelSignal.h"
#include "buckthorndeck/routing/internal/ServicePool.h"

#include <algorithm>
#include <gsl/util>

namespace buckthorndeck::routing {

namespace {

//! After a cancel the server's answer may still prove that nothing started.
constexpr Milliseconds CancelAnswerTime{250};

JobResult doneResult(RunReply Reply, const Channel &Server) {
  return JobResult{.Result =
                       Reply.Ok ? wire::Outcome::Ok : wire::Outcome::Failed,
                   .Reason = Reply.Ok ? "" : "server_error",
                   .Body = std::move(Reply.Body),
                   .Server = Server.affinity()};
}

} // namespace

JobTask::JobTask(std::shared_ptr<ServicePool> Pool, Job Work,
                 std::shared_ptr<CancelSignal> Signal)
    : Pool(std::move(Pool)), Work(std::move(Work)), Signal(std::move(Signal)) {}

Task<JobResult> JobTask::run() {
  ++Pool->counters().Jobs;
  recordRequest(Pool->Budget);
  while (true) {
    const std::shared_ptr<Channel> Server = co_await waitForServer();
    if (!Server)
      co_return notRun();
    RunReply Reply = co_await runAt(*Server);
    if (Reply.End == RunReply::Kind::Done)
      co_return doneResult(std::move(Reply), *Server);
    if (Reply.End == RunReply::Kind::NotStarted)
      continue;
    if (!mayRetry(Clock::now()))
      co_return unknown(Reply.End == RunReply::Kind::Lost ? "connection_lost"
                                                          : "given_up");
  }
}

const char *JobTask::reasonToStop(TimePoint Now) const {
  if (Signal->Cancelled)
    return "cancelled";
  if (Pool->isStopped())
    return "stopping";
  if (Now >= Work.Deadline)
    return "deadline";
  if (!Pool->hasServers())
    return "no_server";
  return nullptr;
}

Task<std::shared_ptr<Channel>> JobTask::waitForServer() {
  const TimePoint Now = Clock::now();
  StopReason = reasonToStop(Now);
  if (StopReason)
    co_return nullptr;
  if (Pool->Queue.empty())
    if (auto Server = Pool->choose(Work.Preferred, Now))
      co_return Server;
  if (Pool->Queue.size() >= Pool->Limits.MaxQueued) {
    ++Pool->counters().QueueFull;
    StopReason = "queue_full";
    co_return nullptr;
  }
  co_return co_await waitInQueue();
}

Task<std::shared_ptr<Channel>> JobTask::waitInQueue() {
  const auto Waiting = Pool->Queue.add(Work.Deadline, Signal);
  const auto Leave = gsl::finally([&] {
    Pool->Queue.remove(Waiting);
    Pool->Queue.wakeFirst();
  });
  while (true) {
    const TimePoint Now = Clock::now();
    StopReason = reasonToStop(Now);
    if (StopReason)
      co_return nullptr;
    const bool First = Pool->Queue.isFirst(Waiting);
    if (First)
      if (auto Server = Pool->choose(Work.Preferred, Now))
        co_return Server;
    if (!canMeetDeadline(Pool->queueView(Waiting, Now), Work.Deadline, Now)) {
      ++Pool->counters().Shed;
      StopReason = "deadline_cannot_be_met";
      co_return nullptr;
    }
    const TimePoint Until = First ? Pool->nextAttemptTime(Now) : Work.Deadline;
    co_await Signal->Changed.waitUntil(std::min(Until, Work.Deadline));
  }
}

Task<RunReply> JobTask::runAt(Channel &Server) {
  const auto Run = Server.run(Work, Clock::now(), Signal);
  if (!Run)
    co_return RunReply{.End = RunReply::Kind::NotStarted};
  ++Pool->InFlight;
  const auto Leave = gsl::finally([&] {
    --Pool->InFlight;
    Pool->Queue.wakeFirst();
  });
  co_await waitForReply(*Run, Work.Deadline);
  if (!Run->Reply)
    Server.abandon(Run, /*Overrun=*/!Signal->Cancelled);
  if (!Run->Reply && Signal->Cancelled) {
    const TimePoint Limit = Clock::now() + CancelAnswerTime;
    co_await waitForReply(*Run, std::min(Limit, Work.Deadline));
  }
  co_return Run->Reply.value_or(RunReply{.End = RunReply::Kind::GivenUp});
}

Task<> JobTask::waitForReply(const ActiveRun &Run, TimePoint Until) {
  const bool WasCancelled = Signal->Cancelled;
  while (!Run.Reply && Clock::now() < Until &&
         Signal->Cancelled == WasCancelled)
    co_await Signal->Changed.waitUntil(Until);
}

bool JobTask::mayRetry(TimePoint Now) {
  if (!Work.Idempotent || reasonToStop(Now))
    return false;
  const bool Granted = takeRetry(Pool->Budget, Now);
  ++(Granted ? Pool->counters().Retries : Pool->counters().RetriesDenied);
  return Granted;
}

JobResult JobTask::notRun() const {
  return JobResult{.Result = wire::Outcome::NotRun, .Reason = StopReason};
}

JobResult JobTask::unknown(const char *Reason) const {
  const char *Cause = Signal->Cancelled               ? "cancelled"
                      : Clock::now() >= Work.Deadline ? "deadline"
                                                      : Reason;
  return JobResult{.Result = wire::Outcome::Unknown, .Reason = Cause};
}

} // namespace buckthorndeck::routing
