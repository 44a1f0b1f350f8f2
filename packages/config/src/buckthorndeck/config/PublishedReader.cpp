#include "buckthorndeck/config/PublishedReader.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/Shards.h"
#include "buckthorndeck/config/StoreClient.h"

namespace buckthorndeck::config {

namespace {

Unexpected failed(ErrorCode Code, const std::string &Step,
                  const std::string &Key, const std::string &Message) {
  return Unexpected(
      Error{.Code = Code, .Step = Step, .Peer = Key, .Message = Message});
}

//! Text of one shard, from the cache or from the store.
Task<Expected<std::string>> readShard(StoreClient &Store, ShardReference Shard,
                                      TimePoint Deadline,
                                      const ShardCache *Cache) {
  std::string Text;
  if (Cache && Cache->contains(Shard.Key)) {
    Text = Cache->at(Shard.Key);
  } else {
    const auto Value = co_await Store.get(Shard.Key, Deadline);
    if (!Value)
      co_return Unexpected(Value.error());
    if (!*Value)
      co_return failed(ErrorCode::NotFound, "read shard", Shard.Key,
                       "the shard does not exist");
    Text = (*Value)->Value;
  }
  if (buckthorndeck::digestOf(std::string_view(Text)) != Shard.TextDigest)
    co_return failed(ErrorCode::Invalid, "read shard", Shard.Key,
                     "the digest of the shard differs from the one in the "
                     "manifest");
  co_return Text;
}

} // namespace

Task<Expected<StoredManifest>> readManifest(StoreClient &Store,
                                            TimePoint Deadline,
                                            std::uint64_t MinRevision) {
  for (unsigned Attempt = 0;; ++Attempt) {
    const auto Value = co_await Store.get(ManifestKey, Deadline);
    if (!Value)
      co_return Unexpected(Value.error());
    const std::uint64_t Revision = *Value ? (*Value)->Revision : 0;
    if (Revision < MinRevision) {
      if (co_await Store.waitBeforeRetry(Attempt, Deadline))
        continue;
      co_return failed(ErrorCode::Unavailable, "read manifest", ManifestKey,
                       "the store returned revision " +
                           std::to_string(Revision) + " although revision " +
                           std::to_string(MinRevision) + " exists");
    }
    StoredManifest Result{.Revision = Revision};
    if (*Value) {
      auto Content = parseManifest((*Value)->Value, ManifestKey);
      if (!Content)
        co_return Unexpected(Content.error());
      Result.ManifestContent = std::move(*Content);
    }
    co_return Result;
  }
}

Task<Expected<ObjectSet>> readObjects(StoreClient &Store,
                                      const Manifest &ManifestContent,
                                      TimePoint Deadline, ShardCache *Cache) {
  ObjectSet Result;
  ShardCache ManifestShards;
  for (const ShardReference &Shard : ManifestContent.Shards) {
    auto Text = co_await readShard(Store, Shard, Deadline, Cache);
    if (!Text)
      co_return Unexpected(Text.error());
    const auto AddResult = addShard(Shard.Key, *Text, Result);
    if (!AddResult)
      co_return Unexpected(AddResult.error());
    if (Cache)
      ManifestShards.emplace(Shard.Key, std::move(*Text));
  }
  if (ManifestContent.Version.value() != 0 &&
      digestOf(Result) != ManifestContent.ObjectsDigest)
    co_return failed(ErrorCode::Invalid, "read objects", ManifestKey,
                     "the digest of the object set differs from the one in the "
                     "manifest");
  if (Cache)
    *Cache = std::move(ManifestShards);
  co_return Result;
}

Task<Expected<PublishedSet>> readPublished(StoreClient &Store,
                                           TimePoint Deadline,
                                           std::uint64_t MinRevision,
                                           ShardCache *Cache) {
  for (unsigned Attempt = 0;; ++Attempt) {
    auto Found = co_await readManifest(Store, Deadline, MinRevision);
    if (!Found)
      co_return Unexpected(Found.error());
    auto Objects =
        co_await readObjects(Store, Found->ManifestContent, Deadline, Cache);
    if (Objects)
      co_return PublishedSet{.ManifestContent =
                                 std::move(Found->ManifestContent),
                             .Revision = Found->Revision,
                             .Objects = std::move(*Objects)};
    if (Objects.error().Code != ErrorCode::NotFound)
      co_return Unexpected(Objects.error());
    // Either the shard was removed after a newer manifest was written, or the
    // store returned a stale answer. Reading again from the manifest handles
    // both.
    MinRevision = Found->Revision;
    if (!co_await Store.waitBeforeRetry(Attempt, Deadline))
      co_return Unexpected(Objects.error());
  }
}

} // namespace buckthorndeck::config
