#include "buckthorndeck/faults/Soak.h"

#include "buckthorndeck/faults/PacketFaults.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <stdexcept>

namespace buckthorndeck::faults {

namespace {

constexpr Milliseconds CheckInterval{5};
//! Within it all must be served again after the last fault.
constexpr Milliseconds RecoveryTime{12'000};
//! Traffic before the first fault.
constexpr Milliseconds QuietTime{1000};
//! Traffic after the recovery, until each idle flow has been used again.
constexpr Milliseconds IdleCheckTime{9000};
constexpr Milliseconds DensePause{400};
constexpr Milliseconds SparsePause{3000};
//! Answers in a row that show that all is served again.
constexpr std::size_t AnswersInARow = 30;

class Soak {
public:
  Soak(const Executor &Where, const SoakOptions &Options)
      : Options(Options), Where(Where), Site(Where, Options.Site),
        Traffic(Site, Options.Traffic), Faults(Site, Traffic, Options.Kinds),
        Promises(Site, Traffic) {}

  Task<> run() {
    co_await Site.start();
    Traffic.start();
    spawn(Where, "promises", check());
    co_await sleepFor(QuietTime);
    co_await Faults.run(Options.Length, maxPause());
    if (!Faults.unfinished().empty())
      Promises.report("end of faults", "not completed:" + Faults.unfinished());
    co_await recover();
    co_await Traffic.stop();
    Ended = true;
    Promises.check();
    Promises.checkRequests();
    co_await Site.stop();
  }

  SoakReport report() {
    SoakReport Result{.Broken = Promises.broken(), .Faults = Faults.counts()};
    for (const PacketCall &Call : Traffic.calls())
      ++Result.Outcomes[standins::toString(Call.Result.Outcome)];
    for (const standins::FlowReset &Reset : Traffic.caller().resets())
      Result.HostResets += Reset.FromHost ? 1 : 0;
    return Result;
  }

private:
  Milliseconds maxPause() {
    if (Options.MaxPause.count() > 0)
      return Options.MaxPause;
    const auto Span =
        static_cast<std::uint64_t>((SparsePause - DensePause).count());
    return DensePause + Milliseconds(static_cast<Milliseconds::rep>(
                            randomBelow(Site.random(), Span)));
  }

  Task<> check() {
    while (!Ended) {
      Promises.check();
      co_await sleepFor(CheckInterval);
    }
  }

  //! Whether the last calls were all answered.
  bool served(std::size_t Since) const {
    const auto &Calls = Traffic.calls();
    if (Calls.size() < Since + AnswersInARow)
      return false;
    for (std::size_t Back = 1; Back <= AnswersInARow; ++Back)
      if (Calls[Calls.size() - Back].Result.Outcome !=
          standins::FlowOutcome::Answered)
        return false;
    return true;
  }

  Task<> recover() {
    const TimePoint Due = Clock::now() + RecoveryTime;
    const std::size_t Since = Traffic.calls().size();
    const bool Ready = co_await Site.waitReady(RecoveryTime);
    if (!Ready)
      Promises.report("recovery", "not all hosts are ready after 12 s");
    while (!served(Since) && Clock::now() < Due)
      co_await sleepFor(CheckInterval);
    if (!served(Since))
      Promises.report("recovery", "not all calls are answered after 12 s");
    co_await sleepFor(IdleCheckTime);
  }

  SoakOptions Options;
  Executor Where;
  PacketSite Site;
  PacketTraffic Traffic;
  PacketFaults Faults;
  PacketPromises Promises;
  bool Ended = false;
};

std::string describeCounts(const std::map<std::string, std::size_t> &Counts) {
  std::string Text;
  for (const auto &[Name, Count] : Counts)
    Text += " " + Name + "=" + std::to_string(Count);
  return Text;
}

} // namespace

SoakReport runSoak(const SoakOptions &Options) {
  boost::asio::io_context Context(1);
  Soak Run(Context.get_executor(), Options);
  std::exception_ptr Failure;
  boost::asio::co_spawn(Context, Run.run(),
                        [&](const std::exception_ptr &Caught) {
                          Failure = Caught;
                          Context.stop();
                        });
  // Without it the hosts would outlive an interrupted run.
  boost::asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&](const boost::system::error_code &Code, int Number) {
    if (Code)
      return;
    Failure = std::make_exception_ptr(
        std::runtime_error("interrupted by signal " + std::to_string(Number)));
    Context.stop();
  });
  Context.run();
  if (Failure)
    std::rethrow_exception(Failure);
  return Run.report();
}

std::string describe(const SoakReport &Report) {
  std::string Text = "outcomes:" + describeCounts(Report.Outcomes) +
                     " resets_by_hosts=" + std::to_string(Report.HostResets) +
                     "\nfaults:" + describeCounts(Report.Faults) + "\n";
  for (const std::string &Line : Report.Broken)
    Text += "broken promise: " + Line + "\n";
  return Text;
}

} // namespace buckthorndeck::faults
