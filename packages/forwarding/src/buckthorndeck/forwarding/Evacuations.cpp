#include "buckthorndeck/forwarding/Evacuations.h"

#include "buckthorndeck/base/Log.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

namespace {

void logTransition(const char *Event, const FailureDomainName &Domain,
                   StorePosition Position, const char *Cause) {
  log(LogLevel::Warn, Event,
      {{"failure_domain", Domain.value()},
       {"era", Position.Era.value()},
       {"revision", Position.Revision.value()},
       {"cause", Cause}});
}

const char *startCause(EvacuationSource Source) {
  switch (Source) {
  case EvacuationSource::Write:
    return "written";
  case EvacuationSource::Read:
    return "listed";
  case EvacuationSource::Snapshot:
    return "known_to_peer";
  }
  return "unknown";
}

const char *endCause(EvacuationSource Source) {
  return Source == EvacuationSource::Snapshot ? "peer_saw_removal" : "removed";
}

} // namespace

void Evacuations::apply(const EvacuationChange &Change, EvacuationSource Source,
                        StorePosition CompleteUntil, TimePoint Now) {
  const auto Found = Domains.find(Change.Domain);
  const bool IsNew = Found == Domains.end();
  const EvacuationState Before =
      IsNew ? EvacuationState() : Found->second.State;
  if (!replaces(IsNew ? nullptr : &Before, Change.State, CompleteUntil))
    return;
  KnownDomain &Known = Domains[Change.Domain];
  if (Before.Evacuated && !Change.State.Evacuated) {
    revoke(Change.Domain, Known, Change.State.Position, endCause(Source), Now);
    return;
  }
  Known.State = Change.State;
  if (!Change.State.Evacuated)
    Known.RevokedAt = Now;
  else if (!Before.Evacuated)
    logTransition("evacuation_started", Change.Domain, Change.State.Position,
                  startCause(Source));
}

void Evacuations::revoke(const FailureDomainName &Domain, KnownDomain &Known,
                         StorePosition Position, const char *Cause,
                         TimePoint Now) {
  Known.State = {.Position = Position, .Evacuated = false};
  Known.RevokedAt = Now;
  Known.DomainReported = false;
  logTransition("evacuation_ended", Domain, Position, Cause);
}

void Evacuations::retain(std::vector<FailureDomainName> Present,
                         StorePosition Read, TimePoint Now) {
  std::sort(Present.begin(), Present.end());
  for (auto &[Domain, Known] : Domains)
    if (endsWithRead(Known.State, Read) &&
        !std::binary_search(Present.begin(), Present.end(), Domain))
      revoke(Domain, Known, Read, "absent_from_registry", Now);
}

void Evacuations::revokeUnconfirmed(StoreEra Era, TimePoint Now) {
  for (auto &[Domain, Known] : Domains)
    if (Known.State.Evacuated && Known.State.Position.Era < Era)
      // Before any change of the new era.
      revoke(Domain, Known, {.Era = Era}, "not_written_again", Now);
}

bool Evacuations::hasUnconfirmed(StoreEra Era) const {
  return std::any_of(Domains.begin(), Domains.end(), [&](const auto &Each) {
    const EvacuationState &State = Each.second.State;
    return State.Evacuated && State.Position.Era < Era;
  });
}

void Evacuations::eraseRevoked(TimePoint Now) {
  std::erase_if(Domains, [&](const auto &Each) {
    const KnownDomain &Known = Each.second;
    if (Known.State.Evacuated || Now - Known.RevokedAt <= RevocationLifetime)
      return false;
    NewestErased = std::max(NewestErased, Known.State.Position);
    return true;
  });
}

bool Evacuations::contains(const FailureDomainName &Domain) const {
  const auto Found = Domains.find(Domain);
  return Found != Domains.end() && Found->second.State.Evacuated;
}

std::vector<FailureDomainName> Evacuations::evacuated() const {
  std::vector<FailureDomainName> Result;
  for (const auto &[Domain, Known] : Domains)
    if (Known.State.Evacuated)
      Result.push_back(Domain);
  return Result;
}

std::vector<FailureDomainName> Evacuations::revoked() const {
  std::vector<FailureDomainName> Result;
  for (const auto &[Domain, Known] : Domains)
    if (!Known.State.Evacuated)
      Result.push_back(Domain);
  return Result;
}

void Evacuations::reportUnknown(const FailureDomainName &Domain,
                                KnownDomain &Known) {
  Known.DomainReported = true;
  log(LogLevel::Warn, "evacuation_domain_unknown",
      {{"failure_domain", Domain.value()}});
}

} // namespace buckthorndeck::forwarding
