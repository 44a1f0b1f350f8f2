#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/entryhost/EntryHost.h"
#include "buckthorndeck/entryhost/Settings.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <docopt/docopt.h>
#include <optional>

#include <csignal>
#include <iostream>
#include <map>

using namespace buckthorndeck;

namespace {

constexpr const char *Usage =
    R"(buckthorndeck: the balancer that runs on each entry host.

Usage:
  buckthorndeck --settings=FILE [--check]
  buckthorndeck --describe-settings
  buckthorndeck (-h | --help)
  buckthorndeck --version

Options:
  --settings=FILE      JSON file with the settings of this entry host.
  --check              Check the settings and exit.
  --describe-settings  Print a table of all settings in Markdown.
  -h --help            Show this text.
  --version            Show the version.

Signals:
  SIGTERM, SIGINT      Stop gracefully; a second one stops at once.

Exit codes:
  0  stopped gracefully, or the settings are good
  1  failed or stopped at once
  2  wrong usage or wrong settings
)";

enum ExitCode : int { Success = 0, Failure = 1, WrongUsage = 2 };

using Arguments = std::map<std::string, docopt::value>;

std::optional<Arguments> parseArguments(int Count, char **Values, int &Code) {
  const std::vector<std::string> Words(Values + 1, Values + Count);
  try {
    return docopt::docopt_parse(Usage, Words, /*help=*/true, /*version=*/true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    Code = Success;
  } catch (const docopt::DocoptExitVersion &) {
    std::cout << "buckthorndeck " << BUCKTHORNDECK_VERSION << "\n";
    Code = Success;
  } catch (const docopt::DocoptArgumentError &Caught) {
    std::cerr << "buckthorndeck: " << Caught.what()
              << "\nTry 'buckthorndeck --help'.\n";
    Code = WrongUsage;
  }
  return std::nullopt;
}

void logStopRequested(int Signal) {
  log(LogLevel::Info, "stop_requested", {{"signal", Signal}});
}

Task<> stopOnSignal(boost::asio::io_context &Context,
                    entryhost::EntryHost &Host) {
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  const auto [Code, Number] = co_await Signals.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
  if (Code)
    co_return;
  logStopRequested(Number);
  spawn(Context.get_executor(), "stop", Host.stop());
  co_await Signals.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
  log(LogLevel::Warn, "stopped_at_once");
  std::_Exit(Failure);
}

Task<> serve(boost::asio::io_context &Context, entryhost::EntryHost &Host) {
  co_await Host.run();
  Context.stop();
}

int run(const entryhost::Settings &Settings) {
  initLogging({.Threshold = Settings.LogThreshold,
               .Program = "buckthorndeck/" + Settings.Name.value()});
  boost::asio::io_context Context(1);
  auto Host = entryhost::EntryHost::start(Context.get_executor(), Settings);
  if (!Host) {
    log(LogLevel::Error, "start_failed",
        {{"step", Host.error().Step},
         {"peer", Host.error().Peer},
         {"error", Host.error().Message}});
    return Failure;
  }
  spawn(Context.get_executor(), "signals", stopOnSignal(Context, **Host));
  spawn(Context.get_executor(), "entry_host", serve(Context, **Host));
  Context.run();
  log(LogLevel::Info, "stopped");
  return Success;
}

} // namespace

int main(int Count, char **Values) {
  int Code = Success;
  const auto Given = parseArguments(Count, Values, Code);
  if (!Given)
    return Code;
  if (Given->at("--describe-settings").asBool()) {
    std::cout << entryhost::describeSettings();
    return Success;
  }
  const std::string File = Given->at("--settings").asString();
  const auto Settings = entryhost::loadSettings(File);
  if (!Settings) {
    for (const SchemaError &Violation : Settings.error())
      std::cerr << "buckthorndeck: " << describe(Violation) << "\n";
    return WrongUsage;
  }
  if (Given->at("--check").asBool()) {
    std::cout << File << ": the settings are good\n";
    return Success;
  }
  return run(*Settings);
}
