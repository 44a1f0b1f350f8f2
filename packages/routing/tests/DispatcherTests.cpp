#include "Fixture.h"

using namespace buckthorndeck;
using namespace buckthorndeck::routing;
using wire::CancelCommand;
using wire::Outcome;
using wire::Refusal;
using wire::RunCommand;

namespace {

void disconnectOnRequest(FakeServer &Server,
                         const wire::ServerCommand &Command) {
  if (std::holds_alternative<RunCommand>(Command))
    Server.disconnect();
}

//! The request with this index among those that the server received.
RunCommand receivedRequest(const FakeServer &Server, std::size_t Index) {
  std::vector<RunCommand> Runs;
  for (const wire::ServerCommand &Command : Server.Commands)
    if (const auto *Run = std::get_if<RunCommand>(&Command))
      Runs.push_back(*Run);
  return Runs.at(Index);
}

std::size_t requestCount(const FakeServer &Server) {
  return Server.ids<RunCommand>().size();
}

//! Starts a job whose operation is its deadline in seconds, so that the
//! received requests show the order.
void startWithDeadline(Fixture &F, int Seconds) {
  Job Request = F.job(false, Milliseconds(1000 * Seconds));
  Request.Operation = std::to_string(Seconds);
  F.start(std::move(Request));
}

const Affinity ServerA{ObjectName("ns/a"), Generation(1)};

} // namespace

TEST_CASE("A job runs on a server and returns its answer", "[dispatcher]") {
  // Guards against a result that lacks the answer's body or the name of its
  // server.
  Fixture Test;
  Test.server("a", answerAll);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    const JobResult Result = co_await F.TestDispatcher.run(F.job(), nullptr);
    CHECK(Result.Result == Outcome::Ok);
    CHECK(Result.Body == toBytes("answer"));
    REQUIRE(Result.Server);
    CHECK(Result.Server->Server == ObjectName("ns/a"));
  });
}

TEST_CASE("A refused job is sent to another server", "[dispatcher]") {
  // Guards against a refusal that reaches the caller although another server is
  // free.
  Fixture Test;
  Test.Rule.Goal = config::Objective::Balance;
  Test.server("a", refuseAll<Refusal::Busy>);
  Test.server("b", refuseAll<Refusal::Cold>);
  Test.server("c", answerAll);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(3);
    for (int Round = 0; Round < 20; ++Round) {
      const JobResult Result = co_await F.TestDispatcher.run(F.job(), nullptr);
      REQUIRE(Result.Result == Outcome::Ok);
      REQUIRE(Result.Server->Server == ObjectName("ns/c"));
    }
  });
}

TEST_CASE("A server that is not the declared one gets no request",
          "[dispatcher]") {
  // Guards against requests that reach another server because it has taken over
  // the address.
  struct TestCase {
    const char *Name;
    void (*Change)(wire::ServerHello &);
  };
  const TestCase TestCases[] = {
      {"name", [](wire::ServerHello &H) { H.Server = ObjectName("ns/x"); }},
      {"generation",
       [](wire::ServerHello &H) { H.ServerGeneration = Generation(2); }},
      {"service", [](wire::ServerHello &H) { H.Service = ObjectName("ns/x"); }},
  };
  for (const TestCase &Case : TestCases) {
    INFO(Case.Name);
    Fixture Test;
    Case.Change(Test.server("wrong", answerAll).Hello);
    Test.server("right", answerAll);
    Test.run([](Fixture &F) -> Task<> {
      co_await F.connect(1);
      co_await F.waitUntil([](Fixture &Self) {
        return Self.TestDispatcher.counters().ServerMismatches > 0;
      });
      for (int Round = 0; Round < 10; ++Round)
        co_await F.TestDispatcher.run(F.job(), nullptr);
      CHECK(requestCount(*F.Servers[0]) == 0);
      CHECK(requestCount(*F.Servers[1]) == 10);
    });
  }
}

TEST_CASE("A job that is not idempotent ends unknown and runs once if its "
          "connection is lost",
          "[dispatcher]") {
  // Guards against a second run of a request, such as a bid, whose answer was
  // lost with the connection.
  Fixture Test;
  Test.server("a", disconnectOnRequest);
  Test.server("b", disconnectOnRequest);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(2);
    const JobResult Result = co_await F.TestDispatcher.run(F.job(), nullptr);
    CHECK(Result.Result == Outcome::Unknown);
    CHECK(Result.Reason == "connection_lost");
    CHECK(requestCount(*F.Servers[0]) + requestCount(*F.Servers[1]) == 1);
  });
}

TEST_CASE(
    "An idempotent job is retried on another server if its connection is lost",
    "[dispatcher]") {
  // Guards against an unknown result for a request that may safely run again.
  Fixture Test;
  Test.Rule.Goal = config::Objective::Continuity;
  Test.server("a", disconnectOnRequest);
  Test.server("b", answerAll);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(2);
    Job Request = F.job(/*Idempotent=*/true);
    Request.Preferred = ServerA;
    const JobResult Result = co_await F.TestDispatcher.run(Request, nullptr);
    CHECK(Result.Result == Outcome::Ok);
    CHECK(requestCount(*F.Servers[0]) == 1);
    CHECK(F.TestDispatcher.counters().Retries == 1);
  });
}

TEST_CASE("The retry budget ends retries of idempotent jobs", "[dispatcher]") {
  // Guards against a job that is sent to failing servers without limit.
  Fixture Test;
  Test.server("a", disconnectOnRequest);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    const JobResult Result =
        co_await F.TestDispatcher.run(F.job(/*Idempotent=*/true), nullptr);
    CHECK(Result.Result == Outcome::Unknown);
    // The reserve is 3 and grows by one in 2 s.
    CHECK(requestCount(*F.Servers[0]) >= 4);
    CHECK(requestCount(*F.Servers[0]) <= 6);
    CHECK(F.TestDispatcher.counters().RetriesDenied == 1);
  });
}

TEST_CASE("A server gets no more requests at a time than it has slots",
          "[dispatcher]") {
  // Guards against requests beyond the slots, which the server would refuse.
  Fixture Test;
  Test.server("a", answerNothing, /*Slots=*/2);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    FakeServer &Server = *F.Servers[0];
    std::vector<std::shared_ptr<std::optional<JobResult>>> Results;
    Results.reserve(5);
    for (int Count = 0; Count < 5; ++Count)
      Results.push_back(F.start(F.job()));
    for (std::size_t Index = 0; Index < 5; ++Index) {
      co_await Server.waitFor<RunCommand>(std::min<std::size_t>(Index + 2, 5));
      CHECK(requestCount(Server) == std::min<std::size_t>(Index + 2, 5));
      CHECK(F.inFlight() <= 2);
      Server.sendDone(Server.ids<RunCommand>()[Index]);
    }
    for (const auto &Result : Results) {
      const JobResult OneResult = co_await F.resultOf(Result);
      CHECK(OneResult.Result == Outcome::Ok);
    }
  });
}

TEST_CASE("Waiting jobs run in the order of their deadlines", "[dispatcher]") {
  // Guards against a queue in which a job with a late deadline delays an urgent
  // one.
  Fixture Test;
  Test.server("a", answerNothing, /*Slots=*/1);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    FakeServer &Server = *F.Servers[0];
    auto First = F.start(F.job());
    co_await Server.waitFor<RunCommand>(1);
    startWithDeadline(F, 50);
    startWithDeadline(F, 30);
    startWithDeadline(F, 40);
    for (std::size_t Index = 0; Index < 4; ++Index) {
      co_await Server.waitFor<RunCommand>(Index + 1);
      Server.sendDone(Server.ids<RunCommand>()[Index]);
    }
    co_await F.TestDispatcher.waitUntilIdle();
    CHECK(receivedRequest(Server, 1).Operation == "30");
    CHECK(receivedRequest(Server, 2).Operation == "40");
    CHECK(receivedRequest(Server, 3).Operation == "50");
  });
}

TEST_CASE(
    "A service at its limits refuses jobs, and other services are not affected",
    "[dispatcher]") {
  // Guards against an overloaded service that uses up the host's capacity for
  // all services.
  Fixture Test;
  Test.Rule.MaxInFlight = 1;
  Test.Rule.MaxQueued = 1;
  Test.server("a", answerNothing, /*Slots=*/8);
  FakeServer Other(Test.where(), "b", answerAll);
  Other.Hello.Service = ObjectName("ns/other");
  Test.declare(Other);
  const config::Rule Rule{.Name = ObjectName("ns/other-rule"),
                          .Service = ObjectName("ns/other")};
  Test.Objects.Rules[Rule.Name] = Rule;
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(2);
    auto InFlight = F.start(F.job());
    auto Queued = F.start(F.job());
    co_await F.Servers[0]->waitFor<RunCommand>(1);
    const JobResult Refused = co_await F.TestDispatcher.run(F.job(), nullptr);
    CHECK(Refused.Result == Outcome::NotRun);
    CHECK(Refused.Reason == "queue_full");
    CHECK(requestCount(*F.Servers[0]) == 1);
    Job Request = F.job();
    Request.Service = ObjectName("ns/other");
    const JobResult Result = co_await F.TestDispatcher.run(Request, nullptr);
    CHECK(Result.Result == Outcome::Ok);
  });
}

TEST_CASE("The result of a cancelled job follows the server's answer",
          "[dispatcher]") {
  // Guards against not_run for a request that ran, and against unknown for one
  // that the server says it did not start.
  struct TestCase {
    const char *Name;
    FakeServer::OnCommand Answer;
    Outcome Expected;
  };
  const auto OnCancel = [](wire::ServerMessage (*Reply)(std::uint64_t)) {
    return [Reply](FakeServer &Server, const wire::ServerCommand &Command) {
      if (const auto *Cancel = std::get_if<CancelCommand>(&Command))
        Server.send(Reply(Cancel->Id));
    };
  };
  const TestCase TestCases[] = {
      {"not started", OnCancel([](std::uint64_t Id) -> wire::ServerMessage {
         return wire::ServerCancelled{.Id = Id, .Started = false};
       }),
       Outcome::NotRun},
      {"refused", OnCancel([](std::uint64_t Id) -> wire::ServerMessage {
         return wire::ServerRefused{.Id = Id, .Reason = Refusal::Busy};
       }),
       Outcome::NotRun},
      {"started", OnCancel([](std::uint64_t Id) -> wire::ServerMessage {
         return wire::ServerCancelled{.Id = Id, .Started = true};
       }),
       Outcome::Unknown},
      {"done", OnCancel([](std::uint64_t Id) -> wire::ServerMessage {
         return wire::ServerDone{.Id = Id, .Ok = true};
       }),
       Outcome::Ok},
      {"no answer", answerNothing, Outcome::Unknown},
  };
  for (const TestCase &Case : TestCases) {
    INFO(Case.Name);
    Fixture Test;
    Test.server("a", Case.Answer);
    static Outcome Found;
    Test.run([](Fixture &F) -> Task<> {
      co_await F.connect(1);
      auto Signal = makeCancelSignal(F.where());
      auto Result = F.start(F.job(), Signal);
      co_await F.Servers[0]->waitFor<RunCommand>(1);
      cancel(*Signal);
      const JobResult Ended = co_await F.resultOf(Result);
      Found = Ended.Result;
      CHECK(F.Servers[0]->ids<CancelCommand>() ==
            F.Servers[0]->ids<RunCommand>());
      CHECK(requestCount(*F.Servers[0]) == 1);
    });
    CHECK(Found == Case.Expected);
  }
}

TEST_CASE("A cancelled job that waits in the queue never runs",
          "[dispatcher]") {
  // Guards against a request that is sent to a server after it was cancelled.
  Fixture Test;
  Test.server("a", answerNothing, /*Slots=*/1);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    auto First = F.start(F.job());
    co_await F.Servers[0]->waitFor<RunCommand>(1);
    auto Signal = makeCancelSignal(F.where());
    auto Second = F.start(F.job(), Signal);
    cancel(*Signal);
    const JobResult SecondResult = co_await F.resultOf(Second);
    CHECK(SecondResult.Result == Outcome::NotRun);
    F.Servers[0]->sendDone(F.Servers[0]->ids<RunCommand>()[0]);
    co_await F.resultOf(First);
    CHECK(requestCount(*F.Servers[0]) == 1);
  });
}

TEST_CASE("A job that waits is not sent to a service that its address has left",
          "[dispatcher]") {
  // Guards against requests that run as a former configuration says: a job
  // keeps its service while it waits, and may be sent long after a change.
  Fixture Test;
  Test.declareAddress("front");
  Test.server("a", answerNothing, /*Slots=*/1);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    auto Running = F.start(F.jobFor("front"));
    co_await F.Servers[0]->waitFor<RunCommand>(1);
    auto Waiting = F.start(F.jobFor("front"));
    F.declareAddress("back");
    F.TestDispatcher.apply(F.Objects);
    const JobResult Result = co_await F.resultOf(Waiting);
    CHECK(Result.Result == Outcome::NotRun);
    CHECK(Result.Reason == "address_moved");
    // What a server has started ends with its answer.
    F.Servers[0]->sendDone(F.Servers[0]->ids<RunCommand>()[0]);
    const JobResult Done = co_await F.resultOf(Running);
    CHECK(Done.Result == Outcome::Ok);
    CHECK(requestCount(*F.Servers[0]) == 1);
  });
}

TEST_CASE("A job is not retried at a service that its address has left",
          "[dispatcher]") {
  // Guards against requests that run as a former configuration says when a
  // connection is lost after the change.
  Fixture Test;
  Test.declareAddress("front");
  Test.server("a", answerNothing, /*Slots=*/1);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    auto Running = F.start(F.jobFor("front", /*Idempotent=*/true));
    co_await F.Servers[0]->waitFor<RunCommand>(1);
    F.declareAddress("back");
    F.TestDispatcher.apply(F.Objects);
    F.Servers[0]->disconnect();
    const JobResult Result = co_await F.resultOf(Running);
    CHECK(Result.Result == Outcome::Unknown);
    CHECK(F.TestDispatcher.counters().Retries == 0);
  });
}

TEST_CASE("A job that overruns its deadline ends unknown, is cancelled and "
          "frees its slot",
          "[dispatcher]") {
  // Guards against a slot that stays occupied, and against a late answer that
  // is taken for the answer of the next request.
  Fixture Test;
  Test.server("a", answerNothing, /*Slots=*/1);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    FakeServer &Server = *F.Servers[0];
    const JobResult Late =
        co_await F.TestDispatcher.run(F.job(true, Milliseconds(20)), nullptr);
    CHECK(Late.Result == Outcome::Unknown);
    CHECK(Late.Reason == "deadline");
    co_await Server.waitFor<CancelCommand>(1);
    CHECK(F.inFlight() == 1);
    auto Next = F.start(F.job());
    Server.sendDone(Server.ids<RunCommand>()[0], /*Ok=*/false);
    co_await Server.waitFor<RunCommand>(2);
    CHECK_FALSE(*Next);
    Server.sendDone(Server.ids<RunCommand>()[1]);
    const JobResult NextResult = co_await F.resultOf(Next);
    CHECK(NextResult.Result == Outcome::Ok);
  });
}

TEST_CASE("Reordered and repeated answers are matched to their jobs",
          "[dispatcher]") {
  // Guards against answers that are matched by order of arrival instead of by
  // id.
  Fixture Test;
  Test.server("a", answerNothing, /*Slots=*/2);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    FakeServer &Server = *F.Servers[0];
    auto First = F.start(F.job());
    co_await Server.waitFor<RunCommand>(1);
    auto Second = F.start(F.job());
    co_await Server.waitFor<RunCommand>(2);
    const auto Ids = Server.ids<RunCommand>();
    const auto Answer = [&](std::uint64_t Id, const char *Body) {
      Server.send(
          wire::ServerDone{.Id = Id, .Ok = true, .Body = toBytes(Body)});
    };
    Answer(999, "stray");
    Answer(Ids[1], "second");
    Answer(Ids[1], "second again");
    Server.send(wire::ServerRefused{.Id = Ids[1]});
    Answer(Ids[0], "first");
    const JobResult FirstResult = co_await F.resultOf(First);
    CHECK(FirstResult.Body == toBytes("first"));
    const JobResult SecondResult = co_await F.resultOf(Second);
    CHECK(SecondResult.Body == toBytes("second"));
    CHECK(F.TestDispatcher.counters().UnmatchedAnswers == 3);
    CHECK(F.inFlight() == 0);
    CHECK(requestCount(Server) == 2);
  });
}

TEST_CASE("A draining server finishes its requests and gets no new ones",
          "[dispatcher]") {
  // Guards against new requests for a server that is about to stop, and against
  // losing the requests that it still runs.
  struct TestCase {
    const char *Name;
    void (*Drain)(Fixture &);
  };
  const TestCase TestCases[] = {
      {"announced",
       [](Fixture &F) { F.Servers[0]->send(wire::ServerDraining{}); }},
      {"declared",
       [](Fixture &F) {
         F.Objects.BackendServers[ObjectName("ns/a")].Draining = true;
         F.TestDispatcher.apply(F.Objects);
       }},
      {"refusal",
       [](Fixture &F) {
         F.start(F.job());
         F.Servers[0]->send(
             wire::ServerRefused{.Id = F.Servers[0]->ids<RunCommand>()[1],
                                 .Reason = Refusal::Draining});
       }},
  };
  for (const TestCase &Case : TestCases) {
    INFO(Case.Name);
    Fixture Test;
    Test.server("a", answerNothing);
    static void (*Drain)(Fixture &);
    Drain = Case.Drain;
    Test.run([](Fixture &F) -> Task<> {
      co_await F.connect(1);
      FakeServer &Old = *F.Servers[0];
      auto InProgress = F.start(F.job());
      auto AlsoInProgress = F.start(F.job());
      co_await Old.waitFor<RunCommand>(2);
      FakeServer &New = F.server("b", answerAll);
      co_await F.connect(2);
      Drain(F);
      co_await F.waitUntil(
          [](Fixture &Self) { return Self.countInState("draining") == 1; });
      for (int Round = 0; Round < 5; ++Round) {
        const JobResult Result =
            co_await F.TestDispatcher.run(F.job(), nullptr);
        CHECK(Result.Result == Outcome::Ok);
      }
      CHECK(requestCount(Old) == 2);
      CHECK(requestCount(New) >= 5);
      Old.sendDone(Old.ids<RunCommand>()[0]);
      const JobResult InProgressResult = co_await F.resultOf(InProgress);
      CHECK(InProgressResult.Result == Outcome::Ok);
    });
  }
}

TEST_CASE("A server removed from the configuration finishes its requests",
          "[dispatcher]") {
  // Guards against a configuration change that aborts a request in progress.
  Fixture Test;
  Test.server("a", answerNothing);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    FakeServer &Server = *F.Servers[0];
    auto InProgress = F.start(F.job());
    co_await Server.waitFor<RunCommand>(1);
    F.Objects.BackendServers.clear();
    F.TestDispatcher.apply(F.Objects);
    const JobResult Result = co_await F.TestDispatcher.run(F.job(), nullptr);
    CHECK(Result.Result == Outcome::NotRun);
    CHECK(Server.IsConnected);
    Server.sendDone(Server.ids<RunCommand>()[0]);
    const JobResult InProgressResult = co_await F.resultOf(InProgress);
    CHECK(InProgressResult.Result == Outcome::Ok);
    while (Server.IsConnected)
      co_await Server.Changed.wait();
    CHECK(requestCount(Server) == 1);
    CHECK(Server.Connections == 1);
  });
}

TEST_CASE("A job that cannot meet its deadline is shed early", "[dispatcher]") {
  // Guards against requests that wait in the queue although they cannot be in
  // time.
  Fixture Test;
  Test.server("a", answerNothing, /*Slots=*/1);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    FakeServer &Server = *F.Servers[0];
    auto Slow = F.start(F.job());
    co_await Server.waitFor<RunCommand>(1);
    co_await sleepFor(Milliseconds(40));
    Server.sendDone(Server.ids<RunCommand>()[0]);
    co_await F.resultOf(Slow);
    auto Running = F.start(F.job());
    co_await Server.waitFor<RunCommand>(2);
    const JobResult Shed =
        co_await F.TestDispatcher.run(F.job(false, Milliseconds(15)), nullptr);
    CHECK(Shed.Result == Outcome::NotRun);
    CHECK(Shed.Reason == "deadline_cannot_be_met");
    CHECK(requestCount(Server) == 2);
  });
}

TEST_CASE("A server with consecutive failures is ejected", "[dispatcher]") {
  // Guards against an affinity that keeps a flow on a failing server.
  Fixture Test;
  Test.Rule.Goal = config::Objective::Continuity;
  Test.server("a", [](FakeServer &Server, const wire::ServerCommand &Command) {
    if (const auto *Run = std::get_if<RunCommand>(&Command))
      Server.sendDone(Run->Id, /*Ok=*/false);
  });
  Test.server("b", answerAll);
  Test.server("c", answerAll);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(3);
    Job Request = F.job();
    Request.Preferred = ServerA;
    for (int Round = 0; Round < 5; ++Round) {
      const JobResult Result = co_await F.TestDispatcher.run(Request, nullptr);
      CHECK(Result.Result == Outcome::Failed);
    }
    CHECK(F.countInState("ejected") == 1);
    const JobResult Result = co_await F.TestDispatcher.run(Request, nullptr);
    CHECK(Result.Result == Outcome::Ok);
    CHECK(requestCount(*F.Servers[0]) == 5);
  });
}

TEST_CASE("A host connects to no more servers of a service than its limit",
          "[dispatcher]") {
  // Guards against a number of connections that grows with every server of a
  // large service.
  Fixture Test;
  for (const char *Name : {"a", "b", "c", "d"})
    Test.server(Name, answerAll);
  Test.Objects.Rules[Test.Rule.Name] = Test.Rule;
  Dispatcher Few(Test.where(),
                 {.MaxServersPerService = 2, .Host = EntryHostName("host")});
  Few.apply(Test.Objects);
  CHECK(Few.status().size() == 2);
}
