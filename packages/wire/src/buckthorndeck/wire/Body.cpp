#include "buckthorndeck/wire/Body.h"

#include "buckthorndeck/base/Hash.h"

#include <algorithm>

namespace buckthorndeck::wire {

namespace {

Unexpected invalid(const std::string &Message) {
  return Unexpected(Error{
      .Code = ErrorCode::Invalid, .Step = "assemble body", .Message = Message});
}

} // namespace

std::vector<BodyPart> splitBody(ByteView Body) {
  const std::size_t Count =
      std::max<std::size_t>(1, (Body.size() + MaxPartBytes - 1) / MaxPartBytes);
  const Digest WholeDigest = digestOf(Body);
  std::vector<BodyPart> Parts;
  Parts.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::size_t Begin = Index * MaxPartBytes;
    const ByteView Slice =
        Body.subspan(Begin, std::min(MaxPartBytes, Body.size() - Begin));
    Parts.push_back(
        BodyPart{.Part = static_cast<std::uint32_t>(Index),
                 .Parts = static_cast<std::uint32_t>(Count),
                 .TotalBytes = static_cast<std::uint32_t>(Body.size()),
                 .BodyDigest = WholeDigest,
                 .Body = Bytes(Slice.begin(), Slice.end())});
  }
  return Parts;
}

Expected<void> BodyAssembler::add(const BodyPart &Part) {
  if (Part.Part >= Part.Parts)
    return invalid("the part's index is not below the number of parts");
  if (PartCount == 0) {
    PartCount = Part.Parts;
    TotalBytes = Part.TotalBytes;
    BodyDigest = Part.BodyDigest;
  }
  if (Part.Parts != PartCount || Part.TotalBytes != TotalBytes ||
      Part.BodyDigest != BodyDigest)
    return invalid("the part belongs to another body");
  if (Complete)
    return {};
  if (const auto Known = Parts.find(Part.Part); Known != Parts.end()) {
    if (Known->second != Part.Body)
      return invalid("the part differs from its first copy");
    return {};
  }
  if (Part.Body.size() > TotalBytes - ReceivedBytes)
    return invalid("the parts are longer than the announced length");
  Parts.emplace(Part.Part, Part.Body);
  ReceivedBytes += Part.Body.size();
  if (Parts.size() < PartCount)
    return {};
  return finish();
}

Expected<void> BodyAssembler::finish() {
  Whole.reserve(ReceivedBytes);
  for (const auto &[Index, Slice] : Parts)
    Whole.insert(Whole.end(), Slice.begin(), Slice.end());
  Parts.clear();
  if (Whole.size() != TotalBytes || digestOf(Whole) != BodyDigest) {
    *this = BodyAssembler{};
    return invalid("length or digest does not match");
  }
  Complete = true;
  return {};
}

Bytes BodyAssembler::take() {
  Bytes Result = std::move(Whole);
  *this = BodyAssembler{};
  return Result;
}

} // namespace buckthorndeck::wire
