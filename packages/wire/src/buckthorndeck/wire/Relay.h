#ifndef BUCKTHORNDECK_WIRE_RELAY_H
#define BUCKTHORNDECK_WIRE_RELAY_H

#include "buckthorndeck/base/Mac.h"
#include "buckthorndeck/wire/Datagram.h"
#include "buckthorndeck/wire/Envelope.h"

#include <string>

namespace buckthorndeck::wire {

//! Types of the messages between entry hosts; 20 to 22 are heartbeats.
inline constexpr unsigned AnnouncementType = 23;
inline constexpr unsigned RelayType = 30;

//! Bytes that a relay adds at most: frame (4), map head (1), caller address
//! (2 + 22), takeover flag (3), head of the datagram (5) and MAC (16).
inline constexpr std::size_t MaxRelayOverheadBytes = 53;
static_assert(MaxDatagramBytes + MaxRelayOverheadBytes <= MaxPeerDatagramBytes);

//! A caller's datagram that one entry host passes to another.
struct Relay {
  //! "a.b.c.d:port" that the answer goes to, at most MaxAddressBytes.
  std::string Caller;
  //! The receiver handles the datagram itself even though its token names
  //! another home. Set by a home that is leaving.
  bool Takeover = false;
  Bytes Payload; //!< Unchanged, at most MaxDatagramBytes.
};

//! Encodes and seals.
Bytes encodeRelay(const MacKey &Key, const Relay &Message);

//! Reads the fields of an unsealed envelope of type RelayType.
Expected<Relay> decodeRelay(const Envelope &Message, const std::string &Peer);

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_RELAY_H
