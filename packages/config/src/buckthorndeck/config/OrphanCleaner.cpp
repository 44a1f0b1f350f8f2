#include "buckthorndeck/config/OrphanCleaner.h"

#include "buckthorndeck/config/StoreClient.h"

#include <set>

namespace buckthorndeck::config {

Task<Expected<std::size_t>> removeOrphans(StoreClient &Store, Manifest Content,
                                          TimePoint Deadline) {
  const auto Keys = co_await Store.list(ShardPrefix, Deadline);
  if (!Keys)
    co_return Unexpected(Keys.error());
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
