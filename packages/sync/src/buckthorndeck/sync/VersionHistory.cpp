#include "buckthorndeck/sync/VersionHistory.h"

#include "buckthorndeck/config/ObjectJson.h"

#include <algorithm>

namespace buckthorndeck::sync {

namespace {

constexpr const char *Step = "apply configuration";

Unexpected applyError(ErrorCode Code, const std::string &Peer,
                      const std::string &Message) {
  return Unexpected(
      Error{.Code = Code, .Step = Step, .Peer = Peer, .Message = Message});
}

Unexpected notHigherError(const VersionHistory &History, ConfigVersion Version,
                          const std::string &Peer) {
  return applyError(ErrorCode::Refused, Peer,
                    "version " + std::to_string(Version.value()) +
                        " is not higher than the one in force, " +
                        std::to_string(History.Version.value()));
}

void storeDeltas(VersionHistory &History, std::vector<StoredDelta> Deltas) {
  for (StoredDelta &Delta : Deltas)
    History.Deltas.push_back(std::move(Delta));
  std::size_t Total = 0;
  for (const StoredDelta &Delta : History.Deltas)
    Total += Delta.Encoded.size();
  while (History.Deltas.size() > MaxDeltas ||
         (Total > MaxDeltaHistoryBytes && !History.Deltas.empty())) {
    Total -= History.Deltas.front().Encoded.size();
    History.Deltas.pop_front();
  }
}

void activate(VersionHistory &History, ConfigVersion Version,
              Digest ObjectsDigest, config::ObjectSet Set) {
  History.Version = Version;
  History.ObjectsDigest = ObjectsDigest;
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
  return applySet(History, Answer.Version, Answer.ObjectsDigest,
                  std::move(*Set));
}

Expected<StoredDelta> decodeStoredDelta(const Json &Item,
                                        const std::string &Peer) {
  if (!Item.is_array() || Item.size() != 3 || !Item[0].is_number_unsigned() ||
      !Item[1].is_number_unsigned() || !Item[2].is_binary())
    return applyError(
        ErrorCode::Invalid, Peer,
        "a step of the answer is not an array of two versions and a delta");
  return StoredDelta{.From = ConfigVersion(Item[0].get<std::uint64_t>()),
                     .To = ConfigVersion(Item[1].get<std::uint64_t>()),
                     .Encoded = Item[2].get_binary()};
}

Expected<void> applyDeltas(VersionHistory &History, const SyncAnswer &Answer,
                           const std::string &Peer) {
  const auto Document = decodeCbor(Answer.Body, Step, Peer);
  if (!Document)
    return Unexpected(Document.error());
  if (!Document->is_array() || Document->size() > MaxDeltas)
    return applyError(
        ErrorCode::Invalid, Peer,
        "the body of the answer is not an array, or has too many deltas");
  config::ObjectSet Set = *History.Set;
  ConfigVersion Version = History.Version;
  Digest ObjectsDigest = History.ObjectsDigest;
  std::vector<StoredDelta> Deltas;
  for (const Json &Item : *Document) {
    auto Next = decodeStoredDelta(Item, Peer);
    if (!Next)
      return Unexpected(Next.error());
    const auto Change = config::decodeDelta(Next->Encoded, Peer);
    if (!Change)
      return Unexpected(Change.error());
    if (Next->From != Version || Change->From != ObjectsDigest ||
        Next->To <= Version)
      return applyError(
          ErrorCode::Conflict, Peer,
          "a delta starts from version " + std::to_string(Next->From.value()) +
              ", which does not fit the set in force or the delta before it");
    auto Applied = config::applyDelta(std::move(Set), *Change);
    if (!Applied)
      return Unexpected(Applied.error());
    Set = std::move(*Applied);
    Version = Next->To;
    ObjectsDigest = Change->To;
    Next->FromObjectsDigest = Change->From;
    Deltas.push_back(std::move(*Next));
  }
  if (Version != Answer.Version || ObjectsDigest != Answer.ObjectsDigest)
    return applyError(ErrorCode::Conflict, Peer,
                      "the deltas lead to another version or digest than was "
                      "stated in the answer");
  activate(History, Version, ObjectsDigest, std::move(Set));
  storeDeltas(History, std::move(Deltas));
  return {};
}

} // namespace

Expected<void> applySet(VersionHistory &History, ConfigVersion Version,
                        Digest ObjectsDigest, config::ObjectSet Set) {
  if (Version <= History.Version)
    return notHigherError(History, Version, "");
  const Digest Found = config::digestOf(Set);
  if (Found != ObjectsDigest)
    return applyError(ErrorCode::Invalid, "",
                      "version " + std::to_string(Version.value()) +
                          " has digest " + config::formatDigest(Found) +
                          ", expected " + config::formatDigest(ObjectsDigest));
  if (History.Version > ConfigVersion()) {
    std::vector<StoredDelta> Deltas;
    Deltas.push_back(
        {.From = History.Version,
         .FromObjectsDigest = History.ObjectsDigest,
         .To = Version,
         .Encoded = config::encodeDelta(config::makeDelta(*History.Set, Set))});
    storeDeltas(History, std::move(Deltas));
  }
  activate(History, Version, ObjectsDigest, std::move(Set));
  return {};
}

Expected<void> applyAnswer(VersionHistory &History, const SyncAnswer &Answer,
                           const std::string &Peer) {
  if (Answer.Version <= History.Version)
    return notHigherError(History, Answer.Version, Peer);
  switch (Answer.Kind) {
  case SyncAnswerKind::Delta:
    return applyDeltas(History, Answer, Peer);
  case SyncAnswerKind::Full:
    return applyFull(History, Answer, Peer);
  case SyncAnswerKind::Current:
  case SyncAnswerKind::Busy:
    break;
  }
  return applyError(
      ErrorCode::Refused, Peer,
      "the peer sent an answer with a higher version but no configuration");
}

SyncAnswer answerRequest(const VersionHistory &History,
                         const SyncRequest &Request) {
  SyncAnswer Answer{.Kind = SyncAnswerKind::Current,
                    .Version = History.Version,
                    .ObjectsDigest = History.ObjectsDigest};
  if (Request.Version >= History.Version)
    return Answer;
  const auto First = std::find_if(
      History.Deltas.begin(), History.Deltas.end(), [&](const StoredDelta &D) {
        return D.From == Request.Version &&
               D.FromObjectsDigest == Request.ObjectsDigest;
      });
  if (First == History.Deltas.end()) {
    Answer.Kind = SyncAnswerKind::Full;
    Answer.Body = encodeCbor(config::toJson(*History.Set));
    return Answer;
  }
  Json Deltas = Json::array();
  for (auto Delta = First; Delta != History.Deltas.end(); ++Delta)
    Deltas.push_back(Json::array(
        {Delta->From.value(), Delta->To.value(), binary(Delta->Encoded)}));
  Answer.Kind = SyncAnswerKind::Delta;
  Answer.Body = encodeCbor(Deltas);
  return Answer;
}

} // namespace buckthorndeck::sync
