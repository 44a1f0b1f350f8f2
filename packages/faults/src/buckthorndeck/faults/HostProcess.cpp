#include "buckthorndeck/faults/HostProcess.h"

#include "buckthorndeck/base/JsonSchema.h"

#include <boost/process/child.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace buckthorndeck::faults {

namespace {
//! Between two looks at a child or at the file that it is to write.
constexpr Milliseconds PollInterval{10};
} // namespace

struct HostProcess::Child {
  boost::process::child Process;

  void signal(int Number) {
    if (Process.running())
      ::kill(Process.id(), Number);
  }
};

HostProcess::HostProcess(const std::string &Program, std::string Directory,
                         Json Settings)
    : Name(Settings["name"].get<std::string>()) {
  const std::string Base = Directory + "/" + Name;
  PortsFile = Base + ".ports.json";
  std::filesystem::remove(PortsFile);
  Settings["ports_file"] = PortsFile;
  std::ofstream(Base + ".json") << Settings.dump();
  const std::string Log = Base + ".log";
  // A child that inherited the stand-ins' sockets would keep the ports of
  // stopped servers open.
  Running = std::make_unique<Child>(Child{boost::process::child(
      Program, "--settings=" + Base + ".json",
      boost::process::std_out > Log + ".out", boost::process::std_err > Log,
      boost::process::limit_handles)});
}

HostProcess::~HostProcess() {
  kill();
  if (Running->Process.joinable())
    Running->Process.wait();
}

Task<HostAddresses> HostProcess::ready() {
  while (!std::filesystem::exists(PortsFile)) {
    if (!Running->Process.running())
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

void HostProcess::kill() { Running->signal(SIGKILL); }
void HostProcess::terminate() { Running->signal(SIGTERM); }
void HostProcess::freeze() { Running->signal(SIGSTOP); }
void HostProcess::resume() { Running->signal(SIGCONT); }

Task<int> HostProcess::exited() {
  while (Running->Process.running())
    co_await sleepFor(PollInterval);
  co_return Running->Process.exit_code();
}

} // namespace buckthorndeck::faults
