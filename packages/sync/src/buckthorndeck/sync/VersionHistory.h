#ifndef BUCKTHORNDECK_SYNC_VERSIONHISTORY_H
#define BUCKTHORNDECK_SYNC_VERSIONHISTORY_H

#include "buckthorndeck/config/Delta.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/sync/SyncMessage.h"

#include <deque>
#include <memory>

namespace buckthorndeck::sync {

//! An hour apart at 1,500 versions a day leaves a host 63 versions behind; it
//! must then be able to catch up by deltas, since a whole set takes minutes at
//! the pace that the control budget allows.
inline constexpr std::size_t MaxDeltas = 256;
//! Bounds the memory of the kept deltas; beyond it a reader that is behind
//! gets the whole set, which is about as large.
inline constexpr std::size_t MaxDeltaHistoryBytes = 2 * 1024 * 1024;

//! What led from one version to a higher one.
struct StoredDelta {
  ConfigVersion From;
  Digest FromObjects;
  ConfigVersion To;
  Bytes Encoded;
};

//! The configuration in force and the steps that led to it.
struct VersionHistory {
  ConfigVersion Version; //!< 0 until there is a configuration.
  Digest Objects;
  std::shared_ptr<const config::ObjectSet> Set =
      std::make_shared<config::ObjectSet>();
  std::deque<StoredDelta> Deltas;
};

/**
 * Puts a set into force.
 *
 * Refused if Version is not higher than the one in force, whatever the set:
 * the version never decreases. Invalid if the set does not have the digest
 * Objects, which comes from the manifest.
 */
Expected<void> applySet(VersionHistory &History, ConfigVersion Version,
                        Digest Objects, config::ObjectSet Set);

/**
 * Puts what a peer sent into force.
 *
 * Conflict means that its deltas do not fit the set in force, so that the
 * whole set is needed. Nothing changes on an error.
 */
Expected<void> applyAnswer(VersionHistory &History, const SyncAnswer &Answer,
                           const std::string &Peer);

//! What a peer gets. Current if it is not behind, deltas if they are known
//! from its version on, otherwise the whole set.
SyncAnswer answerRequest(const VersionHistory &History,
                         const SyncRequest &Request);

} // namespace buckthorndeck::sync

#endif // BUCKTHORNDECK_SYNC_VERSIONHISTORY_H
