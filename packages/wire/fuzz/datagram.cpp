#include "buckthorndeck/wire/Datagram.h"
#include "../../base/fuzz/Check.h"

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto First = decode(ByteView(Data, Size), "fuzz");
  if (!First)
    return 0;
  const Bytes Encoded = encode(*First);
  // An encoder that knows all fields never needs more than the sender used.
  check(Encoded.size() <= Size);
  const auto Second = decode(Encoded, "fuzz");
  check(Second && Second->index() == First->index());
  check(encode(*Second) == Encoded);
  return 0;
}
