#ifndef BUCKTHORNDECK_WIRE_ENVELOPE_H
#define BUCKTHORNDECK_WIRE_ENVELOPE_H

#include "buckthorndeck/base/Json.h"

namespace buckthorndeck::wire {

//! The frame of every datagram: the CBOR array [version, type, fields].
struct Envelope {
  unsigned Type = 0;
  Json Fields;
};

Bytes encodeEnvelope(unsigned Type, Json Fields);

//! Refuses datagrams over MaxDatagramBytes before decoding them, and unknown
//! protocol versions.
Expected<Envelope> decodeEnvelope(ByteView Payload, const std::string &Step,
                                  const std::string &Peer);

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_ENVELOPE_H
