#include "buckthorndeck/wire/Envelope.h"

namespace buckthorndeck::wire {

namespace {
constexpr unsigned MaxType = 255;
} // namespace

Bytes encodeEnvelope(unsigned Type, Json Fields) {
  return encodeCbor(Json::array({ProtocolVersion, Type, std::move(Fields)}));
}

Expected<Envelope> decodeEnvelope(ByteView Payload, const std::string &Step,
                                  const std::string &Peer,
                                  std::size_t MaxBytes) {
  const auto Failed = [&](const std::string &Message) {
    return Unexpected(Error{.Code = ErrorCode::Invalid,
                            .Step = Step,
                            .Peer = Peer,
                            .Message = Message});
  };
  if (Payload.size() > MaxBytes)
    return Failed("the datagram is longer than " + std::to_string(MaxBytes) +
                  " bytes");
  auto Item = decodeCbor(Payload, Step, Peer);
  if (!Item)
    return Unexpected(Item.error());
  if (!Item->is_array() || Item->size() != 3)
    return Failed("not an array of version, type and fields");
  const Json &Version = (*Item)[0];
  if (!Version.is_number_unsigned() || Version != ProtocolVersion)
    return Failed("unknown protocol version");
  const Json &Type = (*Item)[1];
  if (!Type.is_number_unsigned() || Type.get<std::uint64_t>() > MaxType)
    return Failed("unknown message type");
  return Envelope{.Type = Type.get<unsigned>(),
                  .Fields = std::move((*Item)[2])};
}

Expected<Envelope> unsealEnvelope(const MacKey &Key, ByteView Sealed,
                                  const std::string &Peer) {
  const auto Opened = unseal(Key, Sealed, Peer);
  if (!Opened)
    return Unexpected(Opened.error());
  return decodeEnvelope(*Opened, "decode peer datagram", Peer,
                        MaxPeerDatagramBytes - MacBytes);
}

} // namespace buckthorndeck::wire
