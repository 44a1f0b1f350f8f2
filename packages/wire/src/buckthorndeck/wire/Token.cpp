#include "buckthorndeck/wire/Token.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/wire/Datagram.h"

namespace buckthorndeck::wire {

Bytes issueToken(const MacKey &Key, const Token &Contents,
                 const ServiceAddress &Service) {
  const Json Fields = {
      {"h", Contents.Owner.value()},
      {"i", Contents.OwnerIncarnation.value()},
      {"f", Contents.Flow.value()},
      {"s", Contents.Server.value()},
      {"g", Contents.ServerGeneration.value()},
      {"m", static_cast<std::uint64_t>(Contents.IssuedAt.count())}};
  Bytes Sealed = encodeCbor(Fields);
  const Mac Tag = authenticate(Key, Service.value(), Sealed);
  Sealed.insert(Sealed.end(), Tag.begin(), Tag.end());
  return Sealed;
}

Expected<Token> verifyToken(const MacKey &Key, ByteView Sealed,
                            const ServiceAddress &Service, FlowId Flow,
                            const std::string &Peer) {
  const std::string Step = "check token";
  const auto Failed = [&](const std::string &Message) {
    return Unexpected(Error{.Code = ErrorCode::Invalid,
                            .Step = Step,
                            .Peer = Peer,
                            .Message = Message});
  };
  if (Sealed.size() <= MacBytes || Sealed.size() > MaxTokenBytes)
    return Failed("wrong length");
  const ByteView Encoded = Sealed.first(Sealed.size() - MacBytes);
  if (!verify(Key, Service.value(), Encoded, Sealed.last(MacBytes)))
    return Failed("wrong MAC for this service");
  auto Fields = decodeCbor(Encoded, Step, Peer);
  if (!Fields)
    return Unexpected(Fields.error());
  FieldReader Reader(*Fields, Step, Peer);
  Token Contents{.Owner = EntryHostName(Reader.text("h", MaxHostNameBytes, 1)),
                 .OwnerIncarnation = Incarnation(Reader.number("i")),
                 .Flow = FlowId(Reader.number("f")),
                 .Server = ObjectName(Reader.text("s", MaxObjectNameBytes)),
                 .ServerGeneration = Generation(Reader.number("g")),
                 .IssuedAt =
                     std::chrono::milliseconds(Reader.number("m", INT64_MAX))};
  if (Reader.failed())
    return Unexpected(Reader.error());
  if (Contents.Flow != Flow)
    return Failed("the token belongs to another flow");
  return Contents;
}

} // namespace buckthorndeck::wire
