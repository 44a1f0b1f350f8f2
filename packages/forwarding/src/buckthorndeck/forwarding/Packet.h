#ifndef BUCKTHORNDECK_FORWARDING_PACKET_H
#define BUCKTHORNDECK_FORWARDING_PACKET_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/StrongType.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace buckthorndeck::forwarding {

//! Names the backend server process that holds a flow; 0 stands for none. Both
//! ends of a flow repeat it in their packets.
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

//! What identifies a flow: its caller's address and the service's address.
struct FlowKey {
  SocketAddress Caller;
  SocketAddress Service;

  friend bool operator==(const FlowKey &, const FlowKey &) = default;
};

//! "caller>service", the id of a flow in logs.
std::string toString(const FlowKey &Flow);

//! Hash that every host computes alike.
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

//! What a host reads of a caller's packet. The data is carried unread.
struct PacketHeader {
  FlowKey Flow;
  ServerToken Token;              //!< As last received by the caller.
  std::uint32_t Sequence = 0;     //!< Number of the first byte of the data.
  std::uint32_t Acknowledged = 0; //!< Bytes received; copy number of an open.
  std::uint16_t DataBytes = 0;
  bool Syn = false;          //!< First packet of a flow.
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
  //! A packet that ends the flow at its caller, as if from the service.
  //! Sequence is a number that the caller accepts.
  Bytes (*EncodeReset)(const FlowKey &Flow, std::uint32_t Sequence) = nullptr;
  //! Bytes that precede a packet on its way to one server process.
  std::size_t ServerPrefixBytes = 0;
  void (*WriteServerPrefix)(std::span<std::uint8_t> Prefix,
                            std::uint64_t ServerId) = nullptr;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_PACKET_H
