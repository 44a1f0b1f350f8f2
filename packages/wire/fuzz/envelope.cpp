#include "buckthorndeck/wire/Envelope.h"

#include "../../base/fuzz/Check.h"

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto First = decodeEnvelope(ByteView(Data, Size), "decode", "fuzz",
                                    MaxPeerDatagramBytes);
  if (!First)
    return 0;
  const Bytes Encoded = encodeEnvelope(First->Type, First->Fields);
  check(Encoded.size() <= Size);
  const auto Second =
      decodeEnvelope(Encoded, "decode", "fuzz", MaxPeerDatagramBytes);
  // Compared as bytes, because a NaN is not equal to itself.
  check(Second && encodeEnvelope(Second->Type, Second->Fields) == Encoded);
  return 0;
}
