#ifndef BUCKTHORNDECK_BASE_BYTES_H
#define BUCKTHORNDECK_BASE_BYTES_H

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace buckthorndeck {

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;

//! The characters of Text as bytes.
inline Bytes toBytes(std::string_view Text) {
  return Bytes(Text.begin(), Text.end());
}

//! The bytes of View as text, unchecked.
inline std::string_view toText(ByteView View) {
  return {reinterpret_cast<const char *>(View.data()), View.size()};
}

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_BYTES_H
