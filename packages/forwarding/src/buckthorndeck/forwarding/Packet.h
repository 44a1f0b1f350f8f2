#ifndef BUCKTHORNDECK_FORWARDING_PACKET_H
#define BUCKTHORNDECK_FORWARDING_PACKET_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/StrongType.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace buckthorndeck::forwarding {

//! Identifies the backend server process of a flow; 0 stands for none. Both
//! ends of a flow send it in their packets.
using ServerToken = StrongType<struct ServerTokenTag, std::uint32_t>;

//! An IPv4 address and a port in host byte order.
struct SocketAddress {
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;

  friend bool operator==(const SocketAddress &,
                         const SocketAddress &) = default;
};

//! "a.b.c.d:port".
std::string toString(const SocketAddress &Address);

//! Identifies a flow by the caller's and the service's address.
struct FlowKey {
  SocketAddress Caller;
  SocketAddress Service;

  friend bool operator==(const FlowKey &, const FlowKey &) = default;
};

//! "caller>service", the form of a flow in logs.
std::string toString(const FlowKey &Flow);

//! Hash that is the same on every host.
std::uint64_t hashOf(const FlowKey &Flow);
std::uint64_t hashOf(const SocketAddress &Address);

struct FlowKeyHash {
  std::size_t operator()(const FlowKey &Flow) const { return hashOf(Flow); }
};

struct SocketAddressHash {
  std::size_t operator()(const SocketAddress &Address) const {
    return hashOf(Address);
  }
};

//! The fields of a caller's packet that a host reads. The data is not
//! inspected.
struct PacketHeader {
  FlowKey Flow;
  ServerToken Token;          //!< As last received by the caller.
  std::uint32_t Sequence = 0; //!< Of the first byte of the data.
  //! End of the data that the caller has received; in a SYN, the number of the
  //! copy, 0 for the first.
  std::uint32_t Acknowledged = 0;
  std::uint16_t DataBytes = 0;
  bool Syn = false;          //!< First packet of a flow, or a copy of it.
  bool Acknowledges = false; //!< Acknowledged is valid.
  bool Finish = false;       //!< The caller sends no more data.
  bool Reset = false;
};

/**
 * The packet format of the network that the host serves.
 *
 * Packets are rewritten in place; only the token may change.
 */
struct PacketFormat {
  //! No value for a packet that no caller can have sent.
  std::optional<PacketHeader> (*Decode)(ByteView Packet) = nullptr;
  void (*WriteToken)(std::span<std::uint8_t> Packet,
                     ServerToken Token) = nullptr;
  //! A packet that resets the flow at its caller, with the service's address as
  //! source. Sequence must be a number that the caller accepts.
  Bytes (*EncodeReset)(const FlowKey &Flow, std::uint32_t Sequence) = nullptr;
  //! Length of the prefix that addresses a packet to one server process.
  std::size_t ServerPrefixBytes = 0;
  void (*WriteServerPrefix)(std::span<std::uint8_t> Prefix,
                            std::uint64_t ServerId) = nullptr;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_PACKET_H
