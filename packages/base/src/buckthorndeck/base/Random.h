#ifndef BUCKTHORNDECK_BASE_RANDOM_H
#define BUCKTHORNDECK_BASE_RANDOM_H

#include <cstdint>
#include <random>

namespace buckthorndeck {

//! Generator for load spreading and jitter; never for secrets.
using RandomEngine = std::mt19937_64;

//! Uniform integer from 0 to Count - 1. Count must be positive.
inline std::uint64_t randomBelow(RandomEngine &Engine, std::uint64_t Count) {
  return std::uniform_int_distribution<std::uint64_t>(0, Count - 1)(Engine);
}

//! Uniform real number from 0 to 1, without 1.
inline double randomUnit(RandomEngine &Engine) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(Engine);
}

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_RANDOM_H
