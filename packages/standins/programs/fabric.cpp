#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/net/HttpClient.h"
#include "buckthorndeck/standins/FabricSettings.h"
#include "buckthorndeck/standins/Program.h"

#include <boost/asio/this_coro.hpp>
#include <csignal>

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

constexpr Milliseconds PlatformTimeout{2000};
constexpr std::int64_t DefaultPollMs = 500;

void takeHosts(Fabric &Target,
               const Expected<std::vector<UdpEndpoint>> &Hosts) {
  if (!Hosts) {
    // The list that is in use stays in use.
    log(LogLevel::Warn, "hosts_not_read", {{"error", describe(Hosts.error())}});
    return;
  }
  Target.setHosts(*Hosts);
}

//! Follows the platform's host list for as long as the program runs.
Task<> followPlatform(Fabric *Target, Json Settings) {
  const TcpEndpoint Platform = tcpEndpointAt(Settings, "address");
  const Milliseconds Poll(Settings.value("poll_ms", DefaultPollMs));
  const bool WithLeaving = Settings.value("with_leaving", false);
  while (true) {
    HttpRequest Request{.Target = "/v1/hosts"};
    const auto Answer =
        co_await callHttp(Platform, std::move(Request), PlatformTimeout);
    if (!Answer)
      takeHosts(*Target, Unexpected(Answer.error()));
    else
      takeHosts(*Target, readHostList(Answer->Body, WithLeaving));
    co_await sleepFor(Poll);
  }
}

Task<int> serve(Json Settings) {
  const Executor Where = co_await boost::asio::this_coro::executor;
  boost::asio::signal_set Signals(Where, SIGTERM, SIGINT, SIGHUP);
  auto Started = Fabric::start(Where, readFabricOptions(Settings));
  if (!Started) {
    log(LogLevel::Error, "start_failed",
        {{"error", describe(Started.error())}});
    co_return 1;
  }
  const std::string HostsFile = Settings.value("hosts_file", "");
  if (!HostsFile.empty())
    takeHosts(*Started, readHostsFile(HostsFile));
  if (Settings.contains("platform"))
    spawn(Where, "follow_platform",
          followPlatform(&*Started, Settings["platform"]));
  const Json Addresses = {{"callers", toString(Started->endpoint())}};
  if (const auto Ready = announceReady(Settings, Addresses); !Ready) {
    log(LogLevel::Error, "start_failed", {{"error", describe(Ready.error())}});
    co_return 1;
  }
  while (co_await nextSignal(Signals) == SIGHUP)
    if (!HostsFile.empty())
      takeHosts(*Started, readHostsFile(HostsFile));
  const FabricStats &Stats = Started->stats();
  log(LogLevel::Info, "packets",
      {{"received", Stats.Received},
       {"sent", Stats.Sent},
       {"dropped", Stats.Dropped},
       {"duplicated", Stats.Duplicated},
       {"delayed", Stats.Delayed},
       {"reordered", Stats.Reordered},
       {"unroutable", Stats.Unroutable}});
  co_return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  return runProgram(Argc, Argv,
                    {.Name = "standin-fabric",
                     .Summary = "Stand-in for the fabric between callers and "
                                "entry hosts. SIGHUP reads the hosts file "
                                "again, SIGTERM stops it.",
                     .Schema = fabricSchema()},
                    serve);
}
