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
 * shards, so that a small change rewrites one shard and leaves the text of the
 * others unchanged.
 */
std::vector<std::string> splitIntoShards(const ObjectSet &Objects);

//! Adds the objects of one shard to a set. Fails with Invalid for malformed
//! text and for an object that Into already has. Key is for the error.
Expected<void> addShard(const std::string &Key, const std::string &Text,
                        ObjectSet &Into);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_SHARDS_H
