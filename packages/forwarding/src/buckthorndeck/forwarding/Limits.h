#ifndef BUCKTHORNDECK_FORWARDING_LIMITS_H
#define BUCKTHORNDECK_FORWARDING_LIMITS_H

#include <cstddef>
#include <cstdint>

//! Limits of the server and route data that a host reads from the store or from
//! a peer's snapshot. Both readers use the same limits, since a snapshot
//! contains data from the store.
namespace buckthorndeck::forwarding {

//! Longest key of the platform's store.
inline constexpr std::size_t MaxNameBytes = 200;
//! Far above any deployment, so that a corrupt size is rejected early.
inline constexpr std::size_t MaxRoutes = 100'000;
inline constexpr std::size_t MaxServers = 100'000;
inline constexpr std::uint64_t MaxSlots = 1'000'000;
inline constexpr std::uint64_t MaxWeight = 1'000'000;
inline constexpr std::uint64_t MaxConnections = 100'000'000;
inline constexpr std::uint64_t MaxPriority = 1'000'000;
inline constexpr std::size_t MaxRegions = 1000;
//! Also revoked ones. Any process of the platform may write such keys.
inline constexpr std::size_t MaxEvacuations = 100'000;
//! Requests a second of a cold server.
inline constexpr double MaxWarmupRate = 1'000'000;
//! One day.
inline constexpr std::uint64_t MaxMilliseconds = 86'400'000;

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_LIMITS_H
