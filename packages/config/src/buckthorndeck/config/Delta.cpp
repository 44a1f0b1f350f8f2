#include "buckthorndeck/config/Delta.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/config/Limits.h"
#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/internal/Kinds.h"

namespace buckthorndeck::config {

namespace {

const char *const Step = "read delta";
constexpr std::size_t KindCount = 6;

Unexpected mismatch(const std::string &Message) {
  return Unexpected(Error{
      .Code = ErrorCode::Conflict, .Step = "apply delta", .Message = Message});
}

bool isKind(const std::string &Name) {
  bool Found = false;
  const ObjectSet EmptySet;
  forEachKind(EmptySet, [&](const KindName &Kind, const auto &) {
    Found = Found || Name == Kind.Singular;
  });
  return Found;
}

//! Removes one object; false if it is not in the set.
bool removeObject(ObjectSet &Objects, const ObjectId &Id) {
  bool Removed = false;
  forEachKind(Objects, [&](const KindName &Kind, auto &Map) {
    if (Id.Kind == Kind.Singular)
      Removed = Map.erase(Id.Name) == 1;
  });
  return Removed;
}

Digest readDigest(FieldReader &Fields, const char *Name) {
  const auto Parsed = parseDigest(Fields.text(Name, 16));
  if (Parsed)
    return *Parsed;
  Fields.fail(Name, "16 hexadecimal digits");
  return {};
}

std::vector<ObjectId> readRemoved(FieldReader &Fields,
                                  const std::string &Peer) {
  std::vector<ObjectId> Removed;
  const Json *Items = Fields.array("removed", KindCount * MaxObjectsPerKind);
  if (!Items)
    return Removed;
  for (const Json &Item : *Items) {
    FieldReader Inner(Item, Step, Peer);
    ObjectId Id{.Kind = Inner.text("kind", MaxNameLength, 1),
                .Name = ObjectName(Inner.text("name", MaxFullNameLength, 1))};
    if (!Inner.failed() && !isKind(Id.Kind))
      Inner.fail("kind",
                 "a kind of object (place, service, backend_server, rule, "
                 "entry_host_drain or evacuation), found " +
                     Id.Kind);
    if (Inner.failed()) {
      Fields.fail("removed",
                  "a list of objects with kind and name, found an invalid "
                  "one: " +
                      Inner.error().Message);
      break;
    }
    Removed.push_back(std::move(Id));
  }
  return Removed;
}

} // namespace

Delta makeDelta(const ObjectSet &Before, const ObjectSet &After) {
  Delta Result{.From = digestOf(Before), .To = digestOf(After)};
  forEachKindPair(
      After, Result.Changed,
      [&](const KindName &, const auto &New, auto &Changed) { Changed = New; });
  forEachKindPair(Before, Result.Changed,
                  [&](const KindName &Kind, const auto &Old, auto &Changed) {
                    for (const auto &[Name, Object] : Old) {
                      const auto Found = Changed.find(Name);
                      if (Found == Changed.end())
                        Result.Removed.push_back(
                            {.Kind = Kind.Singular, .Name = Name});
                      else if (Found->second == Object)
                        Changed.erase(Found);
                    }
                  });
  return Result;
}

Expected<ObjectSet> applyDelta(ObjectSet Before, const Delta &Change) {
  for (const ObjectId &Id : Change.Removed)
    if (!removeObject(Before, Id))
      return mismatch("the set does not contain " + describe(Id) +
                      ", which the delta removes");
  forEachKindPair(Change.Changed, Before,
                  [](const KindName &, const auto &Changed, auto &Objects) {
                    for (const auto &[Name, Object] : Changed)
                      Objects.insert_or_assign(Name, Object);
                  });
  const Digest Result = digestOf(Before);
  if (Result != Change.To)
    return mismatch("the set after the delta has digest " +
                    formatDigest(Result) + ", expected " +
                    formatDigest(Change.To));
  return Before;
}

Json toJson(const Delta &Change) {
  Json Removed = Json::array();
  for (const ObjectId &Id : Change.Removed)
    Removed.push_back({{"kind", Id.Kind}, {"name", Id.Name.value()}});
  return {{"from", formatDigest(Change.From)},
          {"to", formatDigest(Change.To)},
          {"changed", toJson(Change.Changed)},
          {"removed", std::move(Removed)}};
}

Expected<Delta> deltaFromJson(const Json &Value, const std::string &Peer) {
  FieldReader Fields(Value, Step, Peer);
  Delta Result{.From = readDigest(Fields, "from"),
               .To = readDigest(Fields, "to"),
               .Removed = readRemoved(Fields, Peer)};
  if (!Fields.failed() && !Value.contains("changed"))
    Fields.fail("changed", "the added and changed objects, found none");
  if (Fields.failed())
    return Unexpected(Fields.error());
  auto Changed = fromJson(Value.at("changed"), Peer);
  if (!Changed)
    return Unexpected(Changed.error());
  Result.Changed = std::move(*Changed);
  return Result;
}

Bytes encodeDelta(const Delta &Change) { return encodeCbor(toJson(Change)); }

Expected<Delta> decodeDelta(ByteView Encoded, const std::string &Peer) {
  if (Encoded.size() > MaxDeltaBytes)
    return Unexpected(
        Error{.Code = ErrorCode::Invalid,
              .Step = Step,
              .Peer = Peer,
              .Message = "the delta is too large: expected at most " +
                         std::to_string(MaxDeltaBytes) + " bytes, found " +
                         std::to_string(Encoded.size())});
  const auto Value = decodeCbor(Encoded, Step, Peer);
  if (!Value)
    return Unexpected(Value.error());
  return deltaFromJson(*Value, Peer);
}

} // namespace buckthorndeck::config
