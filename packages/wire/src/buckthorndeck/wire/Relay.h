#ifndef BUCKTHORNDECK_WIRE_RELAY_H
#define BUCKTHORNDECK_WIRE_RELAY_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/wire/Envelope.h"

#include <string>

namespace buckthorndeck::wire {

//! Types of the messages between entry hosts; 20 to 22 are heartbeats.
inline constexpr unsigned AnnounceType = 23;
inline constexpr unsigned RelayType = 30;

//! A caller's datagram that one entry host passes to another.
struct Relay {
  std::string Caller; //!< "a.b.c.d:port" that the answer goes to.
  //! The receiver handles the datagram itself even though its token names
  //! another home. Set by a home that is leaving.
  bool Takeover = false;
  Bytes Datagram;
};

//! Encodes the envelope, without a MAC.
Bytes encode(const Relay &Message);
//! Reads the fields of an envelope of type RelayType.
Expected<Relay> decodeRelay(const Envelope &Message, const std::string &Peer);

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_RELAY_H
