#include "buckthorndeck/wire/Relay.h"

#include "buckthorndeck/base/FieldReader.h"

namespace buckthorndeck::wire {

Bytes encodeRelay(const MacKey &Key, const Relay &Message) {
  return seal(Key, encodeEnvelope(RelayType, {{"c", Message.Caller},
                                              {"t", Message.Takeover},
                                              {"d", binary(Message.Payload)}}));
}

Expected<Relay> decodeRelay(const Envelope &Message, const std::string &Peer) {
  FieldReader Reader(Message.Fields, "decode relay", Peer);
  if (Message.Type != RelayType)
    Reader.fail("type", "a relayed datagram");
  Relay Result{.Caller = Reader.text("c", MaxAddressBytes, 1),
               .Takeover = Reader.flag("t"),
               .Payload = Reader.bytes("d", MaxDatagramBytes)};
  if (Reader.failed())
    return Unexpected(Reader.error());
  return Result;
}

} // namespace buckthorndeck::wire
