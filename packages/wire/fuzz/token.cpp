#include "buckthorndeck/wire/Token.h"

#include "../../base/fuzz/Check.h"
#include "FuzzKey.h"

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const ServiceAddress Service("10.0.0.1:443");
  const FlowId Flow(77);
  Bytes Sealed(Data, Data + Size);
  // Without a right MAC nothing may be accepted.
  check(!verifyToken(fuzzKey(), Sealed, Service, Flow, "fuzz"));
  const Mac Tag = authenticate(fuzzKey(), Service.value(), Sealed);
  Sealed.insert(Sealed.end(), Tag.begin(), Tag.end());
  const auto First = verifyToken(fuzzKey(), Sealed, Service, Flow, "fuzz");
  if (!First)
    return 0;
  const Bytes Minted = issueToken(fuzzKey(), *First, Service);
  check(Minted.size() <= Sealed.size());
  const auto Second = verifyToken(fuzzKey(), Minted, Service, Flow, "fuzz");
  check(Second && issueToken(fuzzKey(), *Second, Service) == Minted);
  return 0;
}
