#ifndef BUCKTHORNDECK_STANDINS_FLOWPACKET_H
#define BUCKTHORNDECK_STANDINS_FLOWPACKET_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/forwarding/Packet.h"

#include <cstdint>
#include <optional>

namespace buckthorndeck::standins {

//! Data bytes that one packet carries at most.
inline constexpr std::size_t MaxPacketData = 1200;

//! A packet as the two ends of a flow write and read it.
struct FlowPacket {
  forwarding::SocketAddress Source; //!< Of the sender's end of the flow.
  forwarding::SocketAddress Destination;
  forwarding::ServerToken Token; //!< As last received on the flow.
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  bool Open = false;
  bool Acknowledges = false;
  bool Finish = false;
  bool Reset = false;
  //! Only read: a reset that an entry host wrote, which neither end signed.
  bool FromHost = false;
  Bytes Data;
};

struct FlowPacketFormat {
  Bytes (*Encode)(const FlowPacket &Packet) = nullptr;
  //! No value for a packet that was changed on its way, except for its token.
  std::optional<FlowPacket> (*Decode)(ByteView Datagram) = nullptr;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_FLOWPACKET_H
