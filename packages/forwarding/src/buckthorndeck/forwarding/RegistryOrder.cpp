#include "buckthorndeck/forwarding/RegistryOrder.h"

namespace buckthorndeck::forwarding {

EntryDecision decideEntry(const EntryState &Known, const EntryState &Read,
                          EntryOrigin Origin) {
  const bool SameEra = Known.Position.Era == Read.Position.Era;
  if (Origin == EntryOrigin::Write || SameEra) {
    if (Read.Position < Known.Position)
      return EntryDecision::Ignore;
    return Known.Registered && Read.Position == Known.Position
               ? EntryDecision::Ignore
               : EntryDecision::Apply;
  }
  if (Read.Report > Known.Report)
    return EntryDecision::Apply;
  if (Read.Position < Known.Position)
    return EntryDecision::Ignore;
  return Known.Registered && Read.Report == Known.Report
             ? EntryDecision::Confirm
             : EntryDecision::Withhold;
}

EntryDecision decideRemoval(const EntryState &Known,
                            const EntryState &Removed) {
  if (Known.Position.Era == Removed.Position.Era)
    return Removed.Position < Known.Position ? EntryDecision::Ignore
                                             : EntryDecision::Apply;
  if (Known.Report > Removed.Report)
    return EntryDecision::Ignore;
  return Removed.Position < Known.Position ? EntryDecision::Withhold
                                           : EntryDecision::Apply;
}

bool replaces(const EvacuationState *Known, const EvacuationState &Stated,
              StorePosition CompleteUntil) {
  if (!Known)
    return !Stated.Evacuated || Stated.Position.Era != CompleteUntil.Era ||
           Stated.Position > CompleteUntil;
  if (Stated.Position != Known->Position)
    return Stated.Position > Known->Position;
  // Two statements that contradict each other: the domain counts as evacuated.
  return Stated.Evacuated && !Known->Evacuated;
}

bool endsWithRead(const EvacuationState &Known, StorePosition Read) {
  return Known.Evacuated && Known.Position.Era == Read.Era &&
         Known.Position <= Read;
}

} // namespace buckthorndeck::forwarding
