#include "buckthorndeck/wire/Body.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/base/Random.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

namespace {

Bytes randomBody(std::size_t Size, RandomEngine &Engine) {
  Bytes Body(Size);
  for (std::uint8_t &Byte : Body)
    Byte = static_cast<std::uint8_t>(Engine());
  return Body;
}

} // namespace

TEST_CASE("A split body assembles from parts in any order with duplicates",
          "[body]") {
  RandomEngine Engine(1);
  for (std::size_t Size :
       {std::size_t{0}, std::size_t{1}, MaxPartBytes - 1, MaxPartBytes,
        MaxPartBytes + 1, std::size_t{54321}, MaxBodyBytes}) {
    const Bytes Body = randomBody(Size, Engine);
    std::vector<BodyPart> Parts = splitBody(Body);
    CHECK(Parts.size() <= MaxParts);
    std::shuffle(Parts.begin(), Parts.end(), Engine);
    BodyAssembler Assembler;
    for (const BodyPart &Part : Parts) {
      CHECK_FALSE(Assembler.complete());
      CHECK(Part.Body.size() <= MaxPartBytes);
      CHECK(Assembler.add(Part));
      CHECK(Assembler.add(Part));
    }
    REQUIRE(Assembler.complete());
    CHECK(Assembler.receivedBytes() == Size);
    CHECK(Assembler.take() == Body);
    CHECK_FALSE(Assembler.complete());
    CHECK(Assembler.receivedBytes() == 0);
  }
}

TEST_CASE("Parts of two bodies do not mix", "[body]") {
  const Bytes Body(2 * MaxPartBytes, 1);
  const auto Parts = splitBody(Body);
  const std::function<void(BodyPart &)> Changes[] = {
      [](BodyPart &Part) { ++Part.Parts; },
      [](BodyPart &Part) { ++Part.TotalBytes; },
      [](BodyPart &Part) { Part.BodyDigest = Digest(1); },
      [](BodyPart &Part) { Part.Part = Part.Parts; }};
  for (const auto &Change : Changes) {
    BodyAssembler Assembler;
    REQUIRE(Assembler.add(Parts[0]));
    BodyPart Other = Parts[1];
    Change(Other);
    CHECK_FALSE(Assembler.add(Other));
    CHECK(Assembler.add(Parts[1]));
    REQUIRE(Assembler.complete());
    CHECK_FALSE(Assembler.add(Other));
    CHECK(Assembler.take() == Body);
  }
}

TEST_CASE("A second copy of a part with other bytes is refused", "[body]") {
  const Bytes Body(2 * MaxPartBytes, 1);
  const auto Parts = splitBody(Body);
  BodyAssembler Assembler;
  REQUIRE(Assembler.add(Parts[0]));
  BodyPart Other = Parts[0];
  Other.Body[5] ^= 1;
  CHECK_FALSE(Assembler.add(Other));
  CHECK(Assembler.add(Parts[1]));
  CHECK(Assembler.take() == Body);
}

TEST_CASE("A body with a wrong digest or length can be sent again", "[body]") {
  const Bytes Body(2 * MaxPartBytes, 1);
  const auto Parts = splitBody(Body);
  BodyPart Damaged = Parts[1];
  const bool Shorter = GENERATE(false, true);
  if (Shorter)
    Damaged.Body.pop_back();
  else
    Damaged.Body[0] ^= 1;
  BodyAssembler Assembler;
  CHECK(Assembler.add(Parts[0]));
  CHECK_FALSE(Assembler.add(Damaged));
  CHECK_FALSE(Assembler.complete());
  CHECK(Assembler.receivedBytes() == 0);
  CHECK(Assembler.add(Parts[1]));
  CHECK(Assembler.add(Parts[0]));
  CHECK(Assembler.take() == Body);
}

TEST_CASE("An assembler never holds more than the announced length", "[body]") {
  BodyAssembler Assembler;
  BodyPart Part{.Parts = MaxParts,
                .TotalBytes = 1500,
                .BodyDigest = Digest(1),
                .Body = Bytes(MaxPartBytes)};
  CHECK(Assembler.add(Part));
  Part.Part = MaxParts - 1;
  CHECK_FALSE(Assembler.add(Part));
  CHECK(Assembler.receivedBytes() == MaxPartBytes);
}

TEST_CASE("A part whose index is not below the count is refused", "[body]") {
  // Guards against a body counted as whole while one of its parts is missing.
  BodyAssembler Assembler;
  CHECK_FALSE(Assembler.add({.Part = 1, .Parts = 1}));
  CHECK_FALSE(Assembler.add({.Part = 0, .Parts = 0}));
  CHECK(Assembler.add(splitBody({})[0]));
  CHECK(Assembler.complete());
}
