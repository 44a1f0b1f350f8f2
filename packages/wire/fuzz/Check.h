#ifndef BUCKTHORNDECK_WIRE_FUZZ_CHECK_H
#define BUCKTHORNDECK_WIRE_FUZZ_CHECK_H

#include "buckthorndeck/base/Mac.h"

#include <cstdlib>

namespace buckthorndeck::wire {

//! Ends the run when a property does not hold. An exception ends it as well.
inline void check(bool Holds) {
  if (!Holds)
    std::abort();
}

//! Inputs are sealed with this key, so that mutations get past the MAC.
inline MacKey fuzzKey() { return MacKey{}; }

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_FUZZ_CHECK_H
