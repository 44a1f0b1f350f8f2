#ifndef BUCKTHORNDECK_CONFIG_SHARDS_H
#define BUCKTHORNDECK_CONFIG_SHARDS_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/config/Manifest.h"
#include "buckthorndeck/config/Objects.h"

#include <string>
#include <vector>

namespace buckthorndeck::config {

/**
 * Splits a set into texts of at most MaxShardBytes.
 *
 * An object's shard depends only on its kind, its name and the number of
 * shards, so that a small change rewrites one shard and leaves the others
 * equal, byte for byte.
 */
std::vector<std::string> splitIntoShards(const ObjectSet &Objects);

//! Adds the objects of one shard to a set. Key names the shard in errors.
Expected<void> addShard(const std::string &Key, const std::string &Text,
                        ObjectSet &Into);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_SHARDS_H
