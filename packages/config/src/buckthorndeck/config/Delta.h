#ifndef BUCKTHORNDECK_CONFIG_DELTA_H
#define BUCKTHORNDECK_CONFIG_DELTA_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/config/ObjectId.h"
#include "buckthorndeck/config/Objects.h"

#include <string>
#include <vector>

namespace buckthorndeck::config {

//! Largest encoded delta. The whole object set of the deployment in section 1
//! of the design page takes about 2 MB.
inline constexpr std::size_t MaxDeltaBytes = 16 * 1024 * 1024;

//! The difference between two object sets.
struct Delta {
  Digest From;       //!< Digest of the set before the change.
  Digest To;         //!< Digest of the set after the change.
  ObjectSet Changed; //!< Added and changed objects with all fields.
  std::vector<ObjectId> Removed;

  friend bool operator==(const Delta &, const Delta &) = default;
};

Delta makeDelta(const ObjectSet &Before, const ObjectSet &After);

/**
 * Applies a delta to the set that it was made from.
 *
 * Fails with Conflict if Before is not that set; the caller then has to fetch
 * the whole set. A returned set always has the digest Change.To.
 */
Expected<ObjectSet> applyDelta(ObjectSet Before, const Delta &Change);

Json toJson(const Delta &Change);
//! Fails with Invalid for a malformed delta. Peer is the sender, for the error.
Expected<Delta> deltaFromJson(const Json &Value, const std::string &Peer);

Bytes encodeDelta(const Delta &Change);
Expected<Delta> decodeDelta(ByteView Encoded, const std::string &Peer);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_DELTA_H
