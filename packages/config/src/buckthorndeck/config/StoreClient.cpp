#include "buckthorndeck/config/StoreClient.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/config/Limits.h"
#include "buckthorndeck/net/HttpClient.h"

#include <algorithm>

namespace buckthorndeck::config {

namespace {

constexpr std::size_t MaxValueBytes = 1024 * 1024;
//! Bound on lists; beyond it the answer is corrupt.
constexpr std::size_t MaxListLength = 100'000;
//! A watch is answered by the store after its wait, so that the client must
//! wait for longer than the store.
constexpr Milliseconds MaxWatchWait{60'000};

std::string keyTarget(const std::string &Key) { return "/v1/kv/" + Key; }

Expected<Json> parseBody(const HttpResponse &Answer, const std::string &Step,
                         const std::string &Peer) {
  Json Body = Json::parse(Answer.Body, nullptr, /*allow_exceptions=*/false);
  if (Body.is_discarded())
    return Unexpected(Error{.Code = ErrorCode::Invalid,
                            .Step = Step,
                            .Peer = Peer,
                            .Message = "the answer is not JSON"});
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

//! Reads every item of the array Name in an answer.
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
            .Name = EntryHostName(Fields.text("name", MaxNameLength, 1)),
            .Region = RegionName(Fields.text("region", MaxNameLength)),
            .FailureDomain =
                FailureDomainName(Fields.text("failure_domain", MaxNameLength)),
            .PeerAddress = Fields.text("peer_address", MaxAddressLength),
            .SyncAddress = Fields.text("sync_address", MaxAddressLength),
            .CallerAddress = Fields.text("caller_address", MaxAddressLength),
            .State = Fields.text("state", MaxNameLength)};
      });
}

//! Whether an answer proves that the store did nothing and may do so later.
bool isOverloaded(unsigned Status) { return Status == 429; }

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

//! One attempt. Unavailable and Refused mean that it had no effect.
Task<Expected<HttpResponse>> StoreClient::attempt(HttpRequest Request,
                                                  Milliseconds Timeout) {
  if (!admitCall(Breaker, Clock::now()))
    co_return Unexpected(
        failure(ErrorCode::Unavailable, Request,
                "the store failed repeatedly and is not called for a while"));
  HttpRequest Sent = Request;
  auto Answer = co_await callHttp(Options.Address, std::move(Sent), Timeout);
  if (!Answer || isServerFailure(Answer->Status))
    recordFailure(Breaker, Clock::now());
  else
    recordSuccess(Breaker);
  if (!Answer)
    co_return Unexpected(Answer.error());
  if (isOverloaded(Answer->Status))
    co_return Unexpected(failure(ErrorCode::Refused, Request,
                                 "the store is over its rate of calls"));
  if (isServerFailure(Answer->Status))
    co_return Unexpected(failure(ErrorCode::Timeout, Request,
                                 "the store failed with status " +
                                     std::to_string(Answer->Status)));
  co_return Answer;
}

Task<bool> StoreClient::pause(unsigned Attempt, TimePoint Deadline) {
  const Milliseconds Delay = backoffDelay(Options.Backoff, Attempt, Engine);
  const TimePoint Now = Clock::now();
  if (Now + Delay >= Deadline || !takeRetry(Budget, Now))
    co_return false;
  co_await sleepFor(Delay);
  co_return true;
}

Task<Expected<HttpResponse>> StoreClient::call(HttpRequest Request, Repeat Mode,
                                               TimePoint Deadline,
                                               Milliseconds AttemptTimeout) {
  recordCall(Budget);
  for (unsigned Attempt = 0;; ++Attempt) {
    const auto Left =
        std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
    if (Left <= Milliseconds(0))
      co_return Unexpected(failure(ErrorCode::Unavailable, Request,
                                   "the deadline passed before the call"));
    auto Answer = co_await attempt(Request, std::min(Left, AttemptTimeout));
    if (Answer)
      co_return Answer;
    const bool WithoutEffect = Answer.error().Code == ErrorCode::Unavailable ||
                               Answer.error().Code == ErrorCode::Refused;
    if (Mode == Repeat::WhenWithoutEffect && !WithoutEffect)
      co_return Answer;
    if (!co_await pause(Attempt, Deadline))
      co_return Answer;
  }
}

Task<Expected<HttpResponse>> StoreClient::read(std::string Target,
                                               TimePoint Deadline) {
  HttpRequest Request{.Method = "GET", .Target = std::move(Target)};
  auto Answer =
      co_await call(Request, Repeat::Always, Deadline, Options.AttemptTimeout);
  if (Answer && Answer->Status != 200 && Answer->Status != 404)
    co_return Unexpected(
        failure(ErrorCode::Refused, Request,
                "unexpected status " + std::to_string(Answer->Status)));
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
StoreClient::watch(std::string Key, std::uint64_t After, Milliseconds Wait) {
  Wait = std::min(Wait, MaxWatchWait);
  HttpRequest Request{.Method = "GET",
                      .Target = "/v1/watch/" + Key +
                                "?after=" + std::to_string(After) +
                                "&wait_ms=" + std::to_string(Wait.count())};
  const Milliseconds Limit = Wait + Options.AttemptTimeout;
  // One attempt only: the caller watches in a loop and decides how to pause.
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
    co_return Unexpected(
        failure(ErrorCode::Refused, Request,
                "unexpected status " + std::to_string(Answer->Status)));
  co_return parseValue(*Answer, "GET " + Request.Target,
                       toString(Options.Address));
}

Task<Expected<SwapResult>> StoreClient::write(HttpRequest Request,
                                              TimePoint Deadline) {
  const auto Answer = co_await call(Request, Repeat::WhenWithoutEffect,
                                    Deadline, Options.AttemptTimeout);
  if (!Answer)
    co_return Unexpected(Answer.error());
  if (Answer->Status == 404 && Request.Method == "DELETE")
    co_return SwapResult{.Written = true};
  if (Answer->Status == 413)
    co_return Unexpected(failure(ErrorCode::Invalid, Request,
                                 "the value is larger than the store allows"));
  if (Answer->Status != 200 && Answer->Status != 409)
    co_return Unexpected(
        failure(ErrorCode::Refused, Request,
                "unexpected status " + std::to_string(Answer->Status)));
  // The write is decided by the status; an unreadable body leaves only its
  // revision unknown.
  const Json Body =
      Json::parse(Answer->Body, nullptr, /*allow_exceptions=*/false);
  SwapResult Result{.Written = Answer->Status == 200};
  if (Body.is_object() && Body.contains("revision") &&
      Body["revision"].is_number_unsigned())
    Result.Revision = Body["revision"].get<std::uint64_t>();
  co_return Result;
}

Task<Expected<SwapResult>> StoreClient::compareAndSwap(std::string Key,
                                                       std::string Value,
                                                       std::uint64_t Expect,
                                                       TimePoint Deadline) {
  const Json Body = {{"value", std::move(Value)}};
  HttpRequest Request{.Method = "PUT",
                      .Target =
                          keyTarget(Key) + "?expect=" + std::to_string(Expect),
                      .Body = Body.dump()};
  co_return co_await write(std::move(Request), Deadline);
}

Task<Expected<SwapResult>>
StoreClient::remove(std::string Key, std::uint64_t Expect, TimePoint Deadline) {
  HttpRequest Request{.Method = "DELETE",
                      .Target =
                          keyTarget(Key) + "?expect=" + std::to_string(Expect)};
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
