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

//! What the fake does with one call.
enum class Fault {
  None,
  Drop,       //!< Closes the connection; the call has no effect.
  LoseAnswer, //!< Carries the call out, then closes the connection.
  Overload,   //!< Answers 429.
  Stale,      //!< Answers a read from the value before the last write.
};

/**
 * The platform's key-value service inside the test process.
 *
 * Decide is asked for the fault of every call, so that a test counts or
 * switches faults itself.
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

  //! Options with short delays, so that retries cost a test no time.
  StoreClientOptions clientOptions(std::uint64_t Seed = 1) const {
    return {.Address = Server.localEndpoint(),
            .Backoff = {.First = Milliseconds(1), .Max = Milliseconds(4)},
            .Retries = {.Max = 1000},
            .Breaker = {.Failures = 1000},
            .RandomSeed = Seed};
  }

  struct Entry {
    std::string Value;
    std::uint64_t Revision = 0;
  };

  std::function<Fault(const HttpRequest &)> Decide;
  //! Awaited before each call is carried out, so that a test can let others
  //! act at exactly this point.
  std::function<Task<>(const HttpRequest &)> Interrupt;
  std::map<std::string, Entry> Entries;
  Json Hosts = Json::array();
  std::vector<HttpRequest> Calls;
  //! Text of every manifest written, in order.
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

  static HttpResponse valueAnswer(const std::map<std::string, Entry> &From,
                                  const std::string &Key) {
    const auto Found = From.find(Key);
    if (Found == From.end())
      return answer(404, Json::object());
    return answer(200, {{"value", Found->second.Value},
                        {"revision", Found->second.Revision}});
  }

  HttpResponse write(const HttpRequest &Request, const std::string &Key) {
    const auto Found = Entries.find(Key);
    const std::uint64_t Held =
        Found == Entries.end() ? 0 : Found->second.Revision;
    if (Request.Method == "DELETE" && Held == 0)
      return answer(404, Json::object());
    if (parameter(Request.Target, "expect") != Held)
      return answer(409, {{"revision", Held}});
    Before = Entries;
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
    if (Interrupt)
      co_await Interrupt(Request);
    const Fault Chosen = Decide ? Decide(Request) : Fault::None;
    if (Chosen == Fault::Drop)
      co_return std::nullopt;
    if (Chosen == Fault::Overload)
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
      Result = valueAnswer(Chosen == Fault::Stale ? Before : Entries,
                           Path.substr(7));
    else
      Result = write(Request, Path.substr(7));
    if (Chosen == Fault::LoseAnswer)
      co_return std::nullopt;
    co_return Result;
  }

  HttpServer Server;
  Notifier Changed;
  std::map<std::string, Entry> Before;
  std::uint64_t LastRevision = 0;
};

//! Runs Work to its end on Context and returns its result.
template <typename T>
T runTask(boost::asio::io_context &Context, Task<T> Work) {
  std::optional<T> Result;
  std::exception_ptr Failure;
  boost::asio::co_spawn(Context, std::move(Work),
                        [&](const std::exception_ptr &Caught, T Value) {
                          Failure = Caught;
                          Result = std::move(Value);
                          Context.stop();
                        });
  Context.restart();
  // The bound turns a hang into a failure.
  Context.run_for(std::chrono::seconds(60));
  if (Failure)
    std::rethrow_exception(Failure);
  if (!Result)
    throw std::runtime_error("the task did not end");
  return std::move(*Result);
}

inline TimePoint soon() { return Clock::now() + std::chrono::seconds(20); }

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_TESTS_FAKESTORE_H
