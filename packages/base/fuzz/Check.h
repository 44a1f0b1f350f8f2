#ifndef BUCKTHORNDECK_BASE_FUZZ_CHECK_H
#define BUCKTHORNDECK_BASE_FUZZ_CHECK_H

#include <cstdlib>

namespace buckthorndeck {

//! Ends the run when a property does not hold. An exception ends it as well.
inline void check(bool Holds) {
  if (!Holds)
    std::abort();
}

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_FUZZ_CHECK_H
