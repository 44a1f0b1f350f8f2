#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/standins/PlatformSettings.h"
#include "buckthorndeck/standins/Program.h"

#include <boost/asio/this_coro.hpp>
#include <csignal>

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

Task<int> serve(Json Settings) {
  const Executor Where = co_await boost::asio::this_coro::executor;
  boost::asio::signal_set Signals(Where, SIGTERM, SIGINT);
  auto Started = Platform::start(Where, readPlatformOptions(Settings));
  if (!Started) {
    log(LogLevel::Error, "start_failed",
        {{"error", describe(Started.error())}});
    co_return 1;
  }
  const Json Addresses = {{"platform", toString(Started->endpoint())}};
  if (const auto Ready = announceReady(Settings, Addresses); !Ready) {
    log(LogLevel::Error, "start_failed", {{"error", describe(Ready.error())}});
    co_return 1;
  }
  co_await nextSignal(Signals);
  co_return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  return runProgram(Argc, Argv,
                    {.Name = "standin-platform",
                     .Summary = "Stand-in for the platform's key-value "
                                "service and host list.",
                     .Schema = platformSchema()},
                    serve);
}
