#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/standins/BackendServerSettings.h"
#include "buckthorndeck/standins/Program.h"

#include <boost/asio/this_coro.hpp>
#include <csignal>

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

Task<int> serve(Json Settings) {
  const Executor Where = co_await boost::asio::this_coro::executor;
  boost::asio::signal_set Signals(Where, SIGTERM, SIGINT, SIGUSR1);
  auto Server = BackendServer::start(Where, readBackendServerOptions(Settings));
  if (!Server) {
    log(LogLevel::Error, "start_failed", {{"error", describe(Server.error())}});
    co_return 1;
  }
  Json Addresses = {{"server", toString(Server->endpoint())}};
  if (const auto Health = Server->healthEndpoint())
    Addresses["health"] = toString(*Health);
  if (const auto Ready = announceReady(Settings, Addresses); !Ready) {
    log(LogLevel::Error, "start_failed", {{"error", describe(Ready.error())}});
    co_return 1;
  }
  while (co_await nextSignal(Signals) == SIGUSR1) {
    log(LogLevel::Info, "draining",
        {{"server", Server->options().Name.value()},
         {"running", Server->runsInProgress()}});
    Server->drain();
  }
  co_return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  return runProgram(Argc, Argv,
                    {.Name = "standin-server",
                     .Summary = "Stand-in for a backend server. SIGUSR1 "
                                "drains it, SIGTERM stops it.",
                     .Schema = backendServerSchema()},
                    serve);
}
