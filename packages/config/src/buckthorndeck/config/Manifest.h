#ifndef BUCKTHORNDECK_CONFIG_MANIFEST_H
#define BUCKTHORNDECK_CONFIG_MANIFEST_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/config/Changes.h"

#include <string>
#include <vector>

namespace buckthorndeck::config {

inline constexpr const char *ManifestKey = "config/manifest";
//! Keys of shards: prefix, target version, operation id and number.
inline constexpr const char *ShardPrefix = "config/shard/";
inline constexpr std::size_t MaxShardBytes = 512 * 1024;
inline constexpr std::size_t MaxAuditEntries = 200;
//! Objects named in one audit entry. With 200 entries and the longest names
//! this keeps the manifest below the store's limit of 1 MB.
inline constexpr std::size_t MaxListedChanges = 20;

//! A part of the published set. Its key never changes its value.
struct ShardReference {
  std::string Key;
  Digest ManifestContent; //!< Of the text under the key.
};

//! Who published a version, when and what.
struct AuditEntry {
  ConfigVersion Version;
  ConfigVersion Base; //!< Version that it was made from.
  std::string OperationId;
  std::string Author;
  std::uint64_t TimeMs = 0; //!< Since the Unix epoch, on the author's clock.
  std::size_t ChangeCount = 0;
  std::vector<ObjectChange> Changes; //!< The first MaxListedChanges.
};

//! What the manifest key holds.
struct Manifest {
  ConfigVersion Version; //!< 0 if nothing was published yet.
  std::string OperationId;
  std::string Author;
  std::uint64_t TimeMs = 0;
  Digest Objects; //!< digestOf() the whole set.
  std::vector<ShardReference> Shards;
  std::vector<AuditEntry> Audit; //!< Oldest first, this version last.
};

Json toJson(const ObjectChange &Change);
Json toJson(const AuditEntry &Entry);
Json toJson(const Manifest &Value);
Expected<Manifest> parseManifest(const std::string &Text,
                                 const std::string &Peer);

//! Entry of an operation; null if the audit entries do not have it.
const AuditEntry *findOperation(const Manifest &ManifestContent,
                                const std::string &OperationId);

//! Key of a shard.
std::string shardKey(ConfigVersion Target, const std::string &OperationId,
                     std::size_t Number);
//! Target version in a shard's key; none if Key is no shard's key.
Expected<ConfigVersion> shardTarget(const std::string &Key);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_MANIFEST_H
