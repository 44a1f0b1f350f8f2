#include "buckthorndeck/wire/Relay.h"

#include "../../base/fuzz/Check.h"
#include "FuzzKey.h"

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

namespace {

//! What an entry host does with a datagram from a peer.
Expected<Relay> openRelay(ByteView Sealed) {
  const auto Frame = unsealEnvelope(fuzzKey(), Sealed, "fuzz");
  if (!Frame)
    return Unexpected(Frame.error());
  return decodeRelay(*Frame, "fuzz");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const Bytes Input(Data, Data + Size);
  // Without a right MAC nothing may be accepted.
  check(!openRelay(Input));
  const auto First = openRelay(seal(fuzzKey(), Input));
  if (!First)
    return 0;
  const Bytes Encoded = encodeRelay(fuzzKey(), *First);
  check(Encoded.size() <= MaxPeerDatagramBytes);
  const auto Second = openRelay(Encoded);
  check(Second && Second->Caller == First->Caller &&
        Second->Takeover == First->Takeover &&
        Second->Payload == First->Payload);
  return 0;
}
