#include "buckthorndeck/faults/ChildProcess.h"

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>
#include <csignal>
#include <cstdio>

namespace buckthorndeck::faults {

namespace {

//! Between two looks at a child.
constexpr Milliseconds PollInterval{10};

struct CloseFile {
  void operator()(std::FILE *File) const { std::fclose(File); }
};
using FileHandle = std::unique_ptr<std::FILE, CloseFile>;

} // namespace

struct ChildProcess::Child {
  boost::process::child Process;

  void signal(int Number) {
    if (Process.running())
      ::kill(Process.id(), Number);
  }
};

ChildProcess::ChildProcess(const ChildProcessOptions &Options) {
  const FileHandle Output(std::fopen(Options.OutputFile.c_str(), "a"));
  // A child that inherited the stand-ins' sockets would keep the ports of
  // stopped servers open.
  Running = std::make_unique<Child>(Child{boost::process::child(
      Options.Program, boost::process::args(Options.Arguments),
      boost::process::std_out > Output.get(),
      boost::process::std_err > Options.ErrorFile,
      boost::process::limit_handles)});
}

ChildProcess::~ChildProcess() {
  kill();
  if (Running->Process.joinable())
    Running->Process.wait();
}

void ChildProcess::kill() { Running->signal(SIGKILL); }
void ChildProcess::terminate() { Running->signal(SIGTERM); }
void ChildProcess::freeze() { Running->signal(SIGSTOP); }
void ChildProcess::resume() { Running->signal(SIGCONT); }
void ChildProcess::reload() { Running->signal(SIGHUP); }

bool ChildProcess::running() { return Running->Process.running(); }

Task<int> ChildProcess::exited() {
  while (Running->Process.running())
    co_await sleepFor(PollInterval);
  co_return Running->Process.exit_code();
}

} // namespace buckthorndeck::faults
