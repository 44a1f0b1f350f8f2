#include "buckthorndeck/forwarding/KnownRegistry.h"

#include <algorithm>
#include <utility>

namespace buckthorndeck::forwarding {

namespace {

//! If one answer changes more servers than this, each change is logged at debug
//! level only, so as not to use up the line limit of the log. watch_answered
//! gives the number of events.
constexpr std::size_t MaxLoggedChanges = 20;
//! A watch that was answered later than this waited for a change. The store
//! answers others within tens of ms.
constexpr Milliseconds MinWatchWait{500};

//! A time before which none of the changes in an answer was made.
std::optional<BootClock::time_point>
changedAfter(const std::optional<AnswerTimes> &Times,
             std::optional<BootClock::time_point> LastCurrentAt) {
  if (LastCurrentAt && Times &&
      Times->CurrentAt - Times->VerifiedAt >= MinWatchWait)
    return std::max(*LastCurrentAt, Times->CurrentAt - MinWatchWait);
  return LastCurrentAt;
}

} // namespace

//! Until when servers that the store removed later than RemovedAfter may get
//! new flows.
TimePoint
KnownRegistry::fallbackLimit(std::optional<BootClock::time_point> RemovedAfter,
                             TimePoint Now) const {
  if (!RemovedAfter)
    return TimePoint::max();
  return Now + std::chrono::duration_cast<Clock::duration>(
                   *RemovedAfter + RemovalLimit - BootClock::now());
}

void KnownRegistry::apply(RegistryChanges &Changes, EntryOrigin Origin,
                          TimePoint FallbackUntil) {
  const TimePoint Now = Clock::now();
  if (Changes.Routes)
    Target.applyRoutes(
        std::move(*Changes.Routes),
        Now - std::chrono::duration_cast<Clock::duration>(ageOf(View)));
  const LogLevel Level = Changes.Servers.size() > MaxLoggedChanges
                             ? LogLevel::Debug
                             : LogLevel::Info;
  for (ServerChange &Change : Changes.Servers) {
    if (Change.Record)
      Target.updateServer(std::move(*Change.Record), Change.Position, Now,
                          Level, Origin);
    else
      Target.removeServer(Change.Name, Change.Position, Now, FallbackUntil);
  }
}

void KnownRegistry::applyEvacuations(const RegistryChanges &Changes,
                                     EvacuationSource Source) {
  if (Changes.Evacuations.empty())
    return;
  // Only a peer may be behind this host.
  const StorePosition CompleteUntil =
      Source == EvacuationSource::Snapshot && EvacuationsKnown
          ? View.AsOf
          : StorePosition();
  Target.servers().changeEvacuations([&](Evacuations &Known) {
    for (const EvacuationChange &Change : Changes.Evacuations)
      Known.apply(Change, Source, CompleteUntil, Clock::now());
  });
}

//! Logs evacuated domains without servers, which may be misspelt.
void KnownRegistry::reportUnknownDomains() {
  ServerDirectory &Servers = Target.servers();
  Servers.changeEvacuations([&](Evacuations &Known) {
    Known.reportUnknown([&](const FailureDomainName &Domain) {
      return Servers.hasServersIn(Domain);
    });
  });
}

void KnownRegistry::applyPage(RegistryChanges &Page) {
  // An entry that can't be used names no server. That it is missing from the
  // names of the complete read says so.
  std::erase_if(Page.Servers,
                [](const ServerChange &Change) { return !Change.Record; });
  applyEvacuations(Page, EvacuationSource::Read);
  apply(Page, EntryOrigin::Complete);
}

void KnownRegistry::completeRead(PresentKeys Present, StorePosition First,
                                 BootClock::time_point Started) {
  const TimePoint Now = Clock::now();
  Target.servers().changeEvacuations([&](Evacuations &Known) {
    Known.retain(std::move(Present.Evacuations), First, Now);
  });
  Target.retainServers(std::move(Present.Servers), First, Now,
                       fallbackLimit(CurrentAt, Now));
  EvacuationsKnown = true;
  reportUnknownDomains();
  moveTo(First);
  View.VerifiedAt = Started;
  CurrentAt = Started;
}

void KnownRegistry::mergeSnapshot(RegistryChanges &Snapshot) {
  applyEvacuations(Snapshot, EvacuationSource::Snapshot);
  // First, since entries that the peer withholds are ordered after them.
  for (RegistryEntry &Removed : Snapshot.Removed)
    Target.mergeRemoval(std::move(Removed), Clock::now());
  apply(Snapshot, EntryOrigin::Complete);
  // Within an era, the view would miss the removals up to the snapshot. The
  // snapshot does not say how old it is, so that VerifiedAt stays.
  if (Snapshot.AsOf.Era > View.AsOf.Era || View.AsOf == StorePosition()) {
    EvacuationsKnown = Snapshot.NamesEvacuations;
    moveTo(Snapshot.AsOf);
  } else {
    scheduleConfirmation();
  }
  reportUnknownDomains();
}

void KnownRegistry::mergeEvacuations(const RegistryChanges &Snapshot) {
  applyEvacuations(Snapshot, EvacuationSource::Snapshot);
  reportUnknownDomains();
  scheduleConfirmation();
}

void KnownRegistry::moveTo(StorePosition Position) {
  if (Position.Era != View.AsOf.Era) {
    log(LogLevel::Warn, "store_era_changed",
        {{"era", Position.Era.value()},
         {"revision", Position.Revision.value()},
         {"before", View.AsOf.Era.value()},
         {"known", View.AsOf.Revision.value()}});
    ConfirmAt.reset();
  }
  View.AsOf = Position;
  View.HistoryStart = Position;
  scheduleConfirmation();
}

void KnownRegistry::scheduleConfirmation() {
  ServerDirectory &Servers = Target.servers();
  if (!ConfirmAt && (Servers.hasUnconfirmed(View.AsOf.Era) ||
                     Servers.evacuations().hasUnconfirmed(View.AsOf.Era)))
    ConfirmAt = BootClock::now() + ConfirmationTime;
}

void KnownRegistry::applyChanges(RegistryChanges &Changes,
                                 std::optional<AnswerTimes> Times) {
  applyEvacuations(Changes, EvacuationSource::Write);
  apply(Changes, EntryOrigin::Write,
        fallbackLimit(changedAfter(Times, CurrentAt), Clock::now()));
  View.AsOf = std::max(View.AsOf, Changes.AsOf);
  if (!Changes.Evacuations.empty()) {
    reportUnknownDomains();
    // A relay also passes on evacuations of an earlier era.
    scheduleConfirmation();
  }
  if (!Times)
    return;
  CurrentAt = Times->CurrentAt;
  View.VerifiedAt = std::max(View.VerifiedAt, Times->VerifiedAt);
  if (ConfirmAt && View.VerifiedAt >= *ConfirmAt) {
    ConfirmAt.reset();
    const TimePoint Now = Clock::now();
    Target.confirmServers(View.AsOf.Era, Now);
    Target.servers().changeEvacuations([&](Evacuations &Known) {
      Known.revokeUnconfirmed(View.AsOf.Era, Now);
    });
  }
}

RegistryKnowledge KnownRegistry::knowledge() const {
  return {.Era = View.AsOf.Era,
          .Config = Target.routes().version(),
          .Confirming = ConfirmAt.has_value(),
          .Evacuated = Target.servers().evacuations().evacuated(),
          .Revoked = Target.servers().evacuations().revoked()};
}

} // namespace buckthorndeck::forwarding
