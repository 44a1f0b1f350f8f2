#ifndef BUCKTHORNDECK_BENCH_ALLOCATIONCOUNT_H
#define BUCKTHORNDECK_BENCH_ALLOCATIONCOUNT_H

#include <cstddef>

namespace buckthorndeck {

//! Bytes that this program has asked operator new for so far.
std::size_t allocatedBytes();

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BENCH_ALLOCATIONCOUNT_H
