#include "buckthorndeck/wire/Relay.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/wire/Datagram.h"

namespace buckthorndeck::wire {

Bytes encode(const Relay &Message) {
  return encodeEnvelope(RelayType, {{"c", Message.Caller},
                                    {"t", Message.Takeover},
                                    {"d", binary(Message.Datagram)}});
}

Expected<Relay> decodeRelay(const Envelope &Message, const std::string &Peer) {
  FieldReader Reader(Message.Fields, "decode relay", Peer);
  Relay Result{.Caller = Reader.text("c", MaxAddressBytes, 1),
               .Takeover = Reader.flag("t"),
               .Datagram = Reader.bytes("d", MaxDatagramBytes)};
  if (Reader.failed())
    return Unexpected(Reader.error());
  return Result;
}

} // namespace buckthorndeck::wire
