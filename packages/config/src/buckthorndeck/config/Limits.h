#ifndef BUCKTHORNDECK_CONFIG_LIMITS_H
#define BUCKTHORNDECK_CONFIG_LIMITS_H

#include <cstddef>
#include <cstdint>

//! Limits on the fields of declared objects and on the size of their stored
//! form.
namespace buckthorndeck::config {

//! Bytes of a namespace, of an object name without it, and of the name of a
//! region, failure domain or entry host.
inline constexpr std::size_t MaxNameLength = 63;
inline constexpr std::size_t MaxFullNameLength = 2 * MaxNameLength + 1;
//! Tokens and messages to backend servers hold full names of services and
//! servers in fields of at most this many bytes.
inline constexpr std::size_t MaxTokenNameLength = 56;
//! Length of "255.255.255.255:65535".
inline constexpr std::size_t MaxAddressLength = 21;
//! Datagram messages hold an operation name in at most this many bytes.
inline constexpr std::size_t MaxOperationLength = 32;
inline constexpr std::size_t MaxOperations = 64;
//! 2^53 - 1. Many JSON readers do not represent larger numbers exactly.
inline constexpr std::uint64_t MaxGeneration = 9007199254740991;
inline constexpr std::uint64_t MaxSlots = 1024;
inline constexpr std::uint64_t MaxConnections = 1'000'000;
inline constexpr std::uint64_t MaxRequestLimit = 1'000'000;
//! Objects of one kind in one set. Several times the deployment in section 1 of
//! the design page; a larger count is taken for corrupt and is rejected before
//! memory is allocated for it.
inline constexpr std::size_t MaxObjectsPerKind = 65'536;

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_LIMITS_H
