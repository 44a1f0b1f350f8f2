#ifndef BUCKTHORNDECK_CONFIG_ORPHANCLEANER_H
#define BUCKTHORNDECK_CONFIG_ORPHANCLEANER_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/config/Manifest.h"
#include "buckthorndeck/net/Task.h"

namespace buckthorndeck::config {

class StoreClient;

/**
 * Removes shards that no manifest refers to or can refer to later. Returns
 * their number.
 *
 * Removes a shard only if its target version is at most the version of Content
 * and Content does not refer to it. No newer manifest refers to such a shard: a
 * publisher reuses only shards of its direct base and writes all others for a
 * higher target version. Content may therefore be old. Removes nothing unless
 * the audit entries of the store's manifest include Content: otherwise the
 * store may be back from a copy that refers to other shards.
 */
Task<Expected<std::size_t>> removeOrphans(StoreClient &Store, Manifest Content,
                                          TimePoint Deadline);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_ORPHANCLEANER_H
