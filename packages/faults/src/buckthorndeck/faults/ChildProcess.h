#ifndef BUCKTHORNDECK_FAULTS_CHILDPROCESS_H
#define BUCKTHORNDECK_FAULTS_CHILDPROCESS_H

#include "buckthorndeck/net/Task.h"

#include <memory>
#include <string>
#include <vector>

namespace buckthorndeck::faults {

struct ChildProcessOptions {
  std::string Program;
  std::vector<std::string> Arguments;
  std::string OutputFile; //!< Appended to.
  std::string ErrorFile;  //!< Replaced.
};

//! A process that can be killed, frozen and stopped.
class ChildProcess {
public:
  explicit ChildProcess(const ChildProcessOptions &Options);
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  //! Kills the process if it still runs.
  ~ChildProcess();

  void kill();      //!< SIGKILL
  void terminate(); //!< SIGTERM: graceful stop
  void freeze();    //!< SIGSTOP
  void resume();    //!< SIGCONT
  void reload();    //!< SIGHUP: reads its settings again

  bool running();
  //! Waits until the process has ended and returns its exit code.
  Task<int> exited();

private:
  struct Child;

  std::unique_ptr<Child> Running;
};

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_CHILDPROCESS_H
