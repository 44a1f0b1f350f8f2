#ifndef BUCKTHORNDECK_FORWARDING_LIMITS_H
#define BUCKTHORNDECK_FORWARDING_LIMITS_H

#include <cstddef>
#include <cstdint>

//! Ranges of what a host reads of servers and routes, from the store or from a
//! peer. Both must agree: a peer passes on what the store told it.
namespace buckthorndeck::forwarding {

//! Keys of the platform's store have at most this length.
inline constexpr std::size_t MaxNameBytes = 200;
//! Far above any deployment, so that a corrupt size is refused early.
inline constexpr std::size_t MaxRoutes = 100'000;
inline constexpr std::uint64_t MaxSlots = 1'000'000;
inline constexpr std::uint64_t MaxWeight = 1'000'000;
//! A day.
inline constexpr std::uint64_t MaxMilliseconds = 86'400'000;

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_LIMITS_H
