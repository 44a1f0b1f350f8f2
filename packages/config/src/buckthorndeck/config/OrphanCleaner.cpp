#include "buckthorndeck/config/OrphanCleaner.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/config/PublishedReader.h"
#include "buckthorndeck/config/StoreClient.h"

#include <set>

namespace buckthorndeck::config {

Task<Expected<std::size_t>> removeOrphans(StoreClient &Store, Manifest Content,
                                          TimePoint Deadline) {
  const auto Keys = co_await Store.list(ShardPrefix, Deadline);
  if (!Keys)
    co_return Unexpected(Keys.error());
  const auto Current = co_await readManifest(Store, Deadline);
  if (!Current)
    co_return Unexpected(Current.error());
  if (!findAuditEntry(Current->ManifestContent, Content.OperationId)) {
    log(LogLevel::Warn, "shards_not_removed",
        {{"version", Content.Version.value()},
         {"published", Current->ManifestContent.Version.value()},
         {"reason", "its publish is not in the published history"}});
    co_return std::size_t(0);
  }
  std::set<std::string> Referenced;
  for (const ShardReference &Shard : Content.Shards)
    Referenced.insert(Shard.Key);
  std::size_t Removed = 0;
  for (const KeyRevision &Item : *Keys) {
    const auto TargetVersion = shardTargetVersion(Item.Key);
    if (!TargetVersion || *TargetVersion > Content.Version ||
        Referenced.contains(Item.Key))
      continue;
    const auto Result =
        co_await Store.remove(Item.Key, Item.Revision, Deadline);
    if (!Result)
      co_return Unexpected(Result.error());
    Removed += Result->Written ? 1 : 0;
  }
  co_return Removed;
}

} // namespace buckthorndeck::config
