#include "buckthorndeck/routing/internal/JobTask.h"

#include "buckthorndeck/routing/internal/CancelSignal.h"
#include "buckthorndeck/routing/internal/ServicePool.h"

#include <algorithm>
#include <gsl/util>
#include <string_view>

namespace buckthorndeck::routing {

namespace {

//! After a cancel, waits this long for the server's answer, which may show that
//! the request was never started.
constexpr Milliseconds CancelReplyTimeout{250};

JobResult doneResult(AttemptResult Result, const Channel &Server) {
  return JobResult{.Result =
                       Result.Ok ? wire::Outcome::Ok : wire::Outcome::Failed,
                   .Reason = Result.Ok ? "" : "server_error",
                   .Body = std::move(Result.Body),
                   .Server = Server.affinity()};
}

} // namespace

JobTask::JobTask(std::shared_ptr<ServicePool> Pool, Job Request,
                 std::shared_ptr<CancelSignal> Signal)
    : Pool(std::move(Pool)), Request(std::move(Request)),
      Signal(std::move(Signal)) {}

Task<JobResult> JobTask::run() {
  ++Pool->counters().Jobs;
  recordRequest(Pool->Budget);
  while (true) {
    const std::shared_ptr<Channel> Server = co_await waitForServer();
    if (!Server)
      co_return notRun();
    AttemptResult Result = co_await attemptOn(*Server);
    if (Result.Ending == AttemptResult::Kind::Done)
      co_return doneResult(std::move(Result), *Server);
    if (Result.Ending == AttemptResult::Kind::NotStarted)
      continue;
    if (!mayRetry(Clock::now()))
      co_return unknown(Result.Ending == AttemptResult::Kind::ConnectionLost
                            ? "connection_lost"
                            : "given_up");
  }
}

const char *JobTask::reasonToStop(TimePoint Now) const {
  if (Signal->Cancelled)
    return "cancelled";
  if (Now >= Request.Deadline)
    return "deadline";
  if (Request.Address && Request.Address != Pool->Address)
    return "address_moved";
  return Pool->refusalReason();
}

Task<std::shared_ptr<Channel>> JobTask::waitForServer() {
  const TimePoint Now = Clock::now();
  StopReason = reasonToStop(Now);
  if (StopReason)
    co_return nullptr;
  const Arrival Decided =
      Pool->decideArrival(Request.Preferred, Now, Pool->random());
  if (Decided.Action == ArrivalAction::Waits)
    co_return co_await waitInQueue();
  if (Decided.Action == ArrivalAction::Refused) {
    // The other reasons were checked above.
    ++Pool->counters().JobsRefusedQueueFull;
    StopReason = Decided.Reason;
  }
  co_return Decided.Server;
}

Task<std::shared_ptr<Channel>> JobTask::waitInQueue() {
  const auto Waiting = Pool->Queue.add(Request.Deadline, Signal);
  const auto OnExit = gsl::finally([&] {
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
      if (auto Server = Pool->choose(Request.Preferred, Now))
        co_return Server;
    if (!canMeetDeadline(Pool->queueState(Waiting, Now), Request.Deadline,
                         Now)) {
      ++Pool->counters().JobsShed;
      StopReason = "deadline_cannot_be_met";
      co_return nullptr;
    }
    const TimePoint Until =
        First ? Pool->nextAttemptTime(Now) : Request.Deadline;
    co_await Signal->Changed.waitUntil(std::min(Until, Request.Deadline));
  }
}

Task<AttemptResult> JobTask::attemptOn(Channel &Server) {
  const auto Attempt = Server.sendRequest(Request, Clock::now(), Signal);
  if (!Attempt)
    co_return AttemptResult{.Ending = AttemptResult::Kind::NotStarted};
  ++Pool->InFlight;
  const auto OnExit = gsl::finally([&] {
    --Pool->InFlight;
    Pool->Queue.wakeFirst();
  });
  co_await waitForResult(*Attempt, Request.Deadline);
  if (!Attempt->Result)
    Server.abandon(Attempt, /*DeadlineOverrun=*/!Signal->Cancelled);
  if (!Attempt->Result && Signal->Cancelled) {
    const TimePoint Limit = Clock::now() + CancelReplyTimeout;
    co_await waitForResult(*Attempt, std::min(Limit, Request.Deadline));
  }
  co_return Attempt->Result.value_or(
      AttemptResult{.Ending = AttemptResult::Kind::Aborted});
}

Task<> JobTask::waitForResult(const RequestAttempt &Attempt, TimePoint Until) {
  const bool WasCancelled = Signal->Cancelled;
  while (!Attempt.Result && Clock::now() < Until &&
         Signal->Cancelled == WasCancelled)
    co_await Signal->Changed.waitUntil(Until);
}

bool JobTask::mayRetry(TimePoint Now) {
  if (!Request.Idempotent || reasonToStop(Now))
    return false;
  const bool Granted = takeRetry(Pool->Budget, Now);
  ++(Granted ? Pool->counters().Retries : Pool->counters().RetriesDenied);
  return Granted;
}

JobResult JobTask::notRun() const {
  if (std::string_view(StopReason) == EvacuatedReason)
    ++Pool->counters().JobsRefusedEvacuated;
  return JobResult{.Result = wire::Outcome::NotRun, .Reason = StopReason};
}

JobResult JobTask::unknown(const char *Reason) const {
  const char *Cause = Signal->Cancelled                  ? "cancelled"
                      : Clock::now() >= Request.Deadline ? "deadline"
                                                         : Reason;
  return JobResult{.Result = wire::Outcome::Unknown, .Reason = Cause};
}

} // namespace buckthorndeck::routing
