#include "SampleVersions.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::sync;

namespace {

//! The history of a host that applied every version from First to Last.
VersionHistory historyOf(unsigned First, unsigned Last) {
  VersionHistory History;
  for (unsigned Version = First; Version <= Last; ++Version)
    REQUIRE(applySet(History, ConfigVersion(Version), digestAt(Version),
                     setAt(Version)));
  return History;
}

SyncAnswer ask(const VersionHistory &Server, const VersionHistory &Reader) {
  return answerRequest(Server,
                       SyncRequest{.Version = Reader.Version,
                                   .ObjectsDigest = Reader.ObjectsDigest});
}

} // namespace

TEST_CASE("Only a higher version with the right digest comes into force",
          "[history]") {
  // Guards against a configuration that goes back or is damaged: by a stale
  // read, a delayed message or a set that does not match its digest.
  struct TestCase {
    unsigned Version;
    unsigned DigestOf;
    unsigned SetOf;
    bool Applied;
    ErrorCode Code;
  };
  const TestCase Cases[] = {{6, 6, 6, true, {}},
                            {9, 9, 9, true, {}},
                            {5, 5, 5, false, ErrorCode::Refused},
                            {5, 6, 6, false, ErrorCode::Refused},
                            {4, 4, 4, false, ErrorCode::Refused},
                            {0, 0, 0, false, ErrorCode::Refused},
                            {6, 7, 6, false, ErrorCode::Invalid}};
  for (const TestCase &Case : Cases) {
    CAPTURE(&Case - Cases);
    VersionHistory History = historyOf(1, 5);
    const auto Result = applySet(History, ConfigVersion(Case.Version),
                                 digestAt(Case.DigestOf), setAt(Case.SetOf));
    CHECK(Result.has_value() == Case.Applied);
    if (!Result)
      CHECK(Result.error().Code == Case.Code);
    const unsigned InForce = Case.Applied ? Case.Version : 5;
    CHECK(History.Version == ConfigVersion(InForce));
    CHECK(*History.Set == setAt(InForce));
  }
}

TEST_CASE("A host that is behind gets deltas or the whole set", "[history]") {
  // Guards against deltas that start from a set that the requester does not
  // have.
  struct TestCase {
    unsigned First,
        Last; //!< Versions that the reader applied; 0 to 0 for none.
    SyncAnswerKind Kind;
  };
  // The oldest stored delta starts from version 8.
  constexpr unsigned Newest = MaxDeltas + 8;
  const VersionHistory Server = historyOf(1, Newest);
  const TestCase Cases[] = {{1, Newest - 1, SyncAnswerKind::Delta},
                            {1, 8, SyncAnswerKind::Delta},
                            {20, 20, SyncAnswerKind::Delta},
                            {1, 7, SyncAnswerKind::Full},
                            {0, 0, SyncAnswerKind::Full},
                            {1, Newest, SyncAnswerKind::Current},
                            {1, Newest + 1, SyncAnswerKind::Current}};
  for (const TestCase &Case : Cases) {
    CAPTURE(Case.First, Case.Last);
    VersionHistory Reader =
        Case.Last ? historyOf(Case.First, Case.Last) : VersionHistory();
    const SyncAnswer Answer = ask(Server, Reader);
    REQUIRE(Answer.Kind == Case.Kind);
    if (Case.Kind == SyncAnswerKind::Current)
      continue;
    REQUIRE(applyAnswer(Reader, Answer, "peer"));
    CHECK(Reader.Version == Server.Version);
    CHECK(*Reader.Set == *Server.Set);
    // The reader can now answer a host that is one version behind.
    CHECK(Reader.Deltas.size() <= MaxDeltas);
    VersionHistory Last = historyOf(1, Newest - 1);
    REQUIRE(applyAnswer(Last, ask(Reader, Last), "peer"));
    CHECK(*Last.Set == *Server.Set);
  }
  // A reader with the same version number but another set needs the whole set.
  CHECK(answerRequest(Server, {.Version = ConfigVersion(Newest - 1),
                               .ObjectsDigest = digestAt(3)})
            .Kind == SyncAnswerKind::Full);
}

TEST_CASE("Answers that do not fit the set in force change nothing",
          "[history]") {
  // Guards against an answer that is applied to the wrong set, because another
  // version came into force between request and answer, or because the answer
  // is damaged.
  const VersionHistory Server = historyOf(1, 9);
  const VersionHistory Asked = historyOf(1, 5);
  const SyncAnswer Answer = ask(Server, Asked);
  REQUIRE(Answer.Kind == SyncAnswerKind::Delta);

  VersionHistory MovedOn = historyOf(1, 7);
  const auto Crossed = applyAnswer(MovedOn, Answer, "peer");
  REQUIRE_FALSE(Crossed);
  CHECK(Crossed.error().Code == ErrorCode::Conflict);
  CHECK(MovedOn.Version == ConfigVersion(7));

  VersionHistory Ahead = historyOf(1, 9);
  CHECK(applyAnswer(Ahead, Answer, "peer").error().Code == ErrorCode::Refused);

  for (const auto &Damage : std::vector<std::function<void(SyncAnswer &)>>{
           [](SyncAnswer &A) { A.ObjectsDigest = digestAt(3); },
           [](SyncAnswer &A) { A.Version = ConfigVersion(10); },
           [](SyncAnswer &A) { A.Body.pop_back(); },
           [](SyncAnswer &A) { A.Body = encodeCbor(Json::array({1})); },
           [](SyncAnswer &A) { A.Body = encodeCbor(Json::array()); },
           [](SyncAnswer &A) { A.Body = encodeCbor(Json::object()); },
           [](SyncAnswer &A) { A.Kind = SyncAnswerKind::Full; },
           [](SyncAnswer &A) { A.Kind = SyncAnswerKind::Busy; }}) {
    VersionHistory Reader = historyOf(1, 5);
    SyncAnswer Damaged = Answer;
    Damage(Damaged);
    CHECK_FALSE(applyAnswer(Reader, Damaged, "peer"));
    CHECK(Reader.Version == ConfigVersion(5));
    CHECK(*Reader.Set == setAt(5));
  }
}

TEST_CASE("Pages of an answer are checked and assembled", "[history]") {
  // Guards against pages of two answers that are joined into one, and against a
  // peer that sends pages without end and so exhausts the memory.
  const SyncAnswer Answer{.Kind = SyncAnswerKind::Full,
                          .Version = ConfigVersion(3),
                          .ObjectsDigest = Digest(4),
                          .Body = Bytes(10, 7)};
  const ByteView Body(Answer.Body);
  SyncAnswerReader Reader;
  CHECK(*Reader.add(encodePage(Answer, Body.first(6), false), "p") == false);
  CHECK(*Reader.add(encodePage(Answer, Body.last(4), true), "p") == true);
  CHECK(Reader.take().Body == Answer.Body);

  const Json Good = encodePage(Answer, Body, true);
  for (const auto &[Field, Value] :
       std::vector<std::pair<const char *, Json>>{{"type", "sync_other"},
                                                  {"type", 3},
                                                  {"version", -1},
                                                  {"digest", "x"},
                                                  {"last", 1},
                                                  {"body", "text"}}) {
    CAPTURE(Field);
    Json Bad = Good;
    Bad[Field] = Value;
    CHECK_FALSE(SyncAnswerReader().add(Bad, "p"));
    Bad.erase(Field);
    CHECK_FALSE(SyncAnswerReader().add(Bad, "p"));
  }
  CHECK_FALSE(SyncAnswerReader().add(Json(3), "p"));
  SyncAnswerReader Mixed;
  REQUIRE(Mixed.add(encodePage(Answer, Body.first(6), false), "p"));
  SyncAnswer Other = Answer;
  Other.Version = ConfigVersion(4);
  CHECK_FALSE(Mixed.add(encodePage(Other, Body.last(4), true), "p"));
  SyncAnswerReader Full;
  const Bytes Large(MaxSyncBodyBytes, 1);
  REQUIRE(Full.add(encodePage(Answer, Large, false), "p"));
  CHECK_FALSE(Full.add(encodePage(Answer, Body.first(1), false), "p"));
}

TEST_CASE("Small answers are sent at once and large ones at the budget's rate",
          "[history]") {
  // Guards against a set of 2 MB that is sent at full speed and exceeds the
  // control budget.
  TokenBucket Bucket{SendRateOptions{}};
  const TimePoint Start{std::chrono::hours(1)};
  CHECK(takeBytes(Bucket, 64 * 1024, Start) == Milliseconds(0));
  CHECK(takeBytes(Bucket, 3000, Start) == Milliseconds(1000));
  CHECK(takeBytes(Bucket, 3000, Start + Milliseconds(1000)) ==
        Milliseconds(1000));
  CHECK(takeBytes(Bucket, 3000, Start + Milliseconds(60'000)) ==
        Milliseconds(0));
}
