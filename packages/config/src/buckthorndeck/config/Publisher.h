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
  std::string OperationId; //!< From makeOperationId(), for this publish alone.
  std::string Author;
  std::uint64_t TimeMs = 0; //!< Current time in ms since the Unix epoch.
  ConfigVersion Base;       //!< Version that Objects was derived from.
  ObjectSet Objects;        //!< The whole new set.
  //! The new version is higher than this one, which entry hosts have in force
  //! and the store has lost. Objects are then published even if unchanged.
  std::optional<ConfigVersion> LostVersion;
};

struct PublishResult {
  ConfigVersion Version;
  //! False if Objects equals the current set; no version is created then.
  bool Changed = true;
};

//! Describes the version that was published after the request's base.
struct PublishConflict {
  ConfigVersion Current;
  AuditEntry Winner; //!< Audit entry of the current version.
  //! Objects changed both by this request and by a version after its base. If
  //! the audit entries do not list all changes since the base, these are the
  //! objects that differ between the request and the current version.
  std::vector<ObjectId> BothChanged;
};

//! Why a publish failed. With Timeout it may still have taken effect: search
//! the audit entries for the operation id once the store answers. With any
//! other code nothing was published.
struct PublishFailure {
  Error Reason;
  std::optional<PublishConflict> Conflict; //!< For ErrorCode::Conflict.
};

//! One line with the current version, its author and time, and the objects that
//! both publishes changed.
std::string describe(const PublishConflict &Conflict);

using PublishOutcome = tl::expected<PublishResult, PublishFailure>;

//! A random operation id of 32 hexadecimal digits.
std::string makeOperationId();

/**
 * Publishes a whole set as the version after Request.Base and
 * Request.LostVersion.
 *
 * Writes the shards, then replaces the manifest, including its audit entries,
 * with one compare-and-swap. If the answer to it is lost, the operation id in
 * the manifest shows whether it took effect. Publishing the same operation id
 * again returns the version that it created.
 */
Task<PublishOutcome> publish(StoreClient &Store, PublishRequest Request,
                             TimePoint Deadline);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_PUBLISHER_H
