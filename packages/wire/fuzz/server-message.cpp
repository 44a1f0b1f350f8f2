#include "../../base/fuzz/Check.h"
#include "buckthorndeck/wire/ServerMessage.h"

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

namespace {

template <typename Decoder>
void checkRoundTrip(const Json &Fields, Decoder Decode) {
  const auto First = Decode(Fields, "fuzz");
  if (!First)
    return;
  const Json Encoded = encode(*First);
  const auto Second = Decode(Encoded, "fuzz");
  check(Second && Second->index() == First->index());
  check(encode(*Second) == Encoded);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto Fields = decodeCbor(ByteView(Data, Size), "decode", "fuzz");
  if (!Fields)
    return 0;
  checkRoundTrip(*Fields, decodeServerMessage);
  checkRoundTrip(*Fields, decodeServerCommand);
  return 0;
}
