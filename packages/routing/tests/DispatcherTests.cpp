#include "Fixture.h"

using namespace buckthorndeck;
using namespace buckthorndeck::routing;
using wire::Outcome;
using wire::Refusal;

TEST_CASE("A job runs on a server and returns its answer", "[dispatcher]") {
  Fixture Test;
  Test.server("a", answerAll);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    const JobResult Result = co_await F.Routes.run(F.job(), nullptr);
    CHECK(Result.Result == Outcome::Ok);
    CHECK(Result.Body == toBytes("answer"));
    REQUIRE(Result.Server);
    CHECK(Result.Server->Server == ObjectName("ns/a"));
  });
}

TEST_CASE("A refused job goes to the next server", "[dispatcher]") {
  // Guards against a shed that reaches the caller although another server is
  // free.
  Fixture Test;
  Test.Rule.Goal = config::Objective::Balance;
  Test.server("a", refuseAll<Refusal::Busy>);
  Test.server("b", refuseAll<Refusal::Cold>);
  Test.server("c", answerAll);
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(3);
    for (int Round = 0; Round < 20; ++Round) {
      const JobResult Result = co_await F.Routes.run(F.job(), nullptr);
      REQUIRE(Result.Result == Outcome::Ok);
      REQUIRE(Result.Server->Server == ObjectName("ns/c"));
    }
  });
}
