#include "Harness.h"
#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/net/HttpClient.h"
#include "buckthorndeck/standins/Platform.h"
#include "buckthorndeck/standins/PlatformSettings.h"

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

constexpr Milliseconds CallLimit{30'000};
//! Stands for a connection that was closed without an answer.
constexpr unsigned NoAnswer = 0;

struct Service {
  explicit Service(World &In, PlatformOptions Options = {})
      : In(In), Store(Platform::start(In.where(), std::move(Options)).value()) {
  }

  Task<Expected<HttpResponse>> start(const std::string &Method,
                                     const std::string &Target,
                                     const Json &Body = nullptr) {
    return callHttp(Store.endpoint(),
                    {.Method = Method,
                     .Target = Target,
                     .Body = Body.is_null() ? "" : Body.dump()},
                    CallLimit);
  }

  HttpResponse call(const std::string &Method, const std::string &Target,
                    const Json &Body = nullptr) {
    const auto Answer = In.run(start(Method, Target, Body));
    return Answer ? *Answer : HttpResponse{.Status = NoAnswer};
  }

  World &In;
  Platform Store;
};

//! One call of a conversation and what must come back.
struct Step {
  const char *Method;
  const char *Target;
  Json Body;
  unsigned Status;
  Json Answer; //!< Not checked if null.
};

void converse(Service &With, const std::vector<Step> &Steps) {
  for (const Step &Next : Steps) {
    const HttpResponse Answer = With.call(Next.Method, Next.Target, Next.Body);
    INFO(Next.Method << " " << Next.Target << " answered " << Answer.Status
                     << " " << Answer.Body);
    CHECK(Answer.Status == Next.Status);
    if (!Next.Answer.is_null())
      CHECK(Json::parse(Answer.Body, nullptr, false) == Next.Answer);
  }
}

Json host(const std::string &Name, const std::string &State) {
  return {{"name", Name},
          {"region", "doo-central"},
          {"failure_domain", "ebetsu"},
          {"peer_address", "127.0.0.1:1"},
          {"sync_address", "127.0.0.1:2"},
          {"caller_address", "127.0.0.1:3"},
          {"state", State}};
}

//! Result of a call that runs beside the test.
using Beside = std::shared_ptr<std::optional<Expected<HttpResponse>>>;

Task<> keep(Task<Expected<HttpResponse>> Call, Beside Result) {
  *Result = co_await std::move(Call);
}

Beside startBeside(Service &With, const std::string &Target) {
  auto Result = std::make_shared<std::optional<Expected<HttpResponse>>>();
  spawn(With.In.where(), "beside", keep(With.start("GET", Target), Result));
  return Result;
}

} // namespace

TEST_CASE("Keys are written by compare-and-swap and listed by prefix",
          "[platform]") {
  // Guards against a store that lets two publishers both win a version.
  World In;
  Service With(In);
  converse(With,
           {{"GET", "/v1/kv/config/manifest", nullptr, 404, nullptr},
            {"PUT",
             "/v1/kv/config/manifest?expect=0",
             {{"value", "a"}},
             200,
             {{"revision", 1}}},
            {"PUT",
             "/v1/kv/config/manifest?expect=0",
             {{"value", "b"}},
             409,
             {{"revision", 1}}},
            {"GET",
             "/v1/kv/config/manifest",
             nullptr,
             200,
             {{"value", "a"}, {"revision", 1}}},
            {"PUT",
             "/v1/kv/config/manifest?expect=1",
             {{"value", "b"}},
             200,
             {{"revision", 2}}},
            {"PUT",
             "/v1/kv/config/shard/2/op%20x/0",
             {{"value", "s"}},
             200,
             {{"revision", 3}}},
            {"GET",
             "/v1/kv?prefix=config/shard/",
             nullptr,
             200,
             {{"keys", {{{"key", "config/shard/2/op x/0"}, {"revision", 3}}}}}},
            {"DELETE",
             "/v1/kv/config/manifest?expect=1",
             nullptr,
             409,
             {{"revision", 2}}},
            {"DELETE",
             "/v1/kv/config/manifest?expect=2",
             nullptr,
             200,
             {{"revision", 4}}},
            {"DELETE", "/v1/kv/config/manifest", nullptr, 404, nullptr},
            // A key that is made again never repeats a revision.
            {"PUT",
             "/v1/kv/config/manifest?expect=0",
             {{"value", "c"}},
             200,
             {{"revision", 5}}}});
}

TEST_CASE("Malformed calls are refused without effect", "[platform]") {
  World In;
  Service With(In, {.MaxValueBytes = 4});
  converse(
      With,
      {{"PUT", "/v1/kv/k", {{"value", 7}}, 400, nullptr},
       {"PUT", "/v1/kv/k", "text", 400, nullptr},
       {"PUT", "/v1/kv/k?expect=x", {{"value", "a"}}, 400, nullptr},
       {"PUT", "/v1/kv/k", {{"value", "12345"}}, 413, nullptr},
       {"PUT", "/v1/kv/k", {{"value", "a"}, {"lease", "no"}}, 404, nullptr},
       {"GET", "/v1/kv/", nullptr, 404, nullptr},
       {"GET", "/v1/watch/k?after=-1", nullptr, 400, nullptr},
       {"POST", "/v1/leases", {{"ttl_ms", 0}}, 400, nullptr},
       {"PUT", "/v1/hosts", {{"hosts", {{{"name", "a"}}}}}, 400, nullptr},
       {"PUT", "/v1/admin/faults", {{"stale_reads", -1}}, 400, nullptr},
       {"GET", "/v1/kv/k", nullptr, 404, nullptr}});
}

TEST_CASE("A value of 1 MB fits and a longer one does not", "[platform]") {
  World In;
  Service With(In);
  const std::string Whole(1024 * 1024, 'x');
  CHECK(With.call("PUT", "/v1/kv/k", {{"value", Whole}}).Status == 200);
  CHECK(With.call("PUT", "/v1/kv/k", {{"value", Whole + "x"}}).Status == 413);
  CHECK(With.Store.value("k") == Whole);
}

TEST_CASE("A watch answers when its key gets a higher revision", "[platform]") {
  World In;
  Service With(In);
  With.Store.put("k", "a");
  converse(With,
           {{"GET",
             "/v1/watch/k?after=0&wait_ms=60000",
             nullptr,
             200,
             {{"value", "a"}, {"revision", 1}}},
            {"GET", "/v1/watch/k?after=1&wait_ms=0", nullptr, 204, nullptr}});
  const Beside Waiting = startBeside(With, "/v1/watch/k?after=1&wait_ms=60000");
  In.run(With.Store.waitForWatches(1));
  With.Store.put("other", "x");
  CHECK(With.Store.waitingWatches() == 1);
  With.Store.put("k", "b");
  In.runUntil([&] { return Waiting->has_value(); });
  REQUIRE(**Waiting);
  CHECK(Json::parse((**Waiting)->Body) ==
        Json({{"value", "b"}, {"revision", 3}}));
}

TEST_CASE("A lease that ends takes its keys with it", "[platform]") {
  // Guards against a holder whose key stays after its lease has lapsed.
  World In;
  Service With(In);
  converse(With, {{"POST",
                   "/v1/leases",
                   {{"ttl_ms", 3'600'000}},
                   200,
                   {{"id", "lease-1"}}},
                  {"PUT",
                   "/v1/kv/lock",
                   {{"value", "a"}, {"lease", "lease-1"}},
                   200,
                   nullptr},
                  {"PUT", "/v1/leases/lease-1", nullptr, 200, nullptr}});
  CHECK(With.Store.value("lock") == "a");
  CHECK(With.Store.expireLease("lease-1"));
  converse(With, {{"GET", "/v1/kv/lock", nullptr, 404, nullptr},
                  {"PUT", "/v1/leases/lease-1", nullptr, 404, nullptr},
                  {"DELETE", "/v1/leases/lease-1", nullptr, 404, nullptr},
                  {"POST", "/v1/leases", {{"ttl_ms", 1}}, 200, nullptr}});
  // The second lease runs out by itself.
  In.runUntil([&] { return With.Store.leases() == 0; });
}

TEST_CASE("A new host list is visible after its lag", "[platform]") {
  const Json Old = Json::array({host("a", "live")});
  const Json New = Json::array({host("a", "leaving"), host("b", "live")});
  World In;
  Service With(In, {.Hosts = Old, .HostsLag = Milliseconds(3'600'000)});
  converse(With, {{"PUT", "/v1/hosts", {{"hosts", New}}, 200, nullptr},
                  {"GET", "/v1/hosts", nullptr, 200, {{"hosts", Old}}}});
  With.Store.publishHosts();
  converse(With, {{"GET", "/v1/hosts", nullptr, 200, {{"hosts", New}}}});
  Service Prompt(In);
  converse(Prompt, {{"PUT", "/v1/hosts", {{"hosts", New}}, 200, nullptr},
                    {"GET", "/v1/hosts", nullptr, 200, {{"hosts", New}}}});
}

TEST_CASE("Calls beyond the limits are refused and counted", "[platform]") {
  World In;
  // So low that no second call is earned while the test runs.
  Service With(In, {.WritesPerSecond = 0.0001, .ReadsPerSecond = 0.0001});
  converse(With,
           {{"PUT", "/v1/kv/k", {{"value", "a"}}, 200, nullptr},
            {"PUT", "/v1/kv/k", {{"value", "b"}}, 429, nullptr},
            {"GET", "/v1/watch/k?after=0", nullptr, 200, nullptr},
            {"GET", "/v1/kv/k", nullptr, 429, nullptr},
            {"GET", "/v1/hosts", nullptr, 200, nullptr},
            {"GET",
             "/v1/admin/calls",
             nullptr,
             200,
             {{"calls",
               {{"kv_put", 2}, {"watch", 1}, {"kv_get", 1}, {"hosts_get", 1}}},
              {"limited", 2}}}});
}

TEST_CASE("A lost answer leaves the write in effect", "[platform]") {
  World In;
  Service With(In);
  converse(
      With,
      {{"PUT", "/v1/admin/faults", {{"lose_write_answers", 2}}, 200, nullptr},
       // A write without effect does not use up the fault.
       {"PUT", "/v1/kv/k?expect=9", {{"value", "a"}}, 409, nullptr},
       {"PUT", "/v1/kv/k", {{"value", "a"}}, NoAnswer, nullptr},
       {"GET", "/v1/kv/k", nullptr, 200, {{"value", "a"}, {"revision", 1}}},
       {"DELETE", "/v1/kv/k", nullptr, NoAnswer, nullptr},
       {"GET", "/v1/kv/k", nullptr, 404, nullptr},
       {"PUT", "/v1/kv/k", {{"value", "b"}}, 200, nullptr}});
}

TEST_CASE("Stale reads answer the state before the last write", "[platform]") {
  World In;
  Service With(In);
  With.Store.put("k", "a");
  With.Store.put("k", "b");
  With.Store.put("new", "x");
  converse(
      With,
      {{"PUT", "/v1/admin/faults", {{"stale_reads", 2}}, 200, nullptr},
       {"GET", "/v1/kv/k", nullptr, 200, {{"value", "a"}, {"revision", 1}}},
       {"GET", "/v1/kv/new", nullptr, 404, nullptr},
       {"GET", "/v1/kv/k", nullptr, 200, {{"value", "b"}, {"revision", 2}}}});
}

TEST_CASE("A missed watch event is seen only with the next one", "[platform]") {
  World In;
  Service With(In);
  With.Store.put("k", "a");
  With.Store.setFaults({.MissedWatchEvents = 1});
  // Nobody watches, so this event cannot be missed.
  With.Store.put("k", "b");
  CHECK(With.Store.faults().MissedWatchEvents == 1);
  const Beside Waiting = startBeside(With, "/v1/watch/k?after=2&wait_ms=60000");
  In.run(With.Store.waitForWatches(1));
  With.Store.put("k", "c");
  // The watch is still there after a whole call beside it.
  converse(
      With,
      {{"GET", "/v1/kv/k", nullptr, 200, {{"value", "c"}, {"revision", 3}}}});
  CHECK(With.Store.waitingWatches() == 1);
  With.Store.put("k", "d");
  In.runUntil([&] { return Waiting->has_value(); });
  REQUIRE(**Waiting);
  CHECK(Json::parse((**Waiting)->Body)["revision"] == 4);
}

TEST_CASE("An outage closes connections, waiting watches included",
          "[platform]") {
  World In;
  Service With(In);
  const Beside Waiting = startBeside(With, "/v1/watch/k?after=0&wait_ms=60000");
  In.run(With.Store.waitForWatches(1));
  converse(With, {{"PUT", "/v1/admin/faults", {{"outage", true}}, 200, nullptr},
                  {"GET", "/v1/kv/k", nullptr, NoAnswer, nullptr},
                  {"PUT", "/v1/kv/k", {{"value", "a"}}, NoAnswer, nullptr},
                  {"PUT",
                   "/v1/admin/faults",
                   {{"outage", false}, {"delay_ms", 1}},
                   200,
                   nullptr},
                  {"GET", "/v1/kv/k", nullptr, 404, nullptr}});
  In.runUntil([&] { return Waiting->has_value(); });
  CHECK_FALSE(**Waiting);
}

TEST_CASE("The platform's settings are checked and read", "[platform]") {
  const Json Good = {{"writes_per_second", 300},
                     {"hosts", {host("a", "live")}},
                     {"faults", {{"stale_reads", 2}}}};
  CHECK(checkSchema("f", Good, platformSchema()).empty());
  const PlatformOptions Options = readPlatformOptions(Good);
  CHECK(Options.WritesPerSecond == 300);
  CHECK(Options.Hosts == Good["hosts"]);
  CHECK(Options.Faults.StaleReads == 2);
  const Json Bad = {{"writes_per_second", -1}, {"colour", "red"}};
  CHECK(checkSchema("f", Bad, platformSchema()).size() == 2);
}
