#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/entryhost/EntryHost.h"
#include "buckthorndeck/entryhost/PacketHost.h"
#include "buckthorndeck/entryhost/Settings.h"
#include "buckthorndeck/entryhost/SettingsReader.h"
#include "buckthorndeck/platform/PacketCodec.h"
#include "buckthorndeck/platform/StoreCalls.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <docopt/docopt.h>
#include <optional>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

using namespace buckthorndeck;

namespace {

constexpr const char *Usage =
    R"(buckthorndeck: the balancer that runs on each entry host.

Usage:
  buckthorndeck --settings=FILE [--check]
  buckthorndeck packets [--settings=FILE] [--check]
  buckthorndeck --describe-settings
  buckthorndeck packets --describe-settings
  buckthorndeck (-h | --help)
  buckthorndeck --version

Commands:
  packets              Forward packets; flows end at backend servers and
                       callers. Without it, this host executes requests.

Options:
  --settings=FILE      JSON file with the settings of this entry host. For
                       packets it defaults to $BUCKTHORNDECK_CONFIG.
  --check              Check the settings and exit.
  --describe-settings  Print a table of all settings in Markdown.
  -h --help            Show this text.
  --version            Show the version.

Signals:
  SIGTERM, SIGINT      Stop gracefully; a second one stops at once.
  SIGHUP               packets: check the settings file again and apply its
                       log level; other changes need a restart.

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

template <typename Host>
Task<> stopOnSignal(boost::asio::io_context &Context, Host &Stopped) {
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  const auto [Code, Number] = co_await Signals.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
  if (Code)
    co_return;
  logStopRequested(Number);
  spawn(Context.get_executor(), "stop", Stopped.stop());
  co_await Signals.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
  log(LogLevel::Warn, "stopped_at_once");
  std::_Exit(Failure);
}

void reloadPacketSettings(const std::string &File) {
  const auto Settings = entryhost::loadPacketSettings(File);
  if (Settings) {
    setLogThreshold(Settings->LogThreshold);
    log(LogLevel::Info, "settings_reloaded", {{"file", File}});
    return;
  }
  for (const SchemaError &Violation : Settings.error())
    log(LogLevel::Error, "settings_rejected", {{"error", describe(Violation)}});
}

Task<> reloadOnSignal(boost::asio::io_context &Context, std::string File) {
  boost::asio::signal_set Signals(Context, SIGHUP);
  while (true) {
    const auto [Code, Number] = co_await Signals.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    if (Code)
      co_return;
    reloadPacketSettings(File);
  }
}

template <typename Host>
Task<> serve(boost::asio::io_context &Context, Host &Served) {
  co_await Served.run();
  Context.stop();
}

//! Runs a host until it has stopped, and returns the exit code.
template <typename Host>
int runHost(boost::asio::io_context &Context,
            const Expected<std::unique_ptr<Host>> &Started) {
  if (!Started) {
    log(LogLevel::Error, "start_failed",
        {{"step", Started.error().Step},
         {"peer", Started.error().Peer},
         {"error", Started.error().Message}});
    return Failure;
  }
  spawn(Context.get_executor(), "signals", stopOnSignal(Context, **Started));
  spawn(Context.get_executor(), "entry_host", serve(Context, **Started));
  Context.run();
  log(LogLevel::Info, "stopped");
  return Success;
}

int runRequests(const entryhost::Settings &Settings, const std::string &) {
  initLogging({.Threshold = Settings.LogThreshold,
               .Program = "buckthorndeck/" + Settings.Name.value()});
  boost::asio::io_context Context(1);
  return runHost(Context,
                 entryhost::EntryHost::start(Context.get_executor(), Settings));
}

int runPackets(const entryhost::PacketSettings &Settings,
               const std::string &File) {
  initLogging({.Threshold = Settings.LogThreshold,
               .Program = "buckthorndeck/" + Settings.Name.value(),
               .Target = LogTarget::StandardOutput,
               .LinesPerSecond = Settings.LogLinesPerSecond});
  boost::asio::io_context Context(1);
  spawn(Context.get_executor(), "reload", reloadOnSignal(Context, File));
  const int Code =
      runHost(Context,
              entryhost::PacketHost::start(
                  Context.get_executor(), Settings, platform::packetFormat(),
                  platform::storeCalls(Settings.Store, Settings.StoreTimeout)));
  // All log lines are written by now. Joining the log library's idle threads
  // can take longer than the platform allows for a stop.
  std::_Exit(Code);
}

//! Loads the settings and runs the host, or only checks them; returns the exit
//! code.
template <typename Loader, typename Runner>
int loadAndRun(const std::string &File, bool CheckOnly, Loader Load,
               Runner Run) {
  const auto Settings = Load(File);
  if (!Settings) {
    for (const SchemaError &Violation : Settings.error())
      std::cerr << "buckthorndeck: " << describe(Violation) << "\n";
    return WrongUsage;
  }
  if (CheckOnly) {
    std::cout << File << ": the settings are good\n";
    return Success;
  }
  return Run(*Settings, File);
}

//! The path given by --settings, else by $BUCKTHORNDECK_CONFIG; empty if
//! neither is set.
std::string settingsFile(const docopt::value &SettingsOption) {
  if (SettingsOption)
    return SettingsOption.asString();
  const char *FromEnvironment = std::getenv("BUCKTHORNDECK_CONFIG");
  return FromEnvironment ? FromEnvironment : "";
}

} // namespace

int main(int Count, char **Values) {
  // Until a host handles it, SIGHUP would end the process.
  std::signal(SIGHUP, SIG_IGN);
  int Code = Success;
  const auto Parsed = parseArguments(Count, Values, Code);
  if (!Parsed)
    return Code;
  const bool Packets = Parsed->at("packets").asBool();
  if (Parsed->at("--describe-settings").asBool()) {
    std::cout << (Packets ? entryhost::describeSchema(
                                entryhost::packetSettingsSchema())
                          : entryhost::describeSettings());
    return Success;
  }
  const bool CheckOnly = Parsed->at("--check").asBool();
  const std::string File = settingsFile(Parsed->at("--settings"));
  if (File.empty()) {
    std::cerr << "buckthorndeck: --settings or BUCKTHORNDECK_CONFIG must name "
                 "the settings file\n";
    return WrongUsage;
  }
  if (Packets)
    return loadAndRun(File, CheckOnly, entryhost::loadPacketSettings,
                      runPackets);
  return loadAndRun(File, CheckOnly, entryhost::loadSettings, runRequests);
}
