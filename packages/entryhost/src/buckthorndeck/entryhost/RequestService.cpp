#include "buckthorndeck/entryhost/RequestService.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/entryhost/Metrics.h"
#include "buckthorndeck/net/UdpSocket.h"

#include <gsl/util>

namespace buckthorndeck::entryhost {

namespace {

//! Parts sent without a pause. Loopback and most kernels' default socket
//! buffers hold about twice as many.
constexpr std::size_t PartsPerBurst = 32;
constexpr Milliseconds BurstPause{1};

routing::RequestKey keyOf(const wire::Request &Request) {
  return {.Flow = Request.Flow, .Number = Request.Number};
}

routing::JobResult notRun(std::string Reason) {
  return {.Result = wire::Outcome::NotRun, .Reason = std::move(Reason)};
}

} // namespace

RequestService::RequestService(HostContext &Context,
                               RequestServiceOptions Options)
    : Context(Context), Options(Options),
      Records({.TokenLifetime = Context.Limits.Lifetime,
               .TokenGrace = Context.Limits.Grace,
               .MaxRecords = Options.LedgerEntries}),
      Idle(Context.Where) {}

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
  const auto Current = Running.find(Key);
  if (Current != Running.end()) {
    Current->second.Caller = Origin.Caller;
    if (Request.Attempt > 1)
      sendToCaller(Context, Origin.Caller,
                   wire::Accepted{.Flow = Key.Flow, .Number = Key.Number});
    return true;
  }
  const auto Met = Records.find(Key, Origin.IssuedAt, Clock::now());
  if (!Met)
    return false;
  answerAdmission(Key, Request.Service, Origin.Caller, *Met);
  return true;
}

bool RequestService::refuseUnrecorded(const wire::Request &Request,
                                      const RequestOrigin &Origin) {
  if (Origin.Repeatable || Origin.Standing == TokenStanding::MineValid)
    return false;
  // The entry may have been removed after the request ran.
  const char *Reason = Origin.Standing == TokenStanding::MineExpired
                           ? "token_expired"
                           : "home_restarted";
  sendShortAnswer(Context, Origin.Caller, Request.Flow, Request.Number,
                  wire::Outcome::Unknown, Reason);
  return true;
}

std::optional<Bytes> RequestService::assemble(const routing::RequestKey &Key,
                                              const wire::Request &Request) {
  const std::size_t Added = Request.Part.Body.size();
  if (PartialBytes + Added > Options.MaxPartialBytes) {
    Context.Meter.countRefused("partial_memory");
    return std::nullopt;
  }
  Partial &Entry = Partials[Key];
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
  Partials.erase(Key);
  return Body;
}

void RequestService::dropPartial(const routing::RequestKey &Key) {
  const auto Found = Partials.find(Key);
  if (Found == Partials.end())
    return;
  PartialBytes -= Found->second.Body.receivedBytes();
  Partials.erase(Found);
}

std::string RequestService::refusalReason(const wire::Request &Request) const {
  const ServiceEntry *Entry = findService(Context.Services, Request.Service);
  if (!Entry)
    return "unknown_service";
  return accepts(*Entry, Request.Operation) ? "" : "unknown_operation";
}

void RequestService::answerAdmission(const routing::RequestKey &Key,
                                     const ServiceAddress &Service,
                                     const UdpEndpoint &Caller,
                                     const routing::Admission &Met) {
  using Kind = routing::Admission::Kind;
  if (Met.State == Kind::Finished)
    sendAnswer(Caller, Key, Service, *Met.Result);
  else if (Met.State == Kind::IssuedTooEarly)
    sendShortAnswer(Context, Caller, Key.Flow, Key.Number,
                    wire::Outcome::NotRun, "ledger_full");
  else if (Met.State == Kind::Expired)
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
    Records.refuse(Key, Origin.IssuedAt, notRun(Refusal), Now);
    answerFromRecords(Key, Request, Origin);
    return;
  }
  const routing::Admission Met = Records.admit(Key, Origin.IssuedAt, Now);
  if (Met.State != routing::Admission::Kind::New)
    return answerAdmission(Key, Request.Service, Origin.Caller, Met);
  auto Signal = routing::makeCancelSignal(Context.Where);
  Running[Key] = {.Caller = Origin.Caller,
                  .Signal = Signal,
                  .SoleRunner = Origin.Standing == TokenStanding::MineValid};
  routing::Job Work{.Service =
                        findService(Context.Services, Request.Service)->Service,
                    .Operation = Request.Operation,
                    .Idempotent = Origin.Repeatable,
                    .Deadline = Now + Request.Deadline,
                    .Body = std::move(Body),
                    .Preferred = Origin.Preferred};
  spawn(Context.Where, "request",
        execute(Key, Request.Service, std::move(Work)));
}

Task<> RequestService::execute(routing::RequestKey Key, ServiceAddress Service,
                               routing::Job Work) {
  const TimePoint Begin = Clock::now();
  const std::string ServiceName = Work.Service.value();
  const std::shared_ptr<routing::CancelSignal> Signal = Running[Key].Signal;
  routing::JobResult Result =
      co_await Context.Servers.run(std::move(Work), Signal);
  // Another host may have taken the request over too and run it.
  if (Result.Result == wire::Outcome::NotRun && !Running[Key].SoleRunner)
    Result.Result = wire::Outcome::Unknown;
  Records.finish(Key, Result, Clock::now());
  const UdpEndpoint Caller = Running[Key].Caller;
  Running.erase(Key);
  Context.Meter.countOutcome(ServiceName, wire::toString(Result.Result));
  Context.Meter.observeRequestSeconds(
      ServiceName, std::chrono::duration<double>(Clock::now() - Begin).count());
  sendAnswer(Caller, Key, Service, std::move(Result));
  Idle.notifyAll();
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
  const auto Done = gsl::finally([this, Key] {
    Sending.erase(Key);
    Idle.notifyAll();
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
  const auto Current = Running.find(Key);
  if (Current != Running.end()) {
    Current->second.Caller = Origin.Caller;
    routing::cancel(*Current->second.Signal);
    return;
  }
  dropPartial(Key);
  if (Origin.Standing != TokenStanding::MineValid) {
    // An earlier process, or a record that is gone, may have run it.
    const auto Met = Records.find(Key, Origin.IssuedAt, Clock::now());
    if (Met)
      answerAdmission(Key, Request.Service, Origin.Caller, *Met);
    else
      sendShortAnswer(Context, Origin.Caller, Key.Flow, Key.Number,
                      wire::Outcome::Unknown, "token_expired");
    return;
  }
  // The record keeps a late copy of the request from running.
  const routing::Admission Met =
      Records.refuse(Key, Origin.IssuedAt, notRun("cancelled"), Clock::now());
  answerAdmission(Key, Request.Service, Origin.Caller, Met);
}

void RequestService::expire() {
  Records.expire(Clock::now());
  const TimePoint Oldest = Clock::now() - Options.PartialTimeout;
  std::erase_if(Partials, [&](const auto &Item) {
    if (Item.second.LastPart >= Oldest)
      return false;
    PartialBytes -= Item.second.Body.receivedBytes();
    return true;
  });
}

Task<> RequestService::drained() {
  while (!Running.empty() || !Sending.empty())
    co_await Idle.wait();
}

} // namespace buckthorndeck::entryhost
