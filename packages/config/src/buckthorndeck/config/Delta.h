#ifndef BUCKTHORNDECK_CONFIG_DELTA_H
#define BUCKTHORNDECK_CONFIG_DELTA_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/config/ObjectId.h"
#include "buckthorndeck/config/Objects.h"

#include <string>
#include <vector>

namespace buckthorndeck::config {

//! Largest encoded delta. The whole set of section 1 of the design page is
//! about 2 MB.
inline constexpr std::size_t MaxDeltaBytes = 16 * 1024 * 1024;

//! What turns one set into another.
struct Delta {
  Digest From;       //!< Of the set before.
  Digest To;         //!< Of the set after.
  ObjectSet Changed; //!< Objects added or changed, whole.
  std::vector<ObjectId> Removed;

  friend bool operator==(const Delta &, const Delta &) = default;
};

Delta makeDelta(const ObjectSet &Before, const ObjectSet &After);

/**
 * Applies a delta to the set that it was made from.
 *
 * Conflict means that Before is another set: the caller needs the whole set.
 * The result always has the digest Change.To.
 */
Expected<ObjectSet> applyDelta(ObjectSet Before, const Delta &Change);

Json toJson(const Delta &Change);
//! Peer names the sender in errors.
Expected<Delta> deltaFromJson(const Json &Value, const std::string &Peer);

Bytes encodeDelta(const Delta &Change);
Expected<Delta> decodeDelta(ByteView Encoded, const std::string &Peer);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_DELTA_H
