#ifndef BUCKTHORNDECK_SYNC_VERSIONHISTORY_H
#define BUCKTHORNDECK_SYNC_VERSIONHISTORY_H

#include "buckthorndeck/config/Delta.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/sync/SyncMessage.h"

#include <deque>
#include <memory>

namespace buckthorndeck::sync {

//! At 1,500 versions a day a host that was cut off for an hour is 63 versions
//! behind. It must be able to catch up by deltas, since a whole set takes
//! minutes at the rate that the control budget of 4 KB/s allows. 256 leaves
//! room for about four times 63 versions.
inline constexpr std::size_t MaxDeltas = 256;
//! Limits the memory of the stored deltas. A peer that needs older ones gets
//! the whole set, which is about as large.
inline constexpr std::size_t MaxDeltaHistoryBytes = 2 * 1024 * 1024;

//! The encoded delta from one version to a higher one.
struct StoredDelta {
  ConfigVersion From;
  Digest FromObjectsDigest;
  ConfigVersion To;
  Bytes Encoded;
};

//! The configuration in force and the most recent deltas that led to it.
struct VersionHistory {
  ConfigVersion Version; //!< 0 until there is a configuration.
  Digest ObjectsDigest;
  std::shared_ptr<const config::ObjectSet> Set =
      std::make_shared<config::ObjectSet>();
  std::deque<StoredDelta> Deltas;
};

/**
 * Puts a set into force and stores the delta that leads to it.
 *
 * Refused if Version is not higher than the one in force, whatever the set: the
 * version never decreases. Invalid if the set does not have the digest
 * ObjectsDigest, which comes from the manifest.
 */
Expected<void> applySet(VersionHistory &History, ConfigVersion Version,
                        Digest ObjectsDigest, config::ObjectSet Set);

/**
 * Puts the configuration that a peer sent into force.
 *
 * Conflict if the deltas do not start from the set in force or do not lead to
 * the stated version; the whole set is then needed. Refused if the answer has
 * no higher version. Nothing changes on an error.
 */
Expected<void> applyAnswer(VersionHistory &History, const SyncAnswer &Answer,
                           const std::string &Peer);

//! Answer to a peer's request: Current if the peer is not behind, the deltas if
//! they are stored from its version on, otherwise the whole set.
SyncAnswer answerRequest(const VersionHistory &History,
                         const SyncRequest &Request);

} // namespace buckthorndeck::sync

#endif // BUCKTHORNDECK_SYNC_VERSIONHISTORY_H
