#include "buckthorndeck/sync/VersionHistory.h"

#include "buckthorndeck/config/ObjectJson.h"

#include <algorithm>

namespace buckthorndeck::sync {

namespace {

constexpr const char *Step = "apply configuration";

Unexpected failed(ErrorCode Code, const std::string &Peer,
                  const std::string &Message) {
  return Unexpected(
      Error{.Code = Code, .Step = Step, .Peer = Peer, .Message = Message});
}

Unexpected notHigher(const VersionHistory &History, ConfigVersion Version,
                     const std::string &Peer) {
  return failed(ErrorCode::Refused, Peer,
                "version " + std::to_string(Version.value()) +
                    " is not higher than " +
                    std::to_string(History.Version.value()));
}

void keep(VersionHistory &History, std::vector<StoredDelta> Steps) {
  for (StoredDelta &Each : Steps)
    History.Deltas.push_back(std::move(Each));
  std::size_t Total = 0;
  for (const StoredDelta &Each : History.Deltas)
    Total += Each.Encoded.size();
  while (History.Deltas.size() > MaxDeltas ||
         (Total > MaxDeltaHistoryBytes && !History.Deltas.empty())) {
    Total -= History.Deltas.front().Encoded.size();
    History.Deltas.pop_front();
  }
}

void replace(VersionHistory &History, ConfigVersion Version, Digest Objects,
             config::ObjectSet Set) {
  History.Version = Version;
  History.Objects = Objects;
  History.Set = std::make_shared<config::ObjectSet>(std::move(Set));
}

Expected<void> applyFull(VersionHistory &History, const SyncAnswer &Answer,
                         const std::string &Peer) {
  const auto Document = decodeCbor(Answer.Body, Step, Peer);
  if (!Document)
    return Unexpected(Document.error());
  auto Set = config::fromJson(*Document, Peer);
  if (!Set)
    return Unexpected(Set.error());
  return applySet(History, Answer.Version, Answer.Objects, std::move(*Set));
}

Expected<StoredDelta> readStep(const Json &Item, const std::string &Peer) {
  if (!Item.is_array() || Item.size() != 3 || !Item[0].is_number_unsigned() ||
      !Item[1].is_number_unsigned() || !Item[2].is_binary())
    return failed(ErrorCode::Invalid, Peer,
                  "a step is not an array of two versions and a delta");
  return StoredDelta{.From = ConfigVersion(Item[0].get<std::uint64_t>()),
                     .To = ConfigVersion(Item[1].get<std::uint64_t>()),
                     .Encoded = Item[2].get_binary()};
}

Expected<void> applySteps(VersionHistory &History, const SyncAnswer &Answer,
                          const std::string &Peer) {
  const auto Document = decodeCbor(Answer.Body, Step, Peer);
  if (!Document)
    return Unexpected(Document.error());
  if (!Document->is_array() || Document->size() > MaxDeltas)
    return failed(ErrorCode::Invalid, Peer, "not an array of steps");
  config::ObjectSet Set = *History.Set;
  ConfigVersion Version = History.Version;
  Digest Objects = History.Objects;
  std::vector<StoredDelta> Steps;
  for (const Json &Item : *Document) {
    auto Next = readStep(Item, Peer);
    if (!Next)
      return Unexpected(Next.error());
    const auto Change = config::decodeDelta(Next->Encoded, Peer);
    if (!Change)
      return Unexpected(Change.error());
    if (Next->From != Version || Change->From != Objects || Next->To <= Version)
      return failed(ErrorCode::Conflict, Peer,
                    "a delta starts from version " +
                        std::to_string(Next->From.value()) +
                        ", the set in force is another one");
    auto Applied = config::applyDelta(std::move(Set), *Change);
    if (!Applied)
      return Unexpected(Applied.error());
    Set = std::move(*Applied);
    Version = Next->To;
    Objects = Change->To;
    Next->FromObjects = Change->From;
    Steps.push_back(std::move(*Next));
  }
  if (Version != Answer.Version || Objects != Answer.Objects)
    return failed(ErrorCode::Conflict, Peer,
                  "the deltas do not lead to the version that was stated");
  replace(History, Version, Objects, std::move(Set));
  keep(History, std::move(Steps));
  return {};
}

} // namespace

Expected<void> applySet(VersionHistory &History, ConfigVersion Version,
                        Digest Objects, config::ObjectSet Set) {
  if (Version <= History.Version)
    return notHigher(History, Version, "");
  const Digest Found = config::digestOf(Set);
  if (Found != Objects)
    return failed(ErrorCode::Invalid, "",
                  "version " + std::to_string(Version.value()) +
                      " has digest " + config::formatDigest(Found) +
                      ", expected " + config::formatDigest(Objects));
  if (History.Version > ConfigVersion()) {
    std::vector<StoredDelta> Steps;
    Steps.push_back(
        {.From = History.Version,
         .FromObjects = History.Objects,
         .To = Version,
         .Encoded = config::encodeDelta(config::makeDelta(*History.Set, Set))});
    keep(History, std::move(Steps));
  }
  replace(History, Version, Objects, std::move(Set));
  return {};
}

Expected<void> applyAnswer(VersionHistory &History, const SyncAnswer &Answer,
                           const std::string &Peer) {
  if (Answer.Version <= History.Version)
    return notHigher(History, Answer.Version, Peer);
  switch (Answer.Kind) {
  case SyncAnswerKind::Delta:
    return applySteps(History, Answer, Peer);
  case SyncAnswerKind::Full:
    return applyFull(History, Answer, Peer);
  case SyncAnswerKind::Current:
  case SyncAnswerKind::Busy:
    break;
  }
  return failed(ErrorCode::Refused, Peer, "the peer sent no configuration");
}

SyncAnswer answerRequest(const VersionHistory &History,
                         const SyncRequest &Request) {
  SyncAnswer Answer{.Kind = SyncAnswerKind::Current,
                    .Version = History.Version,
                    .Objects = History.Objects};
  if (Request.Version >= History.Version)
    return Answer;
  const auto First = std::find_if(
      History.Deltas.begin(), History.Deltas.end(), [&](const StoredDelta &D) {
        return D.From == Request.Version && D.FromObjects == Request.Objects;
      });
  if (First == History.Deltas.end()) {
    Answer.Kind = SyncAnswerKind::Full;
    Answer.Body = encodeCbor(config::toJson(*History.Set));
    return Answer;
  }
  Json Steps = Json::array();
  for (auto Each = First; Each != History.Deltas.end(); ++Each)
    Steps.push_back(Json::array(
        {Each->From.value(), Each->To.value(), binary(Each->Encoded)}));
  Answer.Kind = SyncAnswerKind::Delta;
  Answer.Body = encodeCbor(Steps);
  return Answer;
}

} // namespace buckthorndeck::sync
