#ifndef BUCKTHORNDECK_FORWARDING_INTERNAL_AGES_H
#define BUCKTHORNDECK_FORWARDING_INTERNAL_AGES_H

#include "buckthorndeck/net/Task.h"

#include <cstdint>

namespace buckthorndeck::forwarding {

//! Milliseconds from Then to Now for a log line; -1 if Then is the epoch.
inline std::int64_t ageMs(TimePoint Then, TimePoint Now) {
  if (Then == TimePoint{})
    return -1;
  return std::chrono::duration_cast<Milliseconds>(Now - Then).count();
}

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_INTERNAL_AGES_H
