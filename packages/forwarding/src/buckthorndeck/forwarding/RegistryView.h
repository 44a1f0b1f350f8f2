#ifndef BUCKTHORNDECK_FORWARDING_REGISTRYVIEW_H
#define BUCKTHORNDECK_FORWARDING_REGISTRYVIEW_H

#include "buckthorndeck/base/BootClock.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

namespace buckthorndeck::forwarding {

//! For a view that was never confirmed. The boot clock starts at 0, so that
//! this is never recent.
inline constexpr BootClock::time_point NeverVerified{-std::chrono::hours(24)};

//! Which changes in the platform's store a host has applied.
struct RegistryView {
  //! Every change up to here is applied.
  StorePosition AsOf;
  //! Of the changes before this, only the result is known: removed servers may
  //! be missing.
  StorePosition HistoryStart;
  //! The store had no change after AsOf at this time. Uses the boot clock, so
  //! that a host that was suspended does not pass on old data as fresh.
  BootClock::time_point VerifiedAt = NeverVerified;
};

//! Time since View was known to be complete.
inline BootClock::duration ageOf(const RegistryView &View) {
  return BootClock::now() - View.VerifiedAt;
}

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_REGISTRYVIEW_H
