#ifndef BUCKTHORNDECK_BASE_MAC_H
#define BUCKTHORNDECK_BASE_MAC_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Error.h"

#include <array>
#include <string_view>

namespace buckthorndeck {

inline constexpr std::size_t MacKeyBytes = 32;
inline constexpr std::size_t MacBytes = 16;

using Mac = std::array<std::uint8_t, MacBytes>;

//! Secret key of the fleet for message authentication.
struct MacKey {
  std::array<std::uint8_t, MacKeyBytes> Value{};
};

//! Reads a key from 64 hexadecimal digits.
Expected<MacKey> parseMacKey(std::string_view Hex);

//! Key for one purpose, so that a MAC made for one message type is never
//! valid for another.
MacKey deriveKey(const MacKey &Key, std::string_view Purpose);

//! Keyed BLAKE2b over Context and then Message. Context is length-prefixed.
Mac authenticate(const MacKey &Key, std::string_view Context, ByteView Message);

//! Compares in constant time.
bool verify(const MacKey &Key, std::string_view Context, ByteView Message,
            ByteView Tag);

//! Message followed by its MAC.
Bytes seal(const MacKey &Key, Bytes Message);

//! The message inside Sealed if its MAC is right.
Expected<ByteView> unseal(const MacKey &Key, ByteView Sealed,
                          const std::string &Peer);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_MAC_H
