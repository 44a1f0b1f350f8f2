#ifndef BUCKTHORNDECK_BASE_HASH_H
#define BUCKTHORNDECK_BASE_HASH_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Ids.h"

#include <string_view>

namespace buckthorndeck {

//! XXH3-64 of the bytes.
Digest digestOf(ByteView View);
Digest digestOf(std::string_view Text);

//! Score of a node for a key in rendezvous (highest random weight) hashing.
std::uint64_t rendezvousScore(std::string_view Key, std::string_view Node);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_HASH_H
