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
//! nothing has been published.
struct StoredManifest {
  Manifest ManifestContent;
  std::uint64_t Revision = 0;
};

//! A published configuration; all its digests have been verified.
struct PublishedSet {
  Manifest ManifestContent;
  std::uint64_t Revision = 0;
  ObjectSet Objects;
};

//! Shard texts by key. A reader passes the same cache to each read to fetch
//! only shards that changed.
using ShardCache = std::map<std::string, std::string>;

/**
 * Reads the manifest.
 *
 * An answer with a revision below MinRevision is stale; the read is then
 * repeated until the deadline or the end of the retry budget, and fails with
 * Unavailable.
 */
Task<Expected<StoredManifest>> readManifest(StoreClient &Store,
                                            TimePoint Deadline,
                                            std::uint64_t MinRevision = 0);

/**
 * Reads the shards of a manifest and verifies every digest.
 *
 * Fails with NotFound if a shard was removed because a newer version replaced
 * it, and with Invalid if a digest does not match. On success Cache, if given,
 * holds exactly the shards of this manifest.
 */
Task<Expected<ObjectSet>> readObjects(StoreClient &Store,
                                      const Manifest &ManifestContent,
                                      TimePoint Deadline,
                                      ShardCache *Cache = nullptr);

//! Reads the newest version. Starts again with a newer manifest if a shard was
//! removed after the manifest was read.
Task<Expected<PublishedSet>> readPublished(StoreClient &Store,
                                           TimePoint Deadline,
                                           std::uint64_t MinRevision = 0,
                                           ShardCache *Cache = nullptr);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_PUBLISHEDREADER_H
