#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/operator/Commands.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>

using namespace buckthorndeck;
using namespace buckthorndeck::operators;

namespace {

Task<> runToEnd(boost::asio::io_context &Context, Invocation CommandLine,
                ExitCode &Code) {
  const Streams Output{.Out = std::cout, .Err = std::cerr};
  Code = co_await runCommand(std::move(CommandLine), Output);
  Context.stop();
}

} // namespace

int main(int Count, char **Values) {
  const std::vector<std::string> Arguments(Values + 1, Values + Count);
  auto CommandLine = parseCommandLine(Arguments);
  if (!CommandLine) {
    std::cerr << "buckthornctl: " << CommandLine.error()
              << "\nTry 'buckthornctl --help'.\n";
    return static_cast<int>(ExitCode::WrongUsage);
  }
  initLogging({.Threshold = LogLevel::Warn, .Program = "buckthornctl"});
  boost::asio::io_context Context(1);
  // An exception that ends the command early is logged by spawn().
  ExitCode Code = ExitCode::Unavailable;
  spawn(Context.get_executor(), "command",
        runToEnd(Context, std::move(*CommandLine), Code));
  Context.run();
  return static_cast<int>(Code);
}
