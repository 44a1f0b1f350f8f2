#ifndef BUCKTHORNDECK_CONFIG_PUBLISHEDREADER_H
#define BUCKTHORNDECK_CONFIG_PUBLISHEDREADER_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/config/Manifest.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/net/Task.h"

#include <cstdint>
#include <map>
#include <string>

namespace buckthorndeck::config {

class StoreClient;

//! A manifest with the revision of its key; version and revision are 0 if
//! nothing was published yet.
struct StoredManifest {
  Manifest ManifestContent;
  std::uint64_t Revision = 0;
};

//! A published configuration, complete and checked against its digests.
struct PublishedSet {
  Manifest ManifestContent;
  std::uint64_t Revision = 0;
  ObjectSet Objects;
};

//! Shard texts by key, kept by a reader that reads again and again, so that
//! it fetches only shards that changed.
using ShardCache = std::map<std::string, std::string>;

/**
 * Reads the manifest.
 *
 * An answer with a revision below MinRevision is stale and is asked for again
 * until the deadline.
 */
Task<Expected<StoredManifest>> readManifest(StoreClient &Store,
                                            TimePoint Deadline,
                                            std::uint64_t MinRevision = 0);

/**
 * Reads the shards of a manifest and verifies every digest.
 *
 * NotFound means that a shard is gone because a newer version replaced it.
 * Cache, if given, keeps exactly the shards of this manifest afterwards.
 */
Task<Expected<ObjectSet>> readObjects(StoreClient &Store,
                                      const Manifest &ManifestContent,
                                      TimePoint Deadline,
                                      ShardCache *Cache = nullptr);

//! Reads the newest complete version, starting again with a newer manifest
//! when a shard was removed meanwhile.
Task<Expected<PublishedSet>> readPublished(StoreClient &Store,
                                           TimePoint Deadline,
                                           std::uint64_t MinRevision = 0,
                                           ShardCache *Cache = nullptr);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_PUBLISHEDREADER_H
