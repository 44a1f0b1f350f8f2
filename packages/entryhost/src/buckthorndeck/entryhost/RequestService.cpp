#include "buckthorndeck/entryhost/RequestService.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/entryhost/Metrics.h"
#include "buckthorndeck/net/UdpSocket.h"

#include <gsl/util>

namespace buckthorndeck::entryhost {

namespace {

//! Parts of an answer sent without a pause. The default socket buffers of
//! loopback and of most kernels hold about twice as many.
constexpr std::size_t PartsPerBurst = 32;
constexpr Milliseconds BurstPause{1};

routing::RequestKey keyOf(const wire::Request &Request) {
  return {.Flow = Request.Flow, .Number = Request.Number};
}

routing::JobResult notRunResult(std::string Reason) {
  return {.Result = wire::Outcome::NotRun, .Reason = std::move(Reason)};
}

} // namespace

RequestService::RequestService(HostContext &Context,
                               RequestServiceOptions Options)
    : Context(Context), Options(Options),
      Deduplication({.TokenLifetime = Context.Limits.Lifetime,
                     .TokenGrace = Context.Limits.Grace,
                     .MaxRecords = Options.MaxRequestRecords}),
      RequestEnded(Context.Where) {}

void RequestService::handlePart(const wire::Request &Request,
                                const RequestOrigin &Origin) {
  const routing::RequestKey Key = keyOf(Request);
  if (answerFromRecords(Key, Request, Origin))
    return;
  if (refuseUnrecorded(Request, Origin))
    return;
  std::optional<Bytes> Body = assemble(Key, Request);
  if (Body)
    start(Key, Request, Origin, std::move(*Body));
}

bool RequestService::answerFromRecords(const routing::RequestKey &Key,
                                       const wire::Request &Request,
                                       const RequestOrigin &Origin) {
  const auto Current = Executions.find(Key);
  if (Current != Executions.end()) {
    Current->second.Caller = Origin.Caller;
    if (Request.Attempt > 1)
      sendToCaller(Context, Origin.Caller,
                   wire::Accepted{.Flow = Key.Flow, .Number = Key.Number});
    return true;
  }
  const auto Decision = Deduplication.find(Key, Origin.IssuedAt, Clock::now());
  if (!Decision)
    return false;
  sendAdmissionAnswer(Key, Request.Service, Origin.Caller, *Decision);
  return true;
}

bool RequestService::refuseUnrecorded(const wire::Request &Request,
                                      const RequestOrigin &Origin) {
  if (Origin.Repeatable || Origin.Status == TokenStatus::Valid)
    return false;
  // The request record may have been removed after the request ran.
  const char *Reason = Origin.Status == TokenStatus::Expired ? "token_expired"
                                                             : "home_restarted";
  sendShortAnswer(Context, Origin.Caller, Request.Flow, Request.Number,
                  wire::Outcome::Unknown, Reason);
  return true;
}

std::optional<Bytes> RequestService::assemble(const routing::RequestKey &Key,
                                              const wire::Request &Request) {
  const std::size_t AddedBytes = Request.Part.Body.size();
  if (PartialBytes + AddedBytes > Options.MaxPartialBytes) {
    Context.Meter.countRefused("partial_memory");
    return std::nullopt;
  }
  PartialRequest &Entry = PartialRequests[Key];
  Entry.LastPart = Clock::now();
  PartialBytes -= Entry.Body.receivedBytes();
  const auto AddResult = Entry.Body.add(Request.Part);
  PartialBytes += Entry.Body.receivedBytes();
  if (!AddResult)
    Context.Meter.countRefused("bad_part");
  if (!Entry.Body.complete())
    return std::nullopt;
  const std::size_t Size = Entry.Body.receivedBytes();
  Bytes Body = Entry.Body.take();
  PartialBytes -= Size;
  PartialRequests.erase(Key);
  return Body;
}

void RequestService::removePartialRequest(const routing::RequestKey &Key) {
  const auto Found = PartialRequests.find(Key);
  if (Found == PartialRequests.end())
    return;
  PartialBytes -= Found->second.Body.receivedBytes();
  PartialRequests.erase(Found);
}

std::string RequestService::refusalReason(const wire::Request &Request) const {
  const ServiceEntry *Entry = findService(Context.Services, Request.Service);
  if (!Entry)
    return "unknown_service";
  return accepts(*Entry, Request.Operation) ? "" : "unknown_operation";
}

void RequestService::sendAdmissionAnswer(const routing::RequestKey &Key,
                                         const ServiceAddress &Service,
                                         const UdpEndpoint &Caller,
                                         const routing::Admission &Decision) {
  using Kind = routing::Admission::Kind;
  if (Decision.State == Kind::Finished)
    sendAnswer(Caller, Key, Service, *Decision.Result);
  else if (Decision.State == Kind::IssuedTooEarly)
    sendShortAnswer(Context, Caller, Key.Flow, Key.Number,
                    wire::Outcome::NotRun, "ledger_full");
  else if (Decision.State == Kind::Expired)
    sendShortAnswer(Context, Caller, Key.Flow, Key.Number,
                    wire::Outcome::Unknown, "token_expired");
}

void RequestService::start(const routing::RequestKey &Key,
                           const wire::Request &Request,
                           const RequestOrigin &Origin, Bytes Body) {
  const TimePoint Now = Clock::now();
  const std::string Refusal = refusalReason(Request);
  if (!Refusal.empty()) {
    Context.Meter.countOutcome("none", wire::toString(wire::Outcome::NotRun));
    Context.Meter.countNotRun(Refusal);
    Deduplication.refuse(Key, Origin.IssuedAt, notRunResult(Refusal), Now);
    answerFromRecords(Key, Request, Origin);
    return;
  }
  const routing::Admission Decision =
      Deduplication.admit(Key, Origin.IssuedAt, Now);
  if (Decision.State != routing::Admission::Kind::New)
    return sendAdmissionAnswer(Key, Request.Service, Origin.Caller, Decision);
  auto Signal = routing::makeCancelSignal(Context.Where);
  Executions[Key] = {.Caller = Origin.Caller,
                     .Signal = Signal,
                     .OnlyExecutor = Origin.Status == TokenStatus::Valid};
  routing::Job Job{.Service =
                       findService(Context.Services, Request.Service)->Service,
                   .Address = Request.Service,
                   .Operation = Request.Operation,
                   .Idempotent = Origin.Repeatable,
                   .Deadline = Now + Request.Deadline,
                   .Body = std::move(Body),
                   .Preferred = Origin.Preferred};
  spawn(Context.Where, "request",
        execute(Key, Request.Service, std::move(Job)));
}

Task<> RequestService::execute(routing::RequestKey Key, ServiceAddress Service,
                               routing::Job Job) {
  const TimePoint Begin = Clock::now();
  const std::string ServiceName = Job.Service.value();
  const std::shared_ptr<routing::CancelSignal> Signal = Executions[Key].Signal;
  routing::JobResult Result =
      co_await Context.Servers.run(std::move(Job), Signal);
  if (Result.Result == wire::Outcome::NotRun)
    Context.Meter.countNotRun(Result.Reason);
  // Another host may also have taken the request over and run it.
  if (Result.Result == wire::Outcome::NotRun && !Executions[Key].OnlyExecutor)
    Result.Result = wire::Outcome::Unknown;
  Deduplication.finish(Key, Result, Clock::now());
  const UdpEndpoint Caller = Executions[Key].Caller;
  Executions.erase(Key);
  Context.Meter.countOutcome(ServiceName, wire::toString(Result.Result));
  Context.Meter.observeRequestSeconds(
      ServiceName, std::chrono::duration<double>(Clock::now() - Begin).count());
  sendAnswer(Caller, Key, Service, std::move(Result));
  RequestEnded.notifyAll();
}

void RequestService::sendAnswer(const UdpEndpoint &Caller,
                                const routing::RequestKey &Key,
                                const ServiceAddress &Service,
                                routing::JobResult Result) {
  if (!Sending.insert(Key).second)
    return;
  spawn(Context.Where, "answer",
        sendParts(Caller, Key, Service, std::move(Result)));
}

Task<> RequestService::sendParts(UdpEndpoint Caller, routing::RequestKey Key,
                                 ServiceAddress Service,
                                 routing::JobResult Result) {
  const auto Cleanup = gsl::finally([this, Key] {
    Sending.erase(Key);
    RequestEnded.notifyAll();
  });
  std::vector<wire::BodyPart> Parts = wire::splitBody(Result.Body);
  std::size_t Sent = 0;
  for (wire::BodyPart &Part : Parts) {
    if (Sent > 0 && Sent % PartsPerBurst == 0)
      co_await sleepFor(BurstPause);
    ++Sent;
    const wire::Answer Message{
        .Flow = Key.Flow,
        .Number = Key.Number,
        .Result = Result.Result,
        .Reason = Result.Reason,
        .Token = issueToken(Context, Key.Flow, Service, Result.Server),
        .Lifetime = Context.Limits.Lifetime,
        .Part = std::move(Part)};
    sendToCaller(Context, Caller, Message);
  }
}

void RequestService::handleCancel(const wire::Cancel &Request,
                                  const RequestOrigin &Origin) {
  const routing::RequestKey Key{.Flow = Request.Flow, .Number = Request.Number};
  const auto Current = Executions.find(Key);
  if (Current != Executions.end()) {
    Current->second.Caller = Origin.Caller;
    routing::cancel(*Current->second.Signal);
    return;
  }
  removePartialRequest(Key);
  if (Origin.Status != TokenStatus::Valid) {
    // An earlier process may have run the request, or its record may have been
    // removed after it ran.
    const auto Decision =
        Deduplication.find(Key, Origin.IssuedAt, Clock::now());
    if (Decision)
      sendAdmissionAnswer(Key, Request.Service, Origin.Caller, *Decision);
    else
      sendShortAnswer(Context, Origin.Caller, Key.Flow, Key.Number,
                      wire::Outcome::Unknown, "token_expired");
    return;
  }
  // The record prevents a late copy of the request from running.
  const routing::Admission Decision = Deduplication.refuse(
      Key, Origin.IssuedAt, notRunResult("cancelled"), Clock::now());
  sendAdmissionAnswer(Key, Request.Service, Origin.Caller, Decision);
}

void RequestService::expire() {
  Deduplication.expire(Clock::now());
  const TimePoint Oldest = Clock::now() - Options.PartialTimeout;
  std::erase_if(PartialRequests, [&](const auto &Entry) {
    if (Entry.second.LastPart >= Oldest)
      return false;
    PartialBytes -= Entry.second.Body.receivedBytes();
    return true;
  });
}

Task<> RequestService::waitUntilIdle() {
  while (!Executions.empty() || !Sending.empty())
    co_await RequestEnded.wait();
}

} // namespace buckthorndeck::entryhost
