#include "buckthorndeck/standins/Program.h"

#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/base/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <docopt/docopt.h>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace buckthorndeck::standins {

namespace asio = boost::asio;

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitBadSettings = 2;
constexpr const char *AnyLoopbackPort = "127.0.0.1:0";

std::string usage(const Program &What) {
  return What.Name + ": " + What.Summary + "\n\nUsage:\n  " + What.Name +
         " <settings>\n  " + What.Name + " (-h | --help)\n  " + What.Name +
         " --version\n\nArguments:\n"
         "  <settings>  JSON settings file.\n\n"
         "Options:\n"
         "  -h --help   Show this text.\n"
         "  --version   Show the version.\n";
}

Expected<void> writeAtomically(const std::string &File,
                               const std::string &Text) {
  const std::string Temporary = File + ".new";
  std::ofstream Stream(Temporary, std::ios::trunc);
  Stream << Text << '\n';
  Stream.close();
  std::error_code Code;
  if (Stream)
    std::filesystem::rename(Temporary, File, Code);
  if (!Stream || Code)
    return Unexpected(
        Error{.Code = ErrorCode::Invalid,
              .Step = "write ports file",
              .Peer = File,
              .Message = Code ? Code.message() : "the file cannot be written"});
  return {};
}

Task<> runBody(asio::io_context *Context, const ProgramBody *Body,
               Json Settings, int *ExitCode) {
  *ExitCode = co_await (*Body)(std::move(Settings));
  Context->stop();
}

} // namespace

int runProgram(int Argc, char **Argv, const Program &What,
               const ProgramBody &Body) {
  const auto Arguments =
      docopt::docopt(usage(What), {Argv + 1, Argv + Argc}, /*help=*/true,
                     What.Name + " " + BUCKTHORNDECK_VERSION);
  const std::string File = Arguments.at("<settings>").asString();
  initLogging({.Program = What.Name});
  auto Settings = readJsonFile(File);
  if (!Settings) {
    std::cerr << describe(Settings.error()) << '\n';
    return ExitBadSettings;
  }
  const auto Errors = checkSchema(File, *Settings, What.Schema);
  for (const SchemaError &Violation : Errors)
    std::cerr << describe(Violation) << '\n';
  if (!Errors.empty())
    return ExitBadSettings;

  asio::io_context Context(1);
  int ExitCode = ExitFailure;
  asio::co_spawn(Context,
                 runBody(&Context, &Body, std::move(*Settings), &ExitCode),
                 [&](const std::exception_ptr &Failure) {
                   if (!Failure)
                     return;
                   Context.stop();
                   try {
                     std::rethrow_exception(Failure);
                   } catch (const std::exception &Caught) {
                     log(LogLevel::Error, "failed", {{"error", Caught.what()}});
                   }
                 });
  Context.run();
  log(LogLevel::Info, "stopped", {{"exit_code", ExitCode}});
  return ExitCode;
}

Expected<void> announceReady(const Json &Settings, const Json &Addresses) {
  const std::string File = Settings.value("ports_file", "");
  if (!File.empty())
    if (auto Written = writeAtomically(File, Addresses.dump()); !Written)
      return Written;
  log(LogLevel::Info, "ready", {{"addresses", Addresses.dump()}});
  return {};
}

Task<int> nextSignal(asio::signal_set &Signals) {
  const auto [Code, Number] =
      co_await Signals.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return Code ? 0 : Number;
}

Json addressRule(const std::string &Description) {
  const std::string Octet = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
  const std::string Port = "([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4]["
                           "0-9]{2}|655[0-2][0-9]|6553[0-5])";
  return {{"type", "string"},
          {"pattern", "^(" + Octet + "\\.){3}" + Octet + ":" + Port + "$"},
          {"description", Description}};
}

TcpEndpoint tcpEndpointAt(const Json &Settings, const std::string &Key) {
  return parseTcpEndpoint(Settings.value(Key, AnyLoopbackPort), "read settings")
      .value();
}

UdpEndpoint udpEndpointAt(const Json &Settings, const std::string &Key) {
  return parseUdpEndpoint(Settings.value(Key, AnyLoopbackPort), "read settings")
      .value();
}

} // namespace buckthorndeck::standins
