#include "Harness.h"
#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/net/HttpClient.h"
#include "buckthorndeck/standins/BackendServer.h"
#include "buckthorndeck/standins/BackendServerSettings.h"
#include "buckthorndeck/standins/GeneratedBody.h"

#include <filesystem>
#include <fstream>
#include <gsl/util>
#include <unistd.h>

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

const ObjectName Floor("exchange/trading-floor");
const Bytes Lot = toBytes("lot 7");

BackendServerOptions floorServer() {
  BackendServerOptions Options{.Name = ObjectName("exchange/floor-1"),
                               .Service = Floor};
  Options.Operations["held"] = {.Held = true};
  return Options;
}

wire::RunCommand run(std::uint64_t Id, const std::string &Operation,
                     Milliseconds Deadline = Milliseconds(60'000)) {
  return {.Id = Id,
          .Service = Floor,
          .Operation = Operation,
          .Deadline = Deadline,
          .Body = Lot};
}

wire::SubscribeCommand feed(std::uint64_t Id, std::uint64_t After) {
  return {.Id = Id,
          .Service = Floor,
          .Operation = "lot-watch",
          .After = Sequence(After)};
}

Milliseconds wallClock() {
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

//! A server and one entry host that has read its hello.
struct Link {
  explicit Link(BackendServerOptions Options = floorServer())
      : Server(BackendServer::start(In.where(), std::move(Options)).value()),
        Host(In, Server.endpoint()) {
    Host.next<wire::ServerHello>();
  }

  World In;
  BackendServer Server;
  ServerClient Host;
};

Json readLoad(World &In, const BackendServer &Server) {
  const auto Answer = In.run(callHttp(
      *Server.healthEndpoint(), {.Target = "/load"}, Milliseconds(30'000)));
  return Json::parse(Answer.value().Body);
}

} // namespace

TEST_CASE("A backend server says who it is, runs a request and logs the run",
          "[server]") {
  World In;
  auto Server = BackendServer::start(In.where(), floorServer()).value();
  ServerClient Client(In, Server.endpoint());
  const auto Hello = Client.next<wire::ServerHello>();
  CHECK(Hello.Server == ObjectName("exchange/floor-1"));
  CHECK(Hello.ServerGeneration == Generation(1));
  CHECK(Hello.Service == Floor);
  CHECK(Hello.Slots == 2);
  Client.send(run(1, "bid"));
  const auto Done = Client.next<wire::ServerDone>();
  CHECK(Done.Ok);
  CHECK(Done.Body == Lot);
  REQUIRE(Server.runs().size() == 1);
  CHECK(Server.runs()[0].Operation == "bid");
  CHECK(Server.runs()[0].BodyDigest == digestOf(Lot));
}

TEST_CASE("Operations answer as they are set", "[server]") {
  struct Row {
    const char *Name;
    OperationBehaviour Behaviour;
    bool Ok;
    Bytes Body;
  };
  const std::vector<Row> Rows = {
      {"echo", {}, true, Lot},
      {"fixed",
       {.Body = AnswerBody::Fixed, .Text = "sold"},
       true,
       toBytes("sold")},
      {"large",
       {.Body = AnswerBody::Generated, .Seed = 3, .Length = 1'000'000},
       true,
       generatedAnswer(3, Lot, 1'000'000)},
      {"failing",
       {.Fails = true},
       false,
       toBytes("the operation fails by setting")}};
  Link With;
  for (const Row &Next : Rows) {
    INFO(Next.Name);
    With.Server.setOperation(Next.Name, Next.Behaviour);
    With.Host.send(run(1, Next.Name));
    const auto Done = With.Host.next<wire::ServerDone>();
    CHECK(Done.Ok == Next.Ok);
    CHECK((Done.Body == Next.Body));
  }
  CHECK(With.Server.runs().size() == Rows.size());
}

TEST_CASE("The same request sent twice runs twice", "[server]") {
  // Guards against a stand-in that hides a request doubled by the balancer.
  Link With;
  for (std::uint64_t Id : {1, 2}) {
    With.Host.send(run(Id, "bid"));
    With.Host.next<wire::ServerDone>();
  }
  CHECK(With.Server.runs().size() == 2);
}

TEST_CASE("A server refuses what it must not start", "[server]") {
  struct Row {
    const char *Name;
    std::function<void(Link &)> Prepare;
    wire::ServerCommand Command;
    wire::Refusal Reason;
  };
  wire::RunCommand Foreign = run(9, "bid");
  Foreign.Service = ObjectName("exchange/swatch-press");
  wire::SubscribeCommand ForeignFeed = feed(9, 0);
  ForeignFeed.Service = Foreign.Service;
  const auto Nothing = [](Link &) {};
  const std::vector<Row> Rows = {
      {"all slots in use",
       [](Link &With) {
         With.Host.send(run(1, "held"));
         With.Host.send(run(2, "held"));
       },
       run(9, "bid"), wire::Refusal::Busy},
      {"draining",
       [](Link &With) {
         With.Server.drain();
         With.Host.next<wire::ServerDraining>();
       },
       run(9, "bid"), wire::Refusal::Draining},
      {"subscription while draining",
       [](Link &With) {
         With.Server.drain();
         With.Host.next<wire::ServerDraining>();
       },
       feed(9, 0), wire::Refusal::Draining},
      {"wrong service", Nothing, Foreign, wire::Refusal::WrongService},
      {"feed of another service", Nothing, ForeignFeed,
       wire::Refusal::WrongService},
      {"too many subscriptions", Nothing, feed(9, 0), wire::Refusal::Busy}};
  for (const Row &Next : Rows) {
    INFO(Next.Name);
    BackendServerOptions Options = floorServer();
    Options.MaxSubscriptions = 0;
    Link With(Options);
    Next.Prepare(With);
    With.Host.send(Next.Command);
    const auto Refused = With.Host.next<wire::ServerRefused>();
    CHECK(Refused.Id == 9);
    CHECK(Refused.Reason == Next.Reason);
    for (const RunRecord &Run : With.Server.runs())
      CHECK(Run.Operation == "held");
  }
}

TEST_CASE("A cold server refuses work until it is warm", "[server]") {
  BackendServerOptions Options = floorServer();
  Options.Cold = ColdStart::Refuse;
  Link With(Options);
  With.Host.send(run(1, "bid"));
  CHECK(With.Host.next<wire::ServerRefused>().Reason == wire::Refusal::Cold);
  With.Server.warmUp();
  With.Host.send(run(2, "bid"));
  CHECK(With.Host.next<wire::ServerDone>().Ok);
}

TEST_CASE("A slow cold start stretches service times until it is over",
          "[server]") {
  BackendServerOptions Options = floorServer();
  Options.Cold = ColdStart::Slow;
  Options.Time = {.MeanMs = 1};
  Options.ColdSlowdown = 1e9; // Longer than the test.
  Link With(Options);
  With.Host.send(run(1, "bid"));
  With.In.run(With.Server.waitForRuns(1));
  CHECK(With.Server.runsInProgress() == 1);
  With.Server.warmUp();
  With.Host.send(run(2, "bid"));
  CHECK(With.Host.next<wire::ServerDone>().Id == 2);
  CHECK(With.Server.runsInProgress() == 1);
}

TEST_CASE("A run that is cancelled or overruns its deadline frees its slot",
          "[server]") {
  BackendServerOptions Options = floorServer();
  Options.Slots = 1;
  Link With(Options);
  SECTION("cancelled") {
    With.Host.send(run(1, "held"));
    With.Host.send(wire::CancelCommand{.Id = 1});
  }
  SECTION("deadline") { With.Host.send(run(1, "held", Milliseconds(1))); }
  const auto Ended = With.Host.next<wire::ServerCancelled>();
  CHECK(Ended.Id == 1);
  CHECK(Ended.Started);
  CHECK(With.Server.cancellations() == 1);
  With.Host.send(run(2, "bid"));
  CHECK(With.Host.next<wire::ServerDone>().Id == 2);
}

TEST_CASE("A request whose deadline has passed is not started", "[server]") {
  Link With;
  With.Host.send(run(1, "bid", Milliseconds(0)));
  CHECK_FALSE(With.Host.next<wire::ServerCancelled>().Started);
  CHECK(With.Server.runs().empty());
}

TEST_CASE("A draining server finishes runs and ends subscriptions",
          "[server]") {
  Link With;
  With.Host.send(run(1, "held"));
  With.Host.send(feed(2, With.Server.latestEvent().value() + 1'000'000));
  With.In.run(With.Server.waitForSubscriptions(1));
  With.Server.drain();
  With.Host.next<wire::ServerDraining>();
  const auto Ended = With.Host.next<wire::ServerEnded>();
  CHECK(Ended.Id == 2);
  CHECK(Ended.Reason == wire::Refusal::Draining);
  With.Server.releaseRuns();
  CHECK(With.Host.next<wire::ServerDone>().Id == 1);
  // A host that connects now must learn of it as well.
  ServerClient Late(With.In, With.Server.endpoint());
  Late.next<wire::ServerHello>();
  Late.next<wire::ServerDraining>();
}

TEST_CASE("A run goes on when its connection is cut", "[server]") {
  // Guards against a stand-in that makes a lost connection look like proof
  // that nothing ran.
  Link With;
  With.Host.send(run(1, "held"));
  With.In.run(With.Server.waitForRuns(1));
  With.Server.disconnect();
  CHECK(With.Host.ended());
  CHECK(With.Server.runsInProgress() == 1);
  With.Server.releaseRuns();
  With.In.run(With.Server.waitForIdle());
  CHECK(With.Server.cancellations() == 0);
}

TEST_CASE("All servers of a service agree on the events of a feed",
          "[server]") {
  BackendServerOptions Options = floorServer();
  Options.EventInterval = Milliseconds(1);
  Options.EventEpoch = wallClock() - Milliseconds(100);
  Link First(Options);
  Options.Name = ObjectName("exchange/floor-2");
  Link Second(Options);
  for (Link *Each : {&First, &Second})
    Each->Host.send(feed(4, 50));
  for (std::uint64_t Number = 51; Number <= 200; ++Number) {
    const auto A = First.Host.next<wire::ServerEvent>();
    const auto B = Second.Host.next<wire::ServerEvent>();
    REQUIRE(A.Id == 4);
    REQUIRE(A.Number == Sequence(Number));
    REQUIRE(B.Number == Sequence(Number));
    REQUIRE(A.Body == B.Body);
    REQUIRE(A.Body == eventBody("lot-watch", Sequence(Number)));
  }
  First.Host.send(wire::UnsubscribeCommand{.Id = 4});
  First.In.run(First.Server.waitForSubscriptions(0));
}

TEST_CASE("The load endpoint reports the truth, an old state or a lie",
          "[server]") {
  BackendServerOptions Options = floorServer();
  Options.HealthListen = Options.Listen;
  SECTION("truth") {
    Link With(Options);
    With.Host.send(run(1, "held"));
    With.In.run(With.Server.waitForRuns(1));
    const Json Load = readLoad(With.In, With.Server);
    CHECK(Load["in_use"] == 1);
    CHECK(Load["status"] == "ok");
    With.Server.drain();
    CHECK(readLoad(With.In, With.Server)["status"] == "draining");
  }
  SECTION("old state") {
    Options.HealthLag = Milliseconds(3'600'000);
    Link With(Options);
    With.Host.send(run(1, "held"));
    With.In.run(With.Server.waitForRuns(1));
    CHECK(readLoad(With.In, With.Server)["in_use"] == 0);
  }
  SECTION("lie") {
    Options.HealthLie = FalseLoad{.Status = "ok", .InUse = 7};
    Link With(Options);
    With.Server.drain();
    const Json Load = readLoad(With.In, With.Server);
    CHECK(Load["in_use"] == 7);
    CHECK(Load["status"] == "ok");
  }
}

TEST_CASE("Runs are appended to the run log as JSON lines", "[server]") {
  const std::string File = std::filesystem::temp_directory_path() /
                           ("standins-runs-" + std::to_string(getpid()));
  const auto Remove = gsl::finally([&] { std::filesystem::remove(File); });
  BackendServerOptions Options = floorServer();
  Options.RunLogFile = File;
  Link With(Options);
  With.Host.send(run(1, "bid"));
  With.Host.next<wire::ServerDone>();
  std::ifstream Stream(File);
  std::string Line;
  REQUIRE(std::getline(Stream, Line));
  const Json Entry = Json::parse(Line);
  CHECK(Entry["operation"] == "bid");
  CHECK(Entry["server"] == "exchange/floor-1");
  CHECK(Entry["digest"] == digestOf(Lot).value());
  CHECK_FALSE(std::getline(Stream, Line));
}

TEST_CASE("Drawn service times have the set mean", "[server]") {
  constexpr int Draws = 50'000;
  for (const auto Kind :
       {TimeDistribution::Fixed, TimeDistribution::Exponential,
        TimeDistribution::LogNormal}) {
    RandomEngine Engine(20261204);
    const ServiceTime Time{.Distribution = Kind, .MeanMs = 40, .Sigma = 0.5};
    double Total = 0;
    for (int Index = 0; Index < Draws; ++Index)
      Total += drawMs(Time, Engine);
    CHECK(Total / Draws == Approx(40).epsilon(0.02));
  }
}

TEST_CASE("A backend server's settings are checked and read", "[server]") {
  const Json Good = Json::parse(R"({
    "name": "registry/tag-1", "service": "registry/tag-registry", "slots": 3,
    "service_time": {"distribution": "exponential", "mean_ms": 20},
    "speed_factor": 2, "event_interval_ms": 50,
    "cold_start": {"mode": "slow", "for_ms": 500, "slowdown": 3},
    "operations": {"page": {"answer": "generated", "seed": 5, "bytes": 9}},
    "health_lie": {"status": "ok", "in_use": 1}})");
  CHECK(checkSchema("f", Good, backendServerSchema()).empty());
  const BackendServerOptions Options = readBackendServerOptions(Good);
  CHECK(Options.Service == ObjectName("registry/tag-registry"));
  CHECK(Options.Slots == 3);
  CHECK(Options.Time.Distribution == TimeDistribution::Exponential);
  CHECK(Options.Cold == ColdStart::Slow);
  CHECK(Options.ColdFor == Milliseconds(500));
  CHECK(Options.Operations.at("page").Body == AnswerBody::Generated);
  CHECK(Options.EventInterval == Milliseconds(50));
  const Json Bad = {{"name", "tag-1"}, {"slots", 0}, {"listen", "300.0.0.1:1"}};
  // The missing service is the fourth.
  CHECK(checkSchema("f", Bad, backendServerSchema()).size() == 4);
}
