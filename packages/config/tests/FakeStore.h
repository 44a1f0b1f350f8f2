#ifndef BUCKTHORNDECK_CONFIG_TESTS_FAKESTORE_H
#define BUCKTHORNDECK_CONFIG_TESTS_FAKESTORE_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/config/Manifest.h"
#include "buckthorndeck/config/StoreClient.h"
#include "buckthorndeck/net/HttpServer.h"
#include "buckthorndeck/net/Notifier.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>

namespace buckthorndeck::config {

//! What the fake store does with one call.
enum class Fault {
  None,
  DropRequest,  //!< Closes the connection without executing the call.
  DropResponse, //!< Executes the call, then closes the connection.
  RateLimit,    //!< Answers 429 without executing the call.
  StaleRead,    //!< Answers a read with the value before the last write.
};

/**
 * The platform's key-value service inside the test process.
 *
 * ChooseFault is called for every call and returns the fault to apply, so that
 * a test controls when faults occur.
 */
class FakeStore {
public:
  explicit FakeStore(boost::asio::io_context &Context)
      : Server(*HttpServer::bind(
            Context.get_executor(),
            TcpEndpoint(boost::asio::ip::address_v4::loopback(), 0))),
        Changed(Context.get_executor()) {
    spawn(Context.get_executor(), "fake_store",
          Server.serve([this](HttpRequest Request) {
            return handle(std::move(Request));
          }));
  }

  //! Options with delays of a few ms, so that retries do not slow tests down.
  StoreClientOptions clientOptions(std::uint64_t Seed = 1) const {
    return {.Address = Server.localEndpoint(),
            .Backoff = {.First = Milliseconds(1), .Max = Milliseconds(4)},
            .Retries = {.Max = 1000},
            .Breaker = {.FailureThreshold = 1000},
            .RandomSeed = Seed};
  }

  struct Entry {
    std::string Value;
    std::uint64_t Revision = 0;
  };

  std::function<Fault(const HttpRequest &)> ChooseFault;
  //! Awaited before each call is executed, so that a test can run other clients
  //! at this point.
  std::function<Task<>(const HttpRequest &)> BeforeCall;
  std::map<std::string, Entry> Entries;
  Json Hosts = Json::array();
  std::vector<HttpRequest> Calls;
  //! Text of every manifest written, oldest first.
  std::vector<std::string> Manifests;

  std::size_t shardCount() const {
    std::size_t Count = 0;
    for (const auto &[Key, Value] : Entries)
      Count += Key.starts_with(ShardPrefix) ? 1 : 0;
    return Count;
  }

private:
  static HttpResponse answer(unsigned Status, const Json &Body) {
    return {.Status = Status, .Body = Body.dump()};
  }

  static std::uint64_t parameter(const std::string &Target,
                                 const std::string &Name) {
    const std::size_t At = Target.find(Name + "=");
    return At == std::string::npos
               ? 0
               : std::stoull(Target.substr(At + Name.size() + 1));
  }

  static HttpResponse valueAnswer(const std::map<std::string, Entry> &Values,
                                  const std::string &Key) {
    const auto Found = Values.find(Key);
    if (Found == Values.end())
      return answer(404, Json::object());
    return answer(200, {{"value", Found->second.Value},
                        {"revision", Found->second.Revision}});
  }

  HttpResponse write(const HttpRequest &Request, const std::string &Key) {
    const auto Found = Entries.find(Key);
    const std::uint64_t CurrentRevision =
        Found == Entries.end() ? 0 : Found->second.Revision;
    if (Request.Method == "DELETE" && CurrentRevision == 0)
      return answer(404, Json::object());
    if (parameter(Request.Target, "expect") != CurrentRevision)
      return answer(409, {{"revision", CurrentRevision}});
    PreviousEntries = Entries;
    ++LastRevision;
    if (Request.Method == "DELETE") {
      Entries.erase(Key);
    } else {
      std::string Value = Json::parse(Request.Body).at("value");
      if (Value.size() > 1024 * 1024)
        return answer(413, Json::object());
      if (Key == ManifestKey)
        Manifests.push_back(Value);
      Entries[Key] = {.Value = std::move(Value), .Revision = LastRevision};
    }
    Changed.notifyAll();
    return answer(200, {{"revision", LastRevision}});
  }

  Task<HttpResponse> watch(HttpRequest Request, std::string Key) {
    const std::uint64_t After = parameter(Request.Target, "after");
    const TimePoint Deadline =
        Clock::now() + Milliseconds(parameter(Request.Target, "wait_ms"));
    while (!Entries.contains(Key) || Entries[Key].Revision <= After)
      if (!co_await Changed.waitUntil(Deadline))
        co_return HttpResponse{.Status = 204};
    co_return valueAnswer(Entries, Key);
  }

  HttpResponse list(const std::string &Prefix) {
    Json Keys = Json::array();
    for (const auto &[Key, Value] : Entries)
      if (Key.starts_with(Prefix))
        Keys.push_back({{"key", Key}, {"revision", Value.Revision}});
    return answer(200, {{"keys", Keys}});
  }

  Task<std::optional<HttpResponse>> handle(HttpRequest Request) {
    Calls.push_back(Request);
    if (BeforeCall)
      co_await BeforeCall(Request);
    const Fault ChosenFault = ChooseFault ? ChooseFault(Request) : Fault::None;
    if (ChosenFault == Fault::DropRequest)
      co_return std::nullopt;
    if (ChosenFault == Fault::RateLimit)
      co_return answer(429, Json::object());
    const std::string Path = Request.Target.substr(0, Request.Target.find('?'));
    HttpResponse Result{.Status = 400};
    if (Path == "/v1/hosts")
      Result = answer(200, {{"hosts", Hosts}});
    else if (Path == "/v1/kv")
      Result = list(Request.Target.substr(Request.Target.find('=') + 1));
    else if (Path.starts_with("/v1/watch/"))
      Result = co_await watch(Request, Path.substr(10));
    else if (Request.Method == "GET")
      Result = valueAnswer(ChosenFault == Fault::StaleRead ? PreviousEntries
                                                           : Entries,
                           Path.substr(7));
    else
      Result = write(Request, Path.substr(7));
    if (ChosenFault == Fault::DropResponse)
      co_return std::nullopt;
    co_return Result;
  }

  HttpServer Server;
  Notifier Changed;
  std::map<std::string, Entry> PreviousEntries;
  std::uint64_t LastRevision = 0;
};

//! Runs a coroutine on Context until it ends and returns its result.
template <typename T>
T runTask(boost::asio::io_context &Context, Task<T> Coroutine) {
  std::optional<T> Result;
  std::exception_ptr Failure;
  boost::asio::co_spawn(Context, std::move(Coroutine),
                        [&](const std::exception_ptr &Caught, T Value) {
                          Failure = Caught;
                          Result = std::move(Value);
                          Context.stop();
                        });
  Context.restart();
  // The time limit (60 s) lets a hanging test fail.
  Context.run_for(std::chrono::seconds(60));
  if (Failure)
    std::rethrow_exception(Failure);
  if (!Result)
    throw std::runtime_error("the task did not end within 60 s");
  return std::move(*Result);
}

//! A deadline that no call reaches unless a test fails.
inline TimePoint testDeadline() {
  return Clock::now() + std::chrono::seconds(20);
}

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_TESTS_FAKESTORE_H
