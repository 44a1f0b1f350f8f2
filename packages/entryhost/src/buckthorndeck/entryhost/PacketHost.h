#ifndef BUCKTHORNDECK_ENTRYHOST_PACKETHOST_H
#define BUCKTHORNDECK_ENTRYHOST_PACKETHOST_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/entryhost/PacketSettings.h"
#include "buckthorndeck/forwarding/Packet.h"
#include "buckthorndeck/forwarding/Registry.h"
#include "buckthorndeck/net/Task.h"

#include <memory>

namespace buckthorndeck::entryhost {

//! Where a host listens; the kernel may have chosen the ports.
struct PacketHostEndpoints {
  UdpEndpoint Packets;
  TcpEndpoint Ready;
  TcpEndpoint Metrics;
};

//! An entry host that forwards packets: its sockets and their tasks.
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

  //! Reports that it is not ready and forwards until routers send no more
  //! packets, at most for the grace time of the settings.
  Task<> stop();

private:
  struct Parts;
  explicit PacketHost(std::unique_ptr<Parts> Owned);

  std::unique_ptr<Parts> Owned;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_PACKETHOST_H
