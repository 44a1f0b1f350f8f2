#ifndef BUCKTHORNDECK_FORWARDING_KNOWNREGISTRY_H
#define BUCKTHORNDECK_FORWARDING_KNOWNREGISTRY_H

#include "buckthorndeck/forwarding/Forwarder.h"
#include "buckthorndeck/forwarding/Peers.h"
#include "buckthorndeck/forwarding/Registry.h"
#include "buckthorndeck/forwarding/RegistryView.h"

#include <optional>

namespace buckthorndeck::forwarding {

//! How far an answer of the store or of a relay shows all changes.
struct AnswerTimes {
  //! There was no change after the answer's position at this time: the start of
  //! the call.
  BootClock::time_point VerifiedAt;
  //! A store that is not disturbed has made the changes that the answer lacks
  //! after this. It answers a watch as soon as there is a change.
  BootClock::time_point CurrentAt;
};

/**
 * What this host knows of the platform's store, and the only place that changes
 * it. Follows the rule in RegistryOrder.h.
 */
class KnownRegistry {
public:
  //! After a change of the era, entries that are missing or older count only
  //! once the view is complete as of ConfirmationTime later. A server gets no
  //! new flows later than RemovalLimit after the store has removed its entry.
  KnownRegistry(Forwarder &Target, Milliseconds ConfirmationTime,
                Milliseconds RemovalLimit)
      : Target(Target), ConfirmationTime(ConfirmationTime),
        RemovalLimit(RemovalLimit) {}

  //! The store did not answer: entries may lapse of servers that run, and come
  //! back soon after the store does.
  void recordStoreFailure() { CurrentAt.reset(); }

  //! Applies one page of a complete read.
  void applyPage(RegistryChanges &Page);
  //! Ends a complete read that found the keys Present. First is the position
  //! of the first page: later ones may lack changes made since.
  void completeRead(PresentKeys Present, StorePosition First,
                    BootClock::time_point Started);
  //! Merges a peer's snapshot. The view continues from the snapshot if it is of
  //! a later era or the first thing known.
  void mergeSnapshot(RegistryChanges &Snapshot);
  //! Merges only the evacuations of a peer's snapshot, so that the view stays,
  //! from which calls in progress lead on.
  void mergeEvacuations(const RegistryChanges &Snapshot);
  //! Applies changes that lead on from the view. Times says how far they are
  //! complete, if that is known.
  void applyChanges(RegistryChanges &Changes, std::optional<AnswerTimes> Times);

  const RegistryView &view() const { return View; }
  //! Whether the view includes evacuations: not if it continues from the
  //! snapshot of a host that doesn't know them.
  bool knowsEvacuations() const { return EvacuationsKnown; }
  //! What this host announces to its peers.
  RegistryKnowledge knowledge() const;
  //! From when on a complete view confirms entries that are missing or older;
  //! no value if there are none.
  std::optional<BootClock::time_point> confirmationDue() const {
    return ConfirmAt;
  }

private:
  void apply(RegistryChanges &Changes, EntryOrigin Origin,
             TimePoint FallbackUntil = TimePoint::max());
  TimePoint fallbackLimit(std::optional<BootClock::time_point> RemovedAfter,
                          TimePoint Now) const;
  void applyEvacuations(const RegistryChanges &Changes,
                        EvacuationSource Source);
  void reportUnknownDomains();
  void moveTo(StorePosition Position);
  void scheduleConfirmation();

  Forwarder &Target;
  Milliseconds ConfirmationTime;
  Milliseconds RemovalLimit;
  RegistryView View;
  //! AnswerTimes::CurrentAt of the last complete answer; no value if the store
  //! has failed since.
  std::optional<BootClock::time_point> CurrentAt;
  bool EvacuationsKnown = true;
  std::optional<BootClock::time_point> ConfirmAt;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_KNOWNREGISTRY_H
