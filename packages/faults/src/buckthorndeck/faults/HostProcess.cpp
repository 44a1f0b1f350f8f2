#include "buckthorndeck/faults/HostProcess.h"

#include "buckthorndeck/base/JsonSchema.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace buckthorndeck::faults {

namespace {
//! Between two looks for the file that a host is to write.
constexpr Milliseconds PollInterval{10};
} // namespace

HostProcess::HostProcess(const std::string &Program, std::string Directory,
                         Json Settings)
    : Name(Settings["name"].get<std::string>()) {
  const std::string Base = Directory + "/" + Name;
  PortsFile = Base + ".ports.json";
  std::filesystem::remove(PortsFile);
  Settings["ports_file"] = PortsFile;
  std::ofstream(Base + ".json") << Settings.dump();
  const std::string Log = Base + ".log";
  const ChildProcessOptions Options{
      .Program = Program,
      .Arguments = {"--settings=" + Base + ".json"},
      .OutputFile = Log + ".out",
      .ErrorFile = Log};
  Running = std::make_unique<ChildProcess>(Options);
}

Task<HostAddresses> HostProcess::ready() {
  while (!std::filesystem::exists(PortsFile)) {
    if (!Running->running())
      throw std::runtime_error(Name + " ended before it served");
    co_await sleepFor(PollInterval);
  }
  const Json Ports = readJsonFile(PortsFile).value();
  const auto Udp = [&](const char *Key) {
    return parseUdpEndpoint(Ports[Key].get<std::string>(), "read ports")
        .value();
  };
  const auto Tcp = [&](const char *Key) {
    return parseTcpEndpoint(Ports[Key].get<std::string>(), "read ports")
        .value();
  };
  co_return HostAddresses{.Callers = Udp("callers"),
                          .Peers = Udp("peers"),
                          .Sync = Tcp("sync"),
                          .Metrics = Tcp("metrics")};
}

void HostProcess::kill() { Running->kill(); }
void HostProcess::terminate() { Running->terminate(); }
void HostProcess::freeze() { Running->freeze(); }
void HostProcess::resume() { Running->resume(); }
Task<int> HostProcess::exited() { return Running->exited(); }

} // namespace buckthorndeck::faults
