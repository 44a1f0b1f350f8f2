#include "../../base/fuzz/Check.h"
#include "buckthorndeck/forwarding/Peers.h"

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto First = decodeHeartbeat(ByteView(Data, Size), "fuzz");
  if (!First)
    return 0;
  const auto Second = decodeHeartbeat(encodeHeartbeat(*First), "fuzz");
  check(Second.has_value());
  check(Second->Sender.Name == First->Sender.Name);
  check(Second->KnownPeers.size() == First->KnownPeers.size());
  return 0;
}
