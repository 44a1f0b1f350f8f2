#ifndef BUCKTHORNDECK_WIRE_FUZZ_FUZZKEY_H
#define BUCKTHORNDECK_WIRE_FUZZ_FUZZKEY_H

#include "buckthorndeck/base/Mac.h"

namespace buckthorndeck::wire {

//! Inputs are sealed with this key, so that mutations get past the MAC.
inline MacKey fuzzKey() { return MacKey{}; }

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_FUZZ_FUZZKEY_H
