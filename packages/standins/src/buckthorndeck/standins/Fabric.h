#ifndef BUCKTHORNDECK_STANDINS_FABRIC_H
#define BUCKTHORNDECK_STANDINS_FABRIC_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace buckthorndeck::standins {

//! What happens to packets in one direction. Each is a probability per packet.
struct PacketFaults {
  double Drop = 0;
  double Duplicate = 0;
  double Delay = 0; //!< Held back for a time drawn from the range below.
  Milliseconds MinDelay{1};
  Milliseconds MaxDelay{20};
  //! Sent after the next packet of the same caller and direction, or after
  //! MaxDelay if none follows.
  double Reorder = 0;
};

struct FabricOptions {
  //! Callers send here; port 0 lets the kernel choose.
  UdpEndpoint Listen{boost::asio::ip::address_v4::loopback(), 0};
  std::uint64_t RandomSeed = 1;
  std::vector<UdpEndpoint> Hosts;
  PacketFaults ToHosts;
  PacketFaults ToCallers;
  //! A caller's upstream socket is closed after this long without packets.
  Milliseconds IdleTimeout{60'000};
};

struct FabricStats {
  std::uint64_t Received = 0; //!< In both directions, like all counters.
  std::uint64_t Sent = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t Duplicated = 0;
  std::uint64_t Delayed = 0;
  std::uint64_t Reordered = 0;
  std::uint64_t Unroutable = 0; //!< There was no entry host to send to.
};

/**
 * Sprays the packets of callers over the entry hosts.
 *
 * Each caller address has its own upstream socket, so that entry hosts see a
 * distinct source address per caller, and whatever host answers to it reaches
 * that caller.
 */
class Fabric {
public:
  static Expected<Fabric> start(const Executor &Where, FabricOptions Options);
  Fabric(Fabric &&) = default;
  Fabric &operator=(Fabric &&) = delete;
  //! Stops like stop().
  ~Fabric();

  //! Address for callers.
  UdpEndpoint endpoint() const;
  void setHosts(std::vector<UdpEndpoint> Hosts);
  void setFaults(const PacketFaults &ToHosts, const PacketFaults &ToCallers);
  const FabricStats &stats() const;
  //! Caller addresses that have an upstream socket.
  std::size_t callers() const;
  void stop();

private:
  struct State;
  explicit Fabric(std::shared_ptr<State> Shared);

  std::shared_ptr<State> Shared;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_FABRIC_H
