#include "buckthorndeck/config/StoreClient.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/config/Limits.h"
#include "buckthorndeck/net/HttpClient.h"

#include <algorithm>

namespace buckthorndeck::config {

namespace {

//! Limit on a value, and on a key in a list.
constexpr std::size_t MaxValueBytes = 1024 * 1024;
//! An answer with a longer list is taken for corrupt.
constexpr std::size_t MaxListLength = 100'000;
//! Longest wait that is requested from the store. Without a change the store
//! answers only at the end of this wait, so watch() allows AttemptTimeout on
//! top of it before it gives up.
constexpr Milliseconds MaxWatchWait{60'000};

std::string keyTarget(const std::string &Key) { return "/v1/kv/" + Key; }

Expected<Json> parseBody(const HttpResponse &Answer, const std::string &Step,
                         const std::string &Peer) {
  Json Body = Json::parse(Answer.Body, nullptr, /*allow_exceptions=*/false);
  if (Body.is_discarded())
    return Unexpected(
        Error{.Code = ErrorCode::Invalid,
              .Step = Step,
              .Peer = Peer,
              .Message = "the answer from the store is not JSON"});
  return Body;
}

Expected<std::optional<StoredValue>> parseValue(const HttpResponse &Answer,
                                                const std::string &Step,
                                                const std::string &Peer) {
  const auto Body = parseBody(Answer, Step, Peer);
  if (!Body)
    return Unexpected(Body.error());
  FieldReader Fields(*Body, Step, Peer);
  StoredValue Result{.Value = Fields.text("value", MaxValueBytes),
                     .Revision = Fields.number("revision")};
  if (Fields.failed())
    return Unexpected(Fields.error());
  return Result;
}

//! Parses the array Name of an answer, each item with Read.
template <typename Item, typename Reader>
Expected<std::vector<Item>> parseList(const HttpResponse &Answer,
                                      const char *Name, const std::string &Peer,
                                      Reader Read) {
  const std::string Step = std::string("list ") + Name;
  const auto Body = parseBody(Answer, Step, Peer);
  if (!Body)
    return Unexpected(Body.error());
  FieldReader Fields(*Body, Step, Peer);
  const Json *Items = Fields.array(Name, MaxListLength);
  if (!Items)
    return Unexpected(Fields.error());
  std::vector<Item> Result;
  for (const Json &Value : *Items) {
    FieldReader Inner(Value, Step, Peer);
    Result.push_back(Read(Inner));
    if (Inner.failed())
      return Unexpected(Inner.error());
  }
  return Result;
}

Expected<std::vector<KeyRevision>> parseKeys(const HttpResponse &Answer,
                                             const std::string &Peer) {
  return parseList<KeyRevision>(Answer, "keys", Peer, [](FieldReader &Fields) {
    return KeyRevision{.Key = Fields.text("key", MaxValueBytes),
                       .Revision = Fields.number("revision")};
  });
}

Expected<std::vector<PlatformHost>> parseHosts(const HttpResponse &Answer,
                                               const std::string &Peer) {
  return parseList<PlatformHost>(
      Answer, "hosts", Peer, [](FieldReader &Fields) {
        return PlatformHost{
            .Name = EntryHostName(
                Fields.text("name", MaxNameLength, /*MinLength=*/1)),
            .Region = RegionName(Fields.text("region", MaxNameLength)),
            .FailureDomain =
                FailureDomainName(Fields.text("failure_domain", MaxNameLength)),
            .PeerAddress = Fields.text("peer_address", MaxAddressLength),
            .SyncAddress = Fields.text("sync_address", MaxAddressLength),
            .CallerAddress = Fields.text("caller_address", MaxAddressLength),
            .State = Fields.text("state", MaxNameLength)};
      });
}

//! Whether the store's rate limit refused the call. The call had no effect and
//! can be retried.
bool isRateLimited(unsigned Status) { return Status == 429; }

bool isServerFailure(unsigned Status) { return Status >= 500; }

} // namespace

StoreClient::StoreClient(const StoreClientOptions &Options)
    : Options(Options), Budget(Options.Retries), Breaker(Options.Breaker),
      Engine(Options.RandomSeed) {}

Error StoreClient::failure(ErrorCode Code, const HttpRequest &Request,
                           const std::string &Message) const {
  return Error{.Code = Code,
               .Step = Request.Method + " " + Request.Target,
               .Peer = toString(Options.Address),
               .Message = Message};
}

//! Makes one attempt. It had no effect if it fails with Unavailable or Refused.
Task<Expected<HttpResponse>> StoreClient::attempt(HttpRequest Request,
                                                  Milliseconds Timeout) {
  if (!admitCall(Breaker, Clock::now()))
    co_return Unexpected(failure(
        ErrorCode::Unavailable, Request,
        "not sent: the circuit breaker is open because the store failed "
        "repeatedly"));
  HttpRequest Sent = Request;
  auto Answer = co_await callHttp(Options.Address, std::move(Sent), Timeout);
  if (!Answer || isServerFailure(Answer->Status))
    recordFailure(Breaker, Clock::now());
  else
    recordSuccess(Breaker);
  if (!Answer) {
    Error Failure = Answer.error();
    // As for a missing answer: the call may have had an effect.
    if (Failure.Code == ErrorCode::TooLarge)
      Failure.Code = ErrorCode::Timeout;
    co_return Unexpected(std::move(Failure));
  }
  if (isRateLimited(Answer->Status))
    co_return Unexpected(
        failure(ErrorCode::Refused, Request,
                "the store refused the call: its rate limit for calls is "
                "exceeded"));
  // Timeout, as for a missing answer: the call may have had an effect.
  if (isServerFailure(Answer->Status))
    co_return Unexpected(failure(ErrorCode::Timeout, Request,
                                 "the store failed with status " +
                                     std::to_string(Answer->Status)));
  co_return Answer;
}

Task<bool> StoreClient::waitBeforeRetry(unsigned Attempt, TimePoint Deadline) {
  const Milliseconds Delay = backoffDelay(Options.Backoff, Attempt, Engine);
  const TimePoint Now = Clock::now();
  if (Now + Delay >= Deadline || !takeRetry(Budget, Now))
    co_return false;
  co_await sleepFor(Delay);
  co_return true;
}

Task<Expected<HttpResponse>> StoreClient::call(HttpRequest Request,
                                               RetryMode Mode,
                                               TimePoint Deadline,
                                               Milliseconds AttemptTimeout) {
  recordCall(Budget);
  for (unsigned Attempt = 0;; ++Attempt) {
    const auto Left =
        std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
    if (Left <= Milliseconds(0))
      co_return Unexpected(
          failure(ErrorCode::Unavailable, Request,
                  "the deadline passed before the next attempt was sent"));
    auto Answer = co_await attempt(Request, std::min(Left, AttemptTimeout));
    if (Answer)
      co_return Answer;
    const bool WithoutEffect = Answer.error().Code == ErrorCode::Unavailable ||
                               Answer.error().Code == ErrorCode::Refused;
    if (Mode == RetryMode::OnlyWithoutEffect && !WithoutEffect)
      co_return Answer;
    if (!co_await waitBeforeRetry(Attempt, Deadline))
      co_return Answer;
  }
}

Task<Expected<HttpResponse>> StoreClient::read(std::string Target,
                                               TimePoint Deadline) {
  HttpRequest Request{.Method = "GET", .Target = std::move(Target)};
  auto Answer = co_await call(Request, RetryMode::Always, Deadline,
                              Options.AttemptTimeout);
  if (Answer && Answer->Status != 200 && Answer->Status != 404)
    co_return Unexpected(failure(ErrorCode::Refused, Request,
                                 "expected status 200 or 404, found " +
                                     std::to_string(Answer->Status)));
  co_return Answer;
}

Task<Expected<std::optional<StoredValue>>>
StoreClient::get(std::string Key, TimePoint Deadline) {
  const std::string Target = keyTarget(Key);
  const auto Answer = co_await read(Target, Deadline);
  if (!Answer)
    co_return Unexpected(Answer.error());
  if (Answer->Status == 404)
    co_return std::nullopt;
  co_return parseValue(*Answer, "GET " + Target, toString(Options.Address));
}

Task<Expected<std::optional<StoredValue>>>
StoreClient::watch(std::string Key, std::uint64_t AfterRevision,
                   Milliseconds MaxWait) {
  MaxWait = std::min(MaxWait, MaxWatchWait);
  HttpRequest Request{.Method = "GET",
                      .Target = "/v1/watch/" + Key +
                                "?after=" + std::to_string(AfterRevision) +
                                "&wait_ms=" + std::to_string(MaxWait.count())};
  const Milliseconds Limit = MaxWait + Options.AttemptTimeout;
  // No retry: the caller watches in a loop and chooses the delay itself.
  recordCall(Budget);
  const auto Answer = co_await attempt(Request, Limit);
  if (!Answer)
    co_return Unexpected(Answer.error());
  if (Answer->Status == 204)
    co_return std::nullopt;
  if (Answer->Status == 404)
    co_return Unexpected(
        failure(ErrorCode::NotFound, Request, "the key does not exist"));
  if (Answer->Status != 200)
    co_return Unexpected(failure(ErrorCode::Refused, Request,
                                 "expected status 200, 204 or 404, found " +
                                     std::to_string(Answer->Status)));
  co_return parseValue(*Answer, "GET " + Request.Target,
                       toString(Options.Address));
}

Task<Expected<SwapResult>> StoreClient::write(HttpRequest Request,
                                              TimePoint Deadline) {
  const auto Answer = co_await call(Request, RetryMode::OnlyWithoutEffect,
                                    Deadline, Options.AttemptTimeout);
  if (!Answer)
    co_return Unexpected(Answer.error());
  // A key that does not exist counts as removed.
  if (Answer->Status == 404 && Request.Method == "DELETE")
    co_return SwapResult{.Written = true};
  if (Answer->Status == 413)
    co_return Unexpected(
        failure(ErrorCode::Invalid, Request,
                "the store refused the value because of its size"));
  if (Answer->Status != 200 && Answer->Status != 409)
    co_return Unexpected(failure(ErrorCode::Refused, Request,
                                 "expected status 200 or 409, found " +
                                     std::to_string(Answer->Status)));
  // The status shows whether the write took effect. If the body is malformed,
  // only the revision is unknown.
  const Json Body =
      Json::parse(Answer->Body, nullptr, /*allow_exceptions=*/false);
  SwapResult Result{.Written = Answer->Status == 200};
  if (Body.is_object() && Body.contains("revision") &&
      Body["revision"].is_number_unsigned())
    Result.Revision = Body["revision"].get<std::uint64_t>();
  co_return Result;
}

Task<Expected<SwapResult>>
StoreClient::compareAndSwap(std::string Key, std::string Value,
                            std::uint64_t ExpectedRevision,
                            TimePoint Deadline) {
  const Json Body = {{"value", std::move(Value)}};
  HttpRequest Request{.Method = "PUT",
                      .Target = keyTarget(Key) +
                                "?expect=" + std::to_string(ExpectedRevision),
                      .Body = Body.dump()};
  co_return co_await write(std::move(Request), Deadline);
}

Task<Expected<SwapResult>> StoreClient::remove(std::string Key,
                                               std::uint64_t ExpectedRevision,
                                               TimePoint Deadline) {
  HttpRequest Request{.Method = "DELETE",
                      .Target = keyTarget(Key) +
                                "?expect=" + std::to_string(ExpectedRevision)};
  co_return co_await write(std::move(Request), Deadline);
}

Task<Expected<std::vector<KeyRevision>>> StoreClient::list(std::string Prefix,
                                                           TimePoint Deadline) {
  const auto Answer = co_await read("/v1/kv?prefix=" + Prefix, Deadline);
  if (!Answer)
    co_return Unexpected(Answer.error());
  co_return parseKeys(*Answer, toString(Options.Address));
}

Task<Expected<std::vector<PlatformHost>>>
StoreClient::hosts(TimePoint Deadline) {
  const auto Answer = co_await read("/v1/hosts", Deadline);
  if (!Answer)
    co_return Unexpected(Answer.error());
  co_return parseHosts(*Answer, toString(Options.Address));
}

} // namespace buckthorndeck::config
