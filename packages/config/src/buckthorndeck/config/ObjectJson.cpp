#include "buckthorndeck/config/ObjectJson.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/config/Limits.h"
#include "buckthorndeck/config/internal/Kinds.h"
#include "buckthorndeck/config/internal/ObjectFields.h"

#include <charconv>

namespace buckthorndeck::config {

Json toJson(const ObjectSet &Objects) {
  Json Result = Json::object();
  forEachKind(Objects, [&](const KindName &Kind, const auto &Map) {
    if (Kind.OmittedIfEmpty && Map.empty())
      return;
    Json Items = Json::array();
    for (const auto &[Name, Object] : Map)
      Items.push_back(objectToJson(Object));
    Result[Kind.Plural] = std::move(Items);
  });
  return Result;
}

Expected<ObjectSet> fromJson(const Json &Value, const std::string &Peer) {
  const std::string Step = "read objects";
  ObjectSet Result;
  FieldReader Fields(Value, Step, Peer);
  Expected<void> Read;
  forEachKind(Result, [&](const KindName &Kind, auto &Map) {
    if (Kind.OmittedIfEmpty && Value.is_object() &&
        !Value.contains(Kind.Plural))
      return;
    const Json *Items = Fields.array(Kind.Plural, MaxObjectsPerKind);
    if (Items && Read)
      Read = readObjects(*Items, Kind.Plural, Step, Peer, Map);
  });
  if (Fields.failed())
    return Unexpected(Fields.error());
  if (!Read)
    return Unexpected(Read.error());
  return Result;
}

Digest digestOf(const ObjectSet &Objects) {
  return buckthorndeck::digestOf(std::string_view(toJson(Objects).dump()));
}

std::string formatDigest(Digest Value) {
  constexpr std::size_t Digits = 16;
  std::string Text(Digits, '0');
  char Buffer[Digits];
  const char *const End =
      std::to_chars(Buffer, Buffer + Digits, Value.value(), 16).ptr;
  const auto Length = static_cast<std::size_t>(End - Buffer);
  Text.replace(Digits - Length, Length, Buffer, Length);
  return Text;
}

Expected<Digest> parseDigest(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(Text.data(), Last, Value, 16);
  if (Text.size() != 16 || Code != std::errc() || End != Last)
    return Unexpected(
        Error{.Code = ErrorCode::Invalid,
              .Step = "read digest",
              .Message = "a digest must have 16 hexadecimal digits"});
  return Digest(Value);
}

} // namespace buckthorndeck::config
