#include "buckthorndeck/forwarding/Snapshot.h"
#include "../../base/fuzz/Check.h"

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto Changes = decodeSnapshot(ByteView(Data, Size), "fuzz");
  if (!Changes)
    return 0;
  check(Changes->Routes.has_value());
  for (const Route &Decoded : Changes->Routes->Routes) {
    check(!Decoded.Services.empty());
    // serviceOf() divides by the sum of the weights.
    const FlowKey Flow{.Caller = {.Ip = 1, .Port = 2},
                       .Service = Decoded.Address};
    serviceOf(Decoded, Flow);
  }
  for (const ServerChange &Change : Changes->Servers)
    check(!Change.Record || Change.Record->Slots > 0);
  return 0;
}
