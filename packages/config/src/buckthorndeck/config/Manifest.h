#ifndef BUCKTHORNDECK_CONFIG_MANIFEST_H
#define BUCKTHORNDECK_CONFIG_MANIFEST_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/config/Changes.h"

#include <string>
#include <vector>

namespace buckthorndeck::config {

inline constexpr const char *ManifestKey = "config/manifest";
//! Shard keys are config/shard/TARGET_VERSION/OPERATION_ID/NUMBER.
inline constexpr const char *ShardPrefix = "config/shard/";
inline constexpr std::size_t MaxShardBytes = 512 * 1024;
inline constexpr std::size_t MaxAuditEntries = 200;
//! Changed objects listed in one audit entry. With 200 entries and the longest
//! names, the manifest then stays below the store's limit of 1 MB per value.
inline constexpr std::size_t MaxListedChanges = 20;

//! A shard of the published set. The value under a shard's key never changes.
struct ShardReference {
  std::string Key;
  Digest TextDigest; //!< Digest of the text stored under the key.
};

//! Who published a version, when and what.
struct AuditEntry {
  ConfigVersion Version;
  ConfigVersion Base; //!< Version that the change was made from.
  std::string OperationId;
  std::string Author;
  std::uint64_t TimeMs = 0; //!< ms since the Unix epoch, by the author's clock.
  std::size_t ChangeCount = 0;       //!< All changes, listed or not.
  std::vector<ObjectChange> Changes; //!< The first MaxListedChanges.
};

//! The value of the manifest key: describes the published version.
struct Manifest {
  ConfigVersion Version; //!< 0 if nothing has been published.
  std::string OperationId;
  std::string Author;
  std::uint64_t TimeMs = 0;
  Digest ObjectsDigest; //!< digestOf() of the whole set.
  std::vector<ShardReference> Shards;
  std::vector<AuditEntry> Audit; //!< Oldest first; the last is this version's.
};

Json toJson(const ObjectChange &Change);
Json toJson(const AuditEntry &Entry);
Json toJson(const Manifest &Value);
//! Fails with Invalid. Peer is the key or host that supplied Text, for the
//! error.
Expected<Manifest> parseManifest(const std::string &Text,
                                 const std::string &Peer);

//! Audit entry of a publish; null if the manifest no longer has one.
const AuditEntry *findAuditEntry(const Manifest &Content,
                                 const std::string &OperationId);

//! Key of shard Number that a publish writes for TargetVersion.
std::string shardKey(ConfigVersion TargetVersion,
                     const std::string &OperationId, std::size_t Number);
//! Target version in a shard's key; fails with Invalid for any other key.
Expected<ConfigVersion> shardTargetVersion(const std::string &Key);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_MANIFEST_H
