#include "buckthorndeck/faults/Audit.h"
#include "buckthorndeck/faults/Site.h"
#include "buckthorndeck/faults/Traffic.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::faults;

namespace {

//! Ends a run that hangs. The verdict never depends on it otherwise.
constexpr std::chrono::seconds RunLimit{120};

//! Calls and events that every caller must complete before and after a fault.
constexpr unsigned Before = 5;
constexpr unsigned After = 10;

using Fault = std::function<Task<>(Site &, Traffic &)>;

struct Verdict {
  AuditReport Report;
  FeedTotals Feeds;
};

Task<> runTraffic(Site &Target, Traffic &Callers, const Fault &Inject) {
  co_await Target.start();
  Callers.start();
  co_await Callers.progress(Before);
  co_await Inject(Target, Callers);
  co_await Callers.progress(After);
  co_await Callers.stop();
}

Verdict runFault(SiteOptions Options, const Fault &Inject) {
  Options.Program = BUCKTHORNDECK_PROGRAM;
  boost::asio::io_context Context(1);
  Site Target(Context.get_executor(), Options);
  Traffic Callers(Target, {.Seed = Options.Seed});
  std::exception_ptr Failure;
  bool Finished = false;
  boost::asio::co_spawn(Context, runTraffic(Target, Callers, Inject),
                        [&](const std::exception_ptr &Caught) {
                          Failure = Caught;
                          Finished = true;
                          Context.stop();
                        });
  Context.run_for(RunLimit);
  if (Failure)
    std::rethrow_exception(Failure);
  const Verdict Result{.Report = audit(Callers.records(), Target.servers()),
                       .Feeds = Callers.feeds()};
  INFO(describe(Result.Report));
  REQUIRE(Finished);
  return Result;
}

//! What must hold whatever fails.
void checkAlways(const Verdict &Result) {
  INFO(describe(Result.Report));
  CHECK(Result.Report.DoubledRuns == 0);
  CHECK(Result.Report.NotRunButRan == 0);
  CHECK(Result.Report.OkButNotRun == 0);
  CHECK(Result.Report.WrongService == 0);
  CHECK(Result.Report.WrongAnswers == 0);
  CHECK(Result.Feeds.WrongBodies == 0);
  CHECK(Result.Feeds.Gaps == 0);
}

//! What must hold when nothing but planned changes happens.
void checkPlanned(const Verdict &Result) {
  checkAlways(Result);
  INFO(describe(Result.Report));
  CHECK(Result.Report.BrokenCalls == 0);
}

Task<> noFault(Site &, Traffic &) { co_return; }

Task<> replaceAllHosts(Site &Target, Traffic &Callers) {
  for (const std::string &Old : Target.hostNames()) {
    co_await Target.addHost(Old + "-new", Target.host(Old).FailureDomain);
    Target.sprayOverAll();
    Target.host(Old).Process->terminate();
    // The platform's list lags: the fabric goes on sending to the leaving
    // host for a while.
    co_await Callers.progress(1);
    std::vector<std::string> Others;
    for (const std::string &Name : Target.hostNames())
      if (Name != Old)
        Others.push_back(Name);
    Target.sprayOver(Others);
    const int Code = co_await Target.host(Old).Process->exited();
    CHECK(Code == 0);
    Target.removeHost(Old);
  }
}

} // namespace

TEST_CASE("Every caller is served over a fabric that sprays packets",
          "[faults][planned]") {
  checkPlanned(runFault({.Seed = 1}, noFault));
}

TEST_CASE("Lost, doubled and reordered packets break nothing",
          "[faults][packets]") {
  // Guards against an attempt that is taken for a new request.
  const standins::PacketFaults Faults{
      .Drop = 0.05, .Duplicate = 0.1, .Delay = 0.1, .Reorder = 0.1};
  checkPlanned(
      runFault({.Seed = 2, .ToHosts = Faults, .ToCallers = Faults}, noFault));
}

TEST_CASE("Replacing all entry hosts one by one breaks nothing",
          "[faults][planned]") {
  checkPlanned(runFault({.Seed = 3}, replaceAllHosts));
}
