#include "buckthorndeck/base/Hash.h"

#include <xxhash.h>

namespace buckthorndeck {

Digest digestOf(ByteView View) {
  return Digest(XXH3_64bits(View.data(), View.size()));
}

Digest digestOf(std::string_view Text) {
  return Digest(XXH3_64bits(Text.data(), Text.size()));
}

std::uint64_t rendezvousScore(std::string_view Key, std::string_view Node) {
  const std::uint64_t Seed = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Node.data(), Node.size(), Seed);
}

} // namespace buckthorndeck
