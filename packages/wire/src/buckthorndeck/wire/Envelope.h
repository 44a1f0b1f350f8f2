#ifndef BUCKTHORNDECK_WIRE_ENVELOPE_H
#define BUCKTHORNDECK_WIRE_ENVELOPE_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/base/Mac.h"
#include "buckthorndeck/wire/Datagram.h"

namespace buckthorndeck::wire {

//! The frame of every datagram: the CBOR array [version, type, fields].
struct Envelope {
  unsigned Type = 0;
  Json Fields;
};

Bytes encodeEnvelope(unsigned Type, Json Fields);

//! Refuses payloads over MaxBytes before decoding them, and unknown protocol
//! versions. Host-to-host payloads may have MaxPeerDatagramBytes.
Expected<Envelope> decodeEnvelope(ByteView Payload, const std::string &Step,
                                  const std::string &Peer,
                                  std::size_t MaxBytes = MaxDatagramBytes);

//! Opens a host-to-host datagram: checks the MAC before decoding anything.
Expected<Envelope> unsealEnvelope(const MacKey &Key, ByteView Sealed,
                                  const std::string &Peer);

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_ENVELOPE_H
