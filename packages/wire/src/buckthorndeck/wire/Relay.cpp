#include "buckthorndeck/wire/Relay.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/wire/Envelope.h"

namespace buckthorndeck::wire {

namespace {
constexpr unsigned RelayType = 30;
} // namespace

Bytes encodeRelay(const MacKey &Key, const Relay &Message) {
  return seal(Key, encodeEnvelope(RelayType, {{"c", Message.Caller},
                                              {"d", binary(Message.Payload)}}));
}

Expected<Relay> decodeRelay(const MacKey &Key, ByteView Sealed,
                            const std::string &Peer) {
  const std::string Step = "decode relay";
  const auto Opened = unseal(Key, Sealed, Peer);
  if (!Opened)
    return Unexpected(Opened.error());
  auto Frame =
      decodeEnvelope(*Opened, Step, Peer, MaxPeerDatagramBytes - MacBytes);
  if (!Frame)
    return Unexpected(Frame.error());
  FieldReader Reader(Frame->Fields, Step, Peer);
  if (Frame->Type != RelayType)
    Reader.fail("type", "a relayed datagram");
  Relay Message{.Caller = Reader.text("c", MaxAddressBytes, 1),
                .Payload = Reader.bytes("d", MaxDatagramBytes)};
  if (Reader.failed())
    return Unexpected(Reader.error());
  return Message;
}

} // namespace buckthorndeck::wire
