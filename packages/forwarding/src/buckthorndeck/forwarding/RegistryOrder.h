#ifndef BUCKTHORNDECK_FORWARDING_REGISTRYORDER_H
#define BUCKTHORNDECK_FORWARDING_REGISTRYORDER_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/StrongType.h"

#include <compare>
#include <cstdint>

namespace buckthorndeck::forwarding {

/**
 * \file
 * Which of two statements about the registry counts.
 *
 * The platform's store may come back from a copy of itself that is some seconds
 * old. It then lacks what was written since, gives revisions out again, and
 * raises its era by one. Its writers write again what the copy lacks. Hence:
 *
 * - **The configuration** is ordered by its own version, in all eras. A host
 *   never goes back to a lower one.
 * - **Within an era** the entry of a server is ordered by the revision at which
 *   it was written or removed.
 * - **Between eras** revisions can't be compared. A complete read of a new era
 *   is a fact about the copy: an entry counts at once only if the server itself
 *   ranks it as newer (ServerReport). An older entry is withheld, and an entry
 *   that is missing stays in use, until the writers have had the time to write
 *   again (confirmation time). What the store then still says counts.
 * - **A removal** that a peer saw counts, in another era, unless the server has
 *   reported since. An entry of a later era is then withheld like an older one.
 * - **A change** that the store reports after a position of its present era was
 *   written in that era, and counts at once.
 * - **The evacuation** of a failure domain is ordered by the position at which
 *   its key was written or removed. A later era counts as newer: what the copy
 *   lists takes effect at once. What it lacks stays in force for the
 *   confirmation time. When in doubt, the domain counts as evacuated.
 *
 * A position lasts as long as its era: a watch that is answered by another era
 * may lack changes, so that a complete read follows.
 */

//! Number of the store's history: rises each time the store comes back from a
//! copy. 0 if the store names none.
using StoreEra = StrongType<struct StoreEraTag, std::uint64_t>;
//! Revision of one key or of the whole store, within one era.
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;

//! A place in the histories of the store. An era comes after all lower ones.
struct StorePosition {
  StoreEra Era;
  StoreRevision Revision;

  friend bool operator==(const StorePosition &,
                         const StorePosition &) = default;
  friend std::strong_ordering operator<=>(const StorePosition &First,
                                          const StorePosition &Second) {
    const auto ByEra = First.Era <=> Second.Era;
    return std::is_neq(ByEra) ? ByEra : First.Revision <=> Second.Revision;
  }
};

//! How a server itself orders what it says, in all eras: by its start, then by
//! the number of the report. Another process under its name may have an earlier
//! start if its machine's clock was set back.
struct ServerReport {
  Incarnation StartTime;
  std::uint64_t Sequence = 0;

  friend bool operator==(const ServerReport &, const ServerReport &) = default;
  friend std::strong_ordering operator<=>(const ServerReport &First,
                                          const ServerReport &Second) {
    const auto ByStart = First.StartTime <=> Second.StartTime;
    return std::is_neq(ByStart) ? ByStart : First.Sequence <=> Second.Sequence;
  }
};

//! Where an entry comes from.
enum class EntryOrigin : std::uint8_t {
  Write,    //!< Reported as a change after a position of the same era.
  Complete, //!< Part of a complete read or of a peer's snapshot.
};

//! A statement about the entry of one server.
struct EntryState {
  StorePosition Position; //!< Where it was written or removed.
  ServerReport Report;
  bool Registered = true; //!< False if it was removed after Report.
};

enum class EntryDecision : std::uint8_t {
  Apply,
  Confirm,  //!< Only its position is new.
  Withhold, //!< Applied after the confirmation time, unless it has changed.
  Ignore,
};

//! What to do with Read, an entry of a server of which Known is known.
EntryDecision decideEntry(const EntryState &Known, const EntryState &Read,
                          EntryOrigin Origin);

//! What to do with Known, the entry of a registered server, once a peer says
//! that it saw Removed: ignore the removal, apply it, or apply it and withhold
//! Known, which is of a later era.
EntryDecision decideRemoval(const EntryState &Known, const EntryState &Removed);

//! A statement about the evacuation of one failure domain.
struct EvacuationState {
  StorePosition Position; //!< Where its key was written or removed.
  bool Evacuated = false; //!< False if it was revoked.
};

//! Whether Stated replaces Known, which is null if nothing is known of the
//! domain. CompleteUntil: the position up to which the host knows all changes,
//! if a peer made the statement. An evacuation from before that, in the same
//! era, of which nothing is known was revoked so long ago that it is forgotten.
bool replaces(const EvacuationState *Known, const EvacuationState &Stated,
              StorePosition CompleteUntil);

//! Whether a complete read as of Read revokes Known, which it does not list.
bool endsWithRead(const EvacuationState &Known, StorePosition Read);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_REGISTRYORDER_H
