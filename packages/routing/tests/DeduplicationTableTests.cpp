#include "buckthorndeck/routing/DeduplicationTable.h"

#include "buckthorndeck/base/Random.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::routing;
using wire::Outcome;
using Kind = Admission::Kind;

namespace {

constexpr DeduplicationTableOptions Small{.TokenLifetime = Milliseconds(15),
                                          .TokenGrace = Milliseconds(2),
                                          .KeepAfterEnd = Milliseconds(10),
                                          .MaxRecords = 4,
                                          .MaxBodyBytes = 20};

TimePoint at(int Ms) { return TimePoint(Milliseconds(1000 + Ms)); }

RequestKey key(std::uint64_t Number) {
  return {.Flow = FlowId(1), .Number = Sequence(Number)};
}

JobResult ok(std::size_t BodyBytes) {
  return {.Result = Outcome::Ok, .Body = Bytes(BodyBytes, 'x')};
}

//! A request of the model, which remembers what the ledger said about it.
struct ModelRequest {
  RequestKey Key;
  TimePoint IssuedAt;
  int Admitted = 0;
  bool InProgress = false;
  bool Ran = false;
  bool ToldNotRun = false;
};

/**
 * Drives a small ledger with random calls and checks the page's two claims
 * after each: a request is admitted once, and one that was called not run has
 * not run and does not run later.
 */
class Model {
public:
  explicit Model(std::uint64_t Seed) : Random(Seed) {}

  void step() {
    Now += Milliseconds(randomBelow(Random, 4));
    switch (randomBelow(Random, 12)) {
    case 0:
    case 1:
      Requests.push_back({.Key = key(Requests.size()), .IssuedAt = Now});
      break;
    case 2:
      finishOne();
      break;
    case 3:
      Record.expire(someTime());
      break;
    default:
      if (!Requests.empty())
        deliver(pick());
    }
    REQUIRE(Record.recordCount() <= Small.MaxRecords);
    REQUIRE(Record.bodyBytes() <= Small.MaxBodyBytes);
  }

  //! How often each answer was given, to see that the model reaches them all.
  std::map<Kind, int> Answers;
  int Evicted = 0;

private:
  //! Now, or an earlier time that another task still holds.
  TimePoint someTime() {
    const bool Late = randomBelow(Random, 4) == 0;
    return Now - Milliseconds(Late ? randomBelow(Random, 20) : 0);
  }

  //! A recent request, so that duplicates meet entries of every age.
  ModelRequest &pick() {
    if (Requests.empty())
      Requests.push_back({.Key = key(0), .IssuedAt = Now});
    const auto Range = std::min<std::uint64_t>(Requests.size(), 12);
    return Requests[Requests.size() - 1 - randomBelow(Random, Range)];
  }

  void deliver(ModelRequest &Request) {
    const TimePoint Time = std::max(someTime(), Request.IssuedAt);
    const bool Refuses = randomBelow(Random, 5) == 0;
    const JobResult Refusal{.Result = Outcome::NotRun};
    const Admission Answer =
        Refuses ? Record.refuse(Request.Key, Request.IssuedAt, Refusal, Time)
                : Record.admit(Request.Key, Request.IssuedAt, Time);
    ++Answers[Answer.State];
    if (Answer.State == Kind::New) {
      ++Request.Admitted;
      Request.InProgress = true;
    }
    if (Answer.State == Kind::IssuedTooEarly)
      Request.ToldNotRun = true;
    if (Answer.State == Kind::Finished)
      checkAnswer(Request, *Answer.Result);
    REQUIRE(Request.Admitted <= 1);
    REQUIRE_FALSE((Request.ToldNotRun && (Request.InProgress || Request.Ran)));
  }

  void checkAnswer(ModelRequest &Request, const JobResult &Answer) {
    if (Answer.Result == Outcome::NotRun)
      Request.ToldNotRun = true;
    if (Answer.Result == Outcome::Ok)
      REQUIRE(Answer.Body == bodyOf(Request));
    if (Answer.Result == Outcome::Unknown)
      ++Evicted;
  }

  //! Ends a random request in progress, if there is one.
  void finishOne() {
    std::vector<ModelRequest *> Running;
    for (ModelRequest &Request : Requests)
      if (Request.InProgress)
        Running.push_back(&Request);
    if (!Running.empty())
      finish(*Running[randomBelow(Random, Running.size())]);
  }

  void finish(ModelRequest &Request) {
    Request.InProgress = false;
    Request.Ran = randomBelow(Random, 3) != 0;
    const JobResult Ran{.Result = Outcome::Ok, .Body = bodyOf(Request)};
    const JobResult NotRun{.Result = Outcome::NotRun};
    Record.finish(Request.Key, Request.Ran ? Ran : NotRun, someTime());
    // A second, contradicting end must not replace the first.
    Record.finish(Request.Key, Request.Ran ? NotRun : Ran, someTime());
  }

  static Bytes bodyOf(const ModelRequest &Request) {
    const std::uint64_t Number = Request.Key.Number.value();
    return Bytes(1 + Number % 12, static_cast<std::uint8_t>(Number));
  }

  RandomEngine Random;
  DeduplicationTable Record{Small};
  TimePoint Now = at(0);
  std::vector<ModelRequest> Requests;
};

} // namespace

TEST_CASE("No order of calls runs a request twice or after not run",
          "[ledger][model]") {
  std::map<Kind, int> Answers;
  int Evicted = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    INFO("seed " << Seed);
    Model Run(Seed);
    for (int Step = 0; Step < 5000; ++Step)
      Run.step();
    for (const auto &[Answer, Count] : Run.Answers)
      Answers[Answer] += Count;
    Evicted += Run.Evicted;
  }
  // A model that never fills the ledger would prove nothing.
  for (const Kind Answer : {Kind::New, Kind::InProgress, Kind::Finished,
                            Kind::IssuedTooEarly, Kind::Expired}) {
    INFO("answer " << static_cast<int>(Answer));
    CHECK(Answers[Answer] > 1000);
  }
  CHECK(Evicted > 100);
}

TEST_CASE("An entry outlives its token and its end by 10 s", "[ledger]") {
  // Guards against an entry that is gone while its token is still accepted;
  // the next retransmission would then run the request again.
  DeduplicationTable Record(Small);
  REQUIRE(Record.admit(key(1), at(0), at(1)).State == Kind::New);
  Record.finish(key(1), ok(3), at(2));
  Record.expire(at(17));
  CHECK(Record.admit(key(1), at(0), at(17)).State == Kind::Finished);
  Record.expire(at(18));
  CHECK(Record.admit(key(1), at(0), at(18)).State == Kind::Expired);

  REQUIRE(Record.admit(key(2), at(20), at(20)).State == Kind::New);
  Record.finish(key(2), ok(3), at(40));
  Record.expire(at(50));
  CHECK(Record.admit(key(2), at(20), at(50)).State == Kind::Finished);
}

TEST_CASE("An entry in progress never expires", "[ledger]") {
  DeduplicationTable Record(Small);
  REQUIRE(Record.admit(key(1), at(0), at(0)).State == Kind::New);
  Record.expire(at(1000));
  CHECK(Record.admit(key(1), at(0), at(1000)).State == Kind::InProgress);
  CHECK(Record.inProgress() == 1);
}

TEST_CASE("A newer token makes the entry live on", "[ledger]") {
  // Guards against a caller that changes tokens between attempts and thereby
  // outlives the entry of the first one.
  DeduplicationTable Record(Small);
  REQUIRE(Record.admit(key(1), at(0), at(0)).State == Kind::New);
  Record.finish(key(1), ok(3), at(1));
  CHECK(Record.admit(key(1), at(16), at(16)).State == Kind::Finished);
  Record.expire(at(33));
  CHECK(Record.admit(key(1), at(16), at(33)).State == Kind::Finished);
}

TEST_CASE("A full ledger refuses older tokens for good", "[ledger]") {
  DeduplicationTable Record(Small);
  for (std::uint64_t Number = 0; Number < Small.MaxRecords; ++Number)
    REQUIRE(Record.admit(key(Number), at(0), at(0)).State == Kind::New);
  CHECK(Record.admit(key(9), at(1), at(1)).State == Kind::IssuedTooEarly);
  for (std::uint64_t Number = 0; Number < Small.MaxRecords; ++Number)
    Record.finish(key(Number), ok(0), at(1));
  Record.expire(at(18));
  CHECK(Record.recordCount() == 0);
  CHECK(Record.admit(key(9), at(1), at(18)).State == Kind::IssuedTooEarly);
  CHECK(Record.admit(key(10), at(2), at(18)).State == Kind::New);
}

TEST_CASE("An evicted body leaves an entry that answers unknown", "[ledger]") {
  // Guards against eviction that drops the entry, and with it the proof that
  // the request already ran.
  DeduplicationTable Record(Small);
  REQUIRE(Record.admit(key(1), at(0), at(0)).State == Kind::New);
  REQUIRE(Record.admit(key(2), at(0), at(0)).State == Kind::New);
  Record.finish(key(1), ok(15), at(0));
  Record.finish(key(2), ok(15), at(0));
  const Admission First = Record.admit(key(1), at(0), at(1));
  REQUIRE(First.State == Kind::Finished);
  CHECK(First.Result->Result == Outcome::Unknown);
  CHECK(First.Result->Reason == "answer_evicted");
  CHECK(Record.admit(key(2), at(0), at(1)).Result->Result == Outcome::Ok);
  CHECK(Record.bodyBytes() == 15);
}
