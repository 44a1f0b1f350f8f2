#include "buckthorndeck/config/Manifest.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/config/Limits.h"
#include "buckthorndeck/config/ObjectJson.h"

#include <charconv>

namespace buckthorndeck::config {

namespace {

const char *const Step = "read manifest";
constexpr std::size_t MaxShards = 4096;
constexpr std::size_t MaxTextLength = 256;
//! Version of the manifest's JSON format; parseManifest() rejects any other.
constexpr std::uint64_t FormatVersion = 1;

ChangeAction readAction(FieldReader &Fields) {
  const std::string Text = Fields.text("action", 16);
  for (const ChangeAction Action :
       {ChangeAction::Added, ChangeAction::Changed, ChangeAction::Removed})
    if (Text == toString(Action))
      return Action;
  Fields.fail("action", "added, changed or removed");
  return ChangeAction::Changed;
}

Digest readDigest(FieldReader &Fields, const char *Name) {
  const auto Parsed = parseDigest(Fields.text(Name, 16));
  if (Parsed)
    return *Parsed;
  Fields.fail(Name, "16 hexadecimal digits");
  return {};
}

//! Reads every item of the array Name. The error of an invalid item is reported
//! through Fields.
template <typename Reader>
void readItems(FieldReader &Fields, const char *Name, std::size_t MaxLength,
               const std::string &Peer, Reader Read) {
  const Json *Items = Fields.array(Name, MaxLength);
  if (!Items)
    return;
  for (const Json &Item : *Items) {
    FieldReader Inner(Item, Step, Peer);
    Read(Inner);
    if (Inner.failed())
      return Fields.fail(Name, "valid items, found an invalid one: " +
                                   Inner.error().Message);
  }
}

AuditEntry readAuditEntry(FieldReader &Fields, const std::string &Peer) {
  AuditEntry Result;
  Result.Version = ConfigVersion(Fields.number("version"));
  Result.Base = ConfigVersion(Fields.number("base"));
  Result.OperationId = Fields.text("operation", MaxTextLength, 1);
  Result.Author = Fields.text("author", MaxTextLength);
  Result.TimeMs = Fields.number("time_ms");
  Result.ChangeCount = Fields.number("change_count");
  readItems(Fields, "changes", MaxListedChanges, Peer, [&](FieldReader &Item) {
    ObjectChange Change;
    Change.Object.Kind = Item.text("kind", MaxNameLength, 1);
    Change.Object.Name = ObjectName(Item.text("name", MaxFullNameLength, 1));
    Change.Action = readAction(Item);
    Result.Changes.push_back(std::move(Change));
  });
  return Result;
}

} // namespace

Json toJson(const ObjectChange &Change) {
  return {{"kind", Change.Object.Kind},
          {"name", Change.Object.Name.value()},
          {"action", toString(Change.Action)}};
}

Json toJson(const AuditEntry &Entry) {
  Json Changes = Json::array();
  for (const ObjectChange &Change : Entry.Changes)
    Changes.push_back(toJson(Change));
  return {
      {"version", Entry.Version.value()}, {"base", Entry.Base.value()},
      {"operation", Entry.OperationId},   {"author", Entry.Author},
      {"time_ms", Entry.TimeMs},          {"change_count", Entry.ChangeCount},
      {"changes", std::move(Changes)}};
}

Json toJson(const Manifest &Value) {
  Json Shards = Json::array();
  for (const ShardReference &Shard : Value.Shards)
    Shards.push_back(
        {{"key", Shard.Key}, {"digest", formatDigest(Shard.TextDigest)}});
  Json Audit = Json::array();
  for (const AuditEntry &Entry : Value.Audit)
    Audit.push_back(toJson(Entry));
  return {{"format", FormatVersion},
          {"version", Value.Version.value()},
          {"operation", Value.OperationId},
          {"author", Value.Author},
          {"time_ms", Value.TimeMs},
          {"digest", formatDigest(Value.ObjectsDigest)},
          {"shards", std::move(Shards)},
          {"audit", std::move(Audit)}};
}

Expected<Manifest> parseManifest(const std::string &Text,
                                 const std::string &Peer) {
  const Json Value = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  FieldReader Fields(Value, Step, Peer);
  Manifest Result;
  Fields.number("format", FormatVersion, FormatVersion);
  Result.Version = ConfigVersion(
      Fields.number("version", std::numeric_limits<std::uint64_t>::max(), 1));
  Result.OperationId = Fields.text("operation", MaxTextLength, 1);
  Result.Author = Fields.text("author", MaxTextLength);
  Result.TimeMs = Fields.number("time_ms");
  Result.ObjectsDigest = readDigest(Fields, "digest");
  readItems(Fields, "shards", MaxShards, Peer, [&](FieldReader &Item) {
    ShardReference Shard;
    Shard.Key = Item.text("key", MaxTextLength, 1);
    Shard.TextDigest = readDigest(Item, "digest");
    Result.Shards.push_back(std::move(Shard));
  });
  readItems(Fields, "audit", MaxAuditEntries, Peer, [&](FieldReader &Item) {
    Result.Audit.push_back(readAuditEntry(Item, Peer));
  });
  if (Fields.failed())
    return Unexpected(Fields.error());
  return Result;
}

const AuditEntry *findAuditEntry(const Manifest &Content,
                                 const std::string &OperationId) {
  for (const AuditEntry &Entry : Content.Audit)
    if (Entry.OperationId == OperationId)
      return &Entry;
  return nullptr;
}

std::string shardKey(ConfigVersion TargetVersion,
                     const std::string &OperationId, std::size_t Number) {
  return ShardPrefix + std::to_string(TargetVersion.value()) + "/" +
         OperationId + "/" + std::to_string(Number);
}

Expected<ConfigVersion> shardTargetVersion(const std::string &Key) {
  const std::string Prefix = ShardPrefix;
  std::uint64_t TargetVersion = 0;
  if (Key.starts_with(Prefix)) {
    const char *Last = Key.data() + Key.size();
    const auto [End, Code] =
        std::from_chars(Key.data() + Prefix.size(), Last, TargetVersion);
    if (Code == std::errc() && End != Last && *End == '/')
      return ConfigVersion(TargetVersion);
  }
  return Unexpected(Error{.Code = ErrorCode::Invalid,
                          .Step = "read shard key",
                          .Peer = Key,
                          .Message = "expected a key of the form "
                                     "config/shard/VERSION/OPERATION/NUMBER"});
}

} // namespace buckthorndeck::config
