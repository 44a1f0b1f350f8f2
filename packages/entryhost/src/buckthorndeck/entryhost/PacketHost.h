#ifndef BUCKTHORNDECK_ENTRYHOST_PACKETHOST_H
#define BUCKTHORNDECK_ENTRYHOST_PACKETHOST_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/entryhost/PacketSettings.h"
#include "buckthorndeck/forwarding/Packet.h"
#include "buckthorndeck/forwarding/Registry.h"
#include "buckthorndeck/net/Task.h"

#include <memory>

namespace buckthorndeck::entryhost {

//! The addresses that a host has bound, with the ports that the kernel chose
//! for port 0.
struct PacketHostEndpoints {
  UdpEndpoint Packets;
  TcpEndpoint Ready;
  TcpEndpoint Metrics;
};

//! An entry host that forwards packets: its sockets and the tasks that serve
//! them.
class PacketHost {
public:
  //! Binds every address of the settings. The host serves once run() starts.
  static Expected<std::unique_ptr<PacketHost>>
  start(const Executor &Where, const PacketSettings &Options,
        const forwarding::PacketFormat &Format,
        forwarding::RegistrySource Source);
  ~PacketHost();

  PacketHostEndpoints endpoints() const;

  //! Serves until stop() has ended.
  Task<> run();

  //! Reports that the host is not ready, and forwards packets until routers
  //! send no more, at most for PacketSettings::StopGrace.
  Task<> stop();

private:
  struct Impl;
  explicit PacketHost(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_PACKETHOST_H
