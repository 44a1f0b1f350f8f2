#ifndef BUCKTHORNDECK_CONFIG_LIMITS_H
#define BUCKTHORNDECK_CONFIG_LIMITS_H

#include <cstddef>
#include <cstdint>

//! Ranges of the fields of declared objects and sizes of their stored form.
namespace buckthorndeck::config {

//! One part of a name: namespace, object, region, failure domain, host.
inline constexpr std::size_t MaxNameLength = 63;
inline constexpr std::size_t MaxFullNameLength = 2 * MaxNameLength + 1;
//! Full names of services and backend servers travel in tokens and on server
//! channels, whose fields are shorter.
inline constexpr std::size_t MaxCarriedNameLength = 56;
//! "255.255.255.255:65535".
inline constexpr std::size_t MaxAddressLength = 21;
//! The datagram messages carry at most this much of an operation's name.
inline constexpr std::size_t MaxOperationLength = 32;
inline constexpr std::size_t MaxOperations = 64;
//! JSON numbers are exact only up to 2^53 - 1 in many readers.
inline constexpr std::uint64_t MaxGeneration = 9007199254740991;
inline constexpr std::uint64_t MaxSlots = 1024;
inline constexpr std::uint64_t MaxConnections = 1'000'000;
inline constexpr std::uint64_t MaxRequestLimit = 1'000'000;
//! Objects of one kind in one set; several times the size of section 1 of the
//! design page, so that a corrupt size is refused before it is allocated.
inline constexpr std::size_t MaxObjectsPerKind = 65'536;

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_LIMITS_H
