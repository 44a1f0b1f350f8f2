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
  for (const Route &Entry : Changes->Routes->Routes) {
    check(!Entry.Services.empty());
    // The choice of a service divides by the sum of the weights.
    const FlowKey Flow{.Caller = {.Ip = 1, .Port = 2},
                       .Service = Entry.Address};
    serviceOf(Entry, Flow);
  }
  for (const ServerChange &Change : Changes->Servers)
    check(!Change.Record || Change.Record->Slots > 0);
  return 0;
}
