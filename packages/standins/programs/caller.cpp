#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/standins/CallerSettings.h"
#include "buckthorndeck/standins/GeneratedBody.h"
#include "buckthorndeck/standins/Program.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <csignal>
#include <iostream>

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

//! What the tasks of one program run share.
struct Session {
  Session(const Executor &Where, CallPlan Plan, Caller Flow,
          std::string Service)
      : Plan(std::move(Plan)), Flow(std::move(Flow)),
        Service(std::move(Service)), Changed(Where),
        Signals(Where, SIGTERM, SIGINT) {}

  CallPlan Plan;
  Caller Flow;
  std::string Service;
  Notifier Changed;
  boost::asio::signal_set Signals;
  std::size_t NextCall = 0;
  std::uint32_t Repeated = 0; //!< Times that the next call was started.
  unsigned Running = 0;       //!< Tasks that have not ended.
  bool AsExpected = true;
  bool Interrupted = false;
};

void print(std::initializer_list<LogField> Fields) {
  std::cout << formatFields(Fields) << std::endl;
}

void report(Session &Shared, const PlannedCall &Planned,
            const CallResult &Result) {
  const std::string Outcome = wire::toString(Result.Result);
  const bool DigestOk = !Planned.Answer || Result.Result != wire::Outcome::Ok ||
                        Result.Body == *Planned.Answer;
  const bool Expected =
      DigestOk && std::find(Planned.Outcomes.begin(), Planned.Outcomes.end(),
                            Outcome) != Planned.Outcomes.end();
  Shared.AsExpected = Shared.AsExpected && Expected;
  print({{"service", Shared.Service},
         {"operation", Planned.Request.Operation},
         {"outcome", Outcome},
         {"bytes", Result.Body.size()},
         {"digest_ok", DigestOk},
         {"time_ms", Result.Elapsed.count()},
         {"attempts", Result.Attempts},
         {"reopens", Result.Reopens},
         {"expected", Expected},
         {"reason", Result.Reason}});
}

void finishTask(Session &Shared) {
  --Shared.Running;
  Shared.Changed.notifyAll();
}

//! Takes calls from the list until none is left.
Task<> runCalls(std::shared_ptr<Session> Shared) {
  while (!Shared->Interrupted && Shared->NextCall < Shared->Plan.Calls.size()) {
    const PlannedCall &Planned = Shared->Plan.Calls[Shared->NextCall];
    if (++Shared->Repeated >= Planned.Repeat) {
      Shared->Repeated = 0;
      ++Shared->NextCall;
    }
    CallRequest Request = Planned.Request;
    const CallResult Result = co_await Shared->Flow.call(std::move(Request));
    if (!Shared->Interrupted)
      report(*Shared, Planned, Result);
  }
  finishTask(*Shared);
}

//! Receives the planned number of events and checks each.
Task<> runSubscription(std::shared_ptr<Session> Shared) {
  const PlannedSubscription &Planned = *Shared->Plan.Subscription;
  const TimePoint Begin = Clock::now();
  const auto BodiesOk = std::make_shared<bool>(true);
  const auto Total = std::make_shared<std::size_t>(0);
  SubscribeRequest Request{.Operation = Planned.Operation,
                           .After = Planned.After};
  Request.OnEvent = [=](Sequence Number, const Bytes &Body) {
    *BodiesOk = *BodiesOk && Body == eventBody(Planned.Operation, Number);
    *Total += Body.size();
    Shared->Changed.notifyAll();
  };
  Shared->Flow.subscribe(std::move(Request));
  const SubscriptionStatus &Status = Shared->Flow.subscription();
  const TimePoint Deadline = Begin + Planned.Deadline;
  while (!Shared->Interrupted && Status.Delivered < Planned.Events &&
         Clock::now() < Deadline)
    co_await Shared->Changed.waitUntil(Deadline);
  const bool Complete = Status.Delivered >= Planned.Events;
  const bool Expected = Complete && *BodiesOk && Status.Gaps == 0;
  Shared->AsExpected = Shared->AsExpected && Expected;
  print(
      {{"service", Shared->Service},
       {"operation", Planned.Operation},
       {"outcome", Complete ? "ok" : "incomplete"},
       {"bytes", *Total},
       {"digest_ok", *BodiesOk},
       {"time_ms",
        std::chrono::duration_cast<Milliseconds>(Clock::now() - Begin).count()},
       {"events", Status.Delivered},
       {"duplicates", Status.Duplicates},
       {"gaps", Status.Gaps},
       {"expected", Expected}});
  Shared->Flow.unsubscribe();
  finishTask(*Shared);
}

Task<> interruptOnSignal(std::shared_ptr<Session> Shared) {
  const int Number = co_await nextSignal(Shared->Signals);
  if (Number == 0)
    co_return;
  Shared->Interrupted = true;
  Shared->Flow.cancelCalls();
  Shared->Flow.stop();
  Shared->Changed.notifyAll();
}

Task<int> serve(Json Settings) {
  const Executor Where = co_await boost::asio::this_coro::executor;
  auto Started = Caller::start(Where, readCallerOptions(Settings));
  if (!Started) {
    log(LogLevel::Error, "start_failed",
        {{"error", describe(Started.error())}});
    co_return 1;
  }
  const Json Addresses = {{"caller", toString(Started->endpoint())}};
  if (const auto Ready = announceReady(Settings, Addresses); !Ready) {
    log(LogLevel::Error, "start_failed", {{"error", describe(Ready.error())}});
    co_return 1;
  }
  auto Shared = std::make_shared<Session>(
      Where, readCallPlan(Settings), std::move(*Started), Settings["service"]);
  spawn(Where, "signals", interruptOnSignal(Shared));
  Shared->Running = Shared->Plan.Parallel;
  for (std::uint32_t Index = 0; Index < Shared->Plan.Parallel; ++Index)
    spawn(Where, "calls", runCalls(Shared));
  if (Shared->Plan.Subscription) {
    ++Shared->Running;
    spawn(Where, "subscription", runSubscription(Shared));
  }
  while (Shared->Running > 0)
    co_await Shared->Changed.wait();
  co_return Shared->AsExpected && !Shared->Interrupted ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  return runProgram(Argc, Argv,
                    {.Name = "standin-caller",
                     .Summary = "Stand-in for a caller. Runs a list of calls "
                                "and exits with 0 if all were as expected.",
                     .Schema = callerSchema()},
                    serve);
}
