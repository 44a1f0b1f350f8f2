#include "../../base/fuzz/Check.h"
#include "buckthorndeck/forwarding/RelayedChanges.h"

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto Received = decodeChanges(ByteView(Data, Size), "fuzz");
  if (!Received)
    return 0;
  for (const ServerChange &Change : Received->Changes.Servers) {
    check(!Change.Name.empty());
    check(!Change.Record || Change.Record->Slots > 0);
  }
  if (Received->Changes.Routes)
    for (const Route &Decoded : Received->Changes.Routes->Routes)
      check(!Decoded.Services.empty());
  return 0;
}
