#ifndef BUCKTHORNDECK_FAULTS_HOSTPROCESS_H
#define BUCKTHORNDECK_FAULTS_HOSTPROCESS_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/faults/ChildProcess.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <memory>
#include <string>

namespace buckthorndeck::faults {

//! Addresses that a running host wrote to its ports file.
struct HostAddresses {
  UdpEndpoint Callers;
  UdpEndpoint Peers;
  TcpEndpoint Sync;
  TcpEndpoint Metrics;
};

//! One entry host as a process of its own, to be killed, frozen and stopped.
class HostProcess {
public:
  //! Starts Program with Settings, which needs no ports_file; Directory
  //! receives the settings, the ports file and the log.
  HostProcess(const std::string &Program, std::string Directory, Json Settings);

  const std::string &name() const { return Name; }

  //! Waits until the host serves. Throws if it ends instead.
  Task<HostAddresses> ready();

  void kill();      //!< SIGKILL
  void terminate(); //!< SIGTERM: graceful stop
  void freeze();    //!< SIGSTOP
  void resume();    //!< SIGCONT

  //! Waits until the process has ended and returns its exit code.
  Task<int> exited();

private:
  std::string Name;
  std::string PortsFile;
  std::unique_ptr<ChildProcess> Running;
};

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_HOSTPROCESS_H
