#include "buckthorndeck/base/Json.h"

#include <array>
#include <optional>

namespace buckthorndeck {

namespace {

//! The first byte of an item and the number that follows it (RFC 8949).
struct CborHead {
  unsigned MajorType = 0;
  std::uint64_t Argument = 0;
};

//! Reads a head and removes it from Rest. Lengths that are not stated up front
//! are refused: the encoder never sends them.
std::optional<CborHead> readHead(ByteView &Rest) {
  if (Rest.empty())
    return std::nullopt;
  const unsigned Info = Rest[0] & 0x1fU;
  CborHead Head{.MajorType = Rest[0] / 32U, .Argument = Info};
  Rest = Rest.subspan(1);
  if (Info < 24)
    return Head;
  const std::size_t Length = std::size_t{1} << (Info - 24);
  if (Info > 27 || Rest.size() < Length)
    return std::nullopt;
  Head.Argument = 0;
  for (std::uint8_t Byte : Rest.first(Length))
    Head.Argument = Head.Argument << 8U | Byte;
  Rest = Rest.subspan(Length);
  return Head;
}

/**
 * True if View is one item whose stated lengths fit into View and whose depth
 * is within MaxCborDepth.
 *
 * The library's decoder recurses once per level, so that deep nesting ends the
 * process, and throws on an array length beyond its max_size().
 */
bool isBoundedItem(ByteView Rest) {
  std::array<std::uint64_t, MaxCborDepth> ItemsLeft{};
  std::size_t Depth = 0;
  do {
    const auto Head = readHead(Rest);
    if (!Head)
      return false;
    if (Depth > 0)
      --ItemsLeft[Depth - 1];
    const std::uint64_t Argument = Head->Argument;
    if (Head->MajorType == 2 || Head->MajorType == 3) {
      if (Argument > Rest.size())
        return false;
      Rest = Rest.subspan(Argument);
    } else if (Head->MajorType == 4 || Head->MajorType == 5) {
      const std::size_t ItemsPerEntry = Head->MajorType - 3;
      if (Depth == MaxCborDepth || Argument > Rest.size() / ItemsPerEntry)
        return false;
      ItemsLeft[Depth++] = Argument * ItemsPerEntry;
    } else if (Head->MajorType == 6) {
      return false;
    }
    while (Depth > 0 && ItemsLeft[Depth - 1] == 0)
      --Depth;
  } while (Depth > 0);
  return Rest.empty();
}

} // namespace

Expected<Json> decodeCbor(ByteView View, const std::string &Step,
                          const std::string &Peer) {
  Json Value(Json::value_t::discarded);
  if (isBoundedItem(View))
    Value = Json::from_cbor(View.begin(), View.end(), /*strict=*/true,
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
