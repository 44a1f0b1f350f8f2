#ifndef BUCKTHORNDECK_WIRE_RELAY_H
#define BUCKTHORNDECK_WIRE_RELAY_H

#include "buckthorndeck/base/Mac.h"
#include "buckthorndeck/wire/Datagram.h"

namespace buckthorndeck::wire {

//! Bytes that a relay adds at most: frame (4), map head (1), caller address
//! (2 + 22), head of the datagram (5) and MAC (16).
inline constexpr std::size_t MaxRelayOverheadBytes = 50;
static_assert(MaxDatagramBytes + MaxRelayOverheadBytes <= MaxPeerDatagramBytes);

//! A caller's datagram on its way from the host that received it to another.
struct Relay {
  std::string Caller; //!< "a.b.c.d:port", at most MaxAddressBytes.
  Bytes Payload;      //!< Unchanged, at most MaxDatagramBytes.
};

//! Encodes and seals.
Bytes encodeRelay(const MacKey &Key, const Relay &Message);

//! Checks the MAC before decoding anything. Peer goes into the error.
Expected<Relay> decodeRelay(const MacKey &Key, ByteView Sealed,
                            const std::string &Peer);

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_RELAY_H
