#ifndef BUCKTHORNDECK_CONFIG_PUBLISHER_H
#define BUCKTHORNDECK_CONFIG_PUBLISHER_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/config/PublishedReader.h"
#include "buckthorndeck/net/Task.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::config {

class StoreClient;

struct PublishRequest {
  std::string OperationId; //!< From makeOperationId(); never used for another.
  std::string Author;
  std::uint64_t TimeMs = 0; //!< Now, in ms since the Unix epoch.
  ConfigVersion Base;       //!< Version that Objects was made from.
  ObjectSet Objects;        //!< The whole new set.
};

struct PublishResult {
  ConfigVersion Version;
  //! False if Objects equals the current set, which then stays as it is.
  bool Changed = true;
};

//! Another operator published first.
struct PublishConflict {
  ConfigVersion Current;
  AuditEntry Winner; //!< The latest version.
  //! Objects that this request and a version after its base both changed. If
  //! the base is no longer known, or its audit entries name only some of the
  //! changes, these are the objects that the request would set back.
  std::vector<ObjectId> BothChanged;
};

//! Why nothing was published. Timeout alone means that it may have been, and
//! that the audit entries tell by the operation id once the store answers.
struct PublishFailure {
  Error Reason;
  std::optional<PublishConflict> Conflict; //!< For ErrorCode::Conflict.
};

//! One line that names the winner, its time and the objects both changed.
std::string describe(const PublishConflict &Conflict);

using PublishOutcome = tl::expected<PublishResult, PublishFailure>;

//! A random operation id.
std::string makeOperationId();

/**
 * Publishes a whole set as the version after Request.Base.
 *
 * Writes the shards, then replaces the manifest by one compare-and-swap that
 * holds the audit entry too. A lost answer is settled by looking for the
 * operation id in the manifest. Publishing an operation id again returns the
 * version that it made.
 */
Task<PublishOutcome> publish(StoreClient &Store, PublishRequest Request,
                             TimePoint Deadline);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_PUBLISHER_H
