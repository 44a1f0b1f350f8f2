#ifndef BUCKTHORNDECK_FORWARDING_REGISTRYVIEW_H
#define BUCKTHORNDECK_FORWARDING_REGISTRYVIEW_H

#include "buckthorndeck/base/BootClock.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

namespace buckthorndeck::forwarding {

//! Which changes in the platform's store a host has applied.
struct RegistryView {
  //! Every change up to here is applied.
  StoreRevision AsOf;
  //! Of the changes before this, only the result is known: removed servers may
  //! be missing.
  StoreRevision HistoryStart;
  //! The store had no change after AsOf at this time. Uses the boot clock, so
  //! that a host that was suspended does not pass on old data as fresh.
  BootClock::time_point VerifiedAt;
};

//! Time since View was known to be complete.
inline BootClock::duration ageOf(const RegistryView &View) {
  return BootClock::now() - View.VerifiedAt;
}

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_REGISTRYVIEW_H
