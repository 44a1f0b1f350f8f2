#ifndef BUCKTHORNDECK_STANDINS_PACKETROUTER_H
#define BUCKTHORNDECK_STANDINS_PACKETROUTER_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/forwarding/Packet.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::standins {

struct RoutedHost {
  FailureDomainName Domain;
  UdpEndpoint Packets;
  TcpEndpoint Ready;
};

struct PacketRouterOptions {
  std::string ReadyPath;
  std::vector<RoutedHost> Hosts;
};

/**
 * The routers in front of the entry hosts: the hash of a flow, modulo the
 * number of hosts in rotation, names its host, so that nearly all flows move
 * whenever that number changes.
 *
 * A host is out of rotation after two missed readiness checks. A failure
 * domain with less than half of its hosts in rotation uses all of them; one
 * with none uses those of the next.
 */
class PacketRouter {
public:
  PacketRouter(const Executor &Where, PacketRouterOptions Options);
  ~PacketRouter();

  //! The host that gets the next packet of a flow; no value if there is none.
  std::optional<UdpEndpoint> route(const forwarding::FlowKey &Flow,
                                   const FailureDomainName &Domain) const;
  std::size_t hostsInRotation() const;

private:
  struct State;

  std::shared_ptr<State> Shared;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_PACKETROUTER_H
