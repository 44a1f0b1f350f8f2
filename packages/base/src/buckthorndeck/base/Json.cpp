#include "buckthorndeck/base/Json.h"

namespace buckthorndeck {

Expected<Json> decodeCbor(ByteView View, const std::string &Step,
                          const std::string &Peer) {
  Json Value = Json::from_cbor(View.begin(), View.end(), /*strict=*/true,
                               /*allow_exceptions=*/false);
  if (Value.is_discarded())
    return Unexpected(Error{.Code = ErrorCode::Invalid,
                            .Step = Step,
                            .Peer = Peer,
                            .Message = "not a CBOR item"});
  return Value;
}

Bytes encodeCbor(const Json &Value) { return Json::to_cbor(Value); }

Json binary(Bytes Value) { return Json::binary(std::move(Value)); }

} // namespace buckthorndeck
