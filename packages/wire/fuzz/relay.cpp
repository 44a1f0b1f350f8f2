#include "buckthorndeck/wire/Relay.h"

#include "Check.h"

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const Bytes Input(Data, Data + Size);
  // Without a right MAC nothing may be accepted.
  check(!decodeRelay(fuzzKey(), Input, "fuzz"));
  const auto First = decodeRelay(fuzzKey(), seal(fuzzKey(), Input), "fuzz");
  if (!First)
    return 0;
  const Bytes Encoded = encodeRelay(fuzzKey(), *First);
  check(Encoded.size() <= MaxPeerDatagramBytes);
  const auto Second = decodeRelay(fuzzKey(), Encoded, "fuzz");
  check(Second && Second->Caller == First->Caller &&
        Second->Payload == First->Payload);
  return 0;
}
