#include "buckthorndeck/standins/GeneratedBody.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/base/Random.h"

#include <string>

namespace buckthorndeck::standins {

Bytes generatedBody(std::uint64_t Seed, std::size_t Length) {
  constexpr unsigned BitsPerByte = 8;
  RandomEngine Engine(Seed);
  Bytes Body;
  Body.reserve(Length + sizeof(std::uint64_t));
  while (Body.size() < Length) {
    std::uint64_t Word = Engine();
    for (std::size_t Index = 0; Index < sizeof(Word); ++Index) {
      Body.push_back(static_cast<std::uint8_t>(Word));
      Word >>= BitsPerByte;
    }
  }
  Body.resize(Length);
  return Body;
}

Bytes generatedAnswer(std::uint64_t Seed, ByteView RequestBody,
                      std::size_t Length) {
  return generatedBody(Seed ^ digestOf(RequestBody).value(), Length);
}

Bytes eventBody(std::string_view Operation, Sequence Number) {
  const std::string Text =
      std::string(Operation) + " event " + std::to_string(Number.value());
  return toBytes(Text + " check " + std::to_string(digestOf(Text).value()));
}

} // namespace buckthorndeck::standins
