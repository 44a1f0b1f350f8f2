#include "buckthorndeck/config/Shards.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/internal/Kinds.h"

#include <algorithm>

namespace buckthorndeck::config {

namespace {

//! Preferred shard size. For a small change the publisher sends, and every host
//! that watches the manifest fetches, one shard.
constexpr std::size_t TargetShardBytes = 64 * 1024;

//! Texts of Count shards, without the empty ones.
std::vector<std::string> split(const ObjectSet &Objects, std::size_t Count) {
  std::vector<ObjectSet> Parts(Count);
  for (ObjectSet &Part : Parts)
    forEachKindPair(
        Objects, Part,
        [&](const KindName &Kind, const auto &Source, auto &Selected) {
          const auto Index = static_cast<std::size_t>(&Part - Parts.data());
          for (const auto &[Name, Object] : Source)
            if (rendezvousScore(Kind.Singular, Name.value()) % Count == Index)
              Selected.emplace_hint(Selected.end(), Name, Object);
        });
  std::vector<std::string> Texts;
  for (const ObjectSet &Part : Parts)
    if (!(Part == ObjectSet()))
      Texts.push_back(toJson(Part).dump());
  return Texts;
}

} // namespace

std::vector<std::string> splitIntoShards(const ObjectSet &Objects) {
  const std::size_t Total = toJson(Objects).dump().size();
  std::size_t Count = 1;
  while (Total / Count > TargetShardBytes)
    Count *= 2;
  const auto IsTooLong = [](const std::string &Text) {
    return Text.size() > MaxShardBytes;
  };
  while (true) {
    std::vector<std::string> Texts = split(Objects, Count);
    if (std::none_of(Texts.begin(), Texts.end(), IsTooLong))
      return Texts;
    Count *= 2;
  }
}

Expected<void> addShard(const std::string &Key, const std::string &Text,
                        ObjectSet &Into) {
  const Json Value = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  auto Part = fromJson(Value, Key);
  if (!Part)
    return Unexpected(Part.error());
  bool Distinct = true;
  forEachKindPair(*Part, Into, [&](const KindName &, auto &From, auto &To) {
    To.merge(From);
    Distinct = Distinct && From.empty();
  });
  if (!Distinct)
    return Unexpected(
        Error{.Code = ErrorCode::Invalid,
              .Step = "read shard",
              .Peer = Key,
              .Message = "the shard has an object that another shard has too"});
  return {};
}

} // namespace buckthorndeck::config
