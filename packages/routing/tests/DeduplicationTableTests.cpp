#include "buckthorndeck/routing/DeduplicationTable.h"

#include "buckthorndeck/base/Random.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::routing;
using wire::Outcome;
using Kind = Admission::Kind;

namespace {

constexpr DeduplicationTableOptions SmallTable{
    .TokenLifetime = Milliseconds(15),
    .TokenGrace = Milliseconds(2),
    .MinRetentionAfterEnd = Milliseconds(10),
    .MaxRecords = 4,
    .MaxBodyBytes = 20};

TimePoint at(int Ms) { return TimePoint(Milliseconds(1000 + Ms)); }

RequestKey key(std::uint64_t Number) {
  return {.Flow = FlowId(1), .Number = Sequence(Number)};
}

JobResult ok(std::size_t BodyBytes) {
  return {.Result = Outcome::Ok, .Body = Bytes(BodyBytes, 'x')};
}

//! A request of the model and what the table has answered for it.
struct ModelRequest {
  RequestKey Key;
  TimePoint IssuedAt;
  int Admitted = 0;
  bool InProgress = false;
  bool Ran = false;
  bool ReportedNotRun = false;
};

/**
 * Makes random calls to a small table and checks after each that a request is
 * admitted at most once, and that a request reported as not run has not run and
 * does not run later.
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
      Table.expire(currentOrEarlierTime());
      break;
    default:
      if (!Requests.empty())
        deliver(pickRecent());
    }
    REQUIRE(Table.recordCount() <= SmallTable.MaxRecords);
    REQUIRE(Table.bodyBytes() <= SmallTable.MaxBodyBytes);
  }

  //! How often the table gave each answer, to check that the model reaches all
  //! of them.
  std::map<Kind, int> Answers;
  int Evicted = 0;

private:
  //! Now, or an earlier time, as from a task that read the clock before.
  TimePoint currentOrEarlierTime() {
    const bool Late = randomBelow(Random, 4) == 0;
    return Now - Milliseconds(Late ? randomBelow(Random, 20) : 0);
  }

  //! A recent request, so that retransmissions meet records of every age.
  ModelRequest &pickRecent() {
    if (Requests.empty())
      Requests.push_back({.Key = key(0), .IssuedAt = Now});
    const auto Range = std::min<std::uint64_t>(Requests.size(), 12);
    return Requests[Requests.size() - 1 - randomBelow(Random, Range)];
  }

  void deliver(ModelRequest &Request) {
    const TimePoint Time = std::max(currentOrEarlierTime(), Request.IssuedAt);
    const bool Refuses = randomBelow(Random, 5) == 0;
    const JobResult Refusal{.Result = Outcome::NotRun};
    const Admission Answer =
        Refuses ? Table.refuse(Request.Key, Request.IssuedAt, Refusal, Time)
                : Table.admit(Request.Key, Request.IssuedAt, Time);
    ++Answers[Answer.State];
    if (Answer.State == Kind::New) {
      ++Request.Admitted;
      Request.InProgress = true;
    }
    if (Answer.State == Kind::IssuedTooEarly)
      Request.ReportedNotRun = true;
    if (Answer.State == Kind::Finished)
      checkAnswer(Request, *Answer.Result);
    REQUIRE(Request.Admitted <= 1);
    REQUIRE_FALSE(
        (Request.ReportedNotRun && (Request.InProgress || Request.Ran)));
  }

  void checkAnswer(ModelRequest &Request, const JobResult &Answer) {
    if (Answer.Result == Outcome::NotRun)
      Request.ReportedNotRun = true;
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
    Table.finish(Request.Key, Request.Ran ? Ran : NotRun,
                 currentOrEarlierTime());
    // A second, contradicting result must not replace the first.
    Table.finish(Request.Key, Request.Ran ? NotRun : Ran,
                 currentOrEarlierTime());
  }

  static Bytes bodyOf(const ModelRequest &Request) {
    const std::uint64_t Number = Request.Key.Number.value();
    return Bytes(1 + Number % 12, static_cast<std::uint8_t>(Number));
  }

  RandomEngine Random;
  DeduplicationTable Table{SmallTable};
  TimePoint Now = at(0);
  std::vector<ModelRequest> Requests;
};

} // namespace

TEST_CASE("No order of calls runs a request twice or after it was reported as "
          "not run",
          "[deduplication][model]") {
  std::map<Kind, int> Answers;
  int Evicted = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    INFO("seed " << Seed);
    Model Simulation(Seed);
    for (int Step = 0; Step < 5000; ++Step)
      Simulation.step();
    for (const auto &[Answer, Count] : Simulation.Answers)
      Answers[Answer] += Count;
    Evicted += Simulation.Evicted;
  }
  // The check means nothing unless the model fills the table and reaches every
  // answer.
  for (const Kind Answer : {Kind::New, Kind::InProgress, Kind::Finished,
                            Kind::IssuedTooEarly, Kind::Expired}) {
    INFO("answer " << static_cast<int>(Answer));
    CHECK(Answers[Answer] > 1000);
  }
  CHECK(Evicted > 100);
}

TEST_CASE("A record is stored until its token expires and for the minimum "
          "retention after its request ended",
          "[deduplication]") {
  // Guards against a record that is removed while its token is still accepted;
  // the next retransmission would then run the request again.
  DeduplicationTable Table(SmallTable);
  REQUIRE(Table.admit(key(1), at(0), at(1)).State == Kind::New);
  Table.finish(key(1), ok(3), at(2));
  Table.expire(at(17));
  CHECK(Table.admit(key(1), at(0), at(17)).State == Kind::Finished);
  Table.expire(at(18));
  CHECK(Table.admit(key(1), at(0), at(18)).State == Kind::Expired);

  REQUIRE(Table.admit(key(2), at(20), at(20)).State == Kind::New);
  Table.finish(key(2), ok(3), at(40));
  Table.expire(at(50));
  CHECK(Table.admit(key(2), at(20), at(50)).State == Kind::Finished);
}

TEST_CASE("The record of a request in progress never expires",
          "[deduplication]") {
  // Guards against removing the record of a running request; a retransmission
  // would then run the request a second time.
  DeduplicationTable Table(SmallTable);
  REQUIRE(Table.admit(key(1), at(0), at(0)).State == Kind::New);
  Table.expire(at(1000));
  CHECK(Table.admit(key(1), at(0), at(1000)).State == Kind::InProgress);
  CHECK(Table.inProgress() == 1);
}

TEST_CASE("A retransmission under a newer token extends the record's retention",
          "[deduplication]") {
  // Guards against a second run after a caller got a new token between its
  // attempts: the new token is accepted for longer than the first one, and the
  // record must be stored as long.
  DeduplicationTable Table(SmallTable);
  REQUIRE(Table.admit(key(1), at(0), at(0)).State == Kind::New);
  Table.finish(key(1), ok(3), at(1));
  CHECK(Table.admit(key(1), at(16), at(16)).State == Kind::Finished);
  Table.expire(at(33));
  CHECK(Table.admit(key(1), at(16), at(33)).State == Kind::Finished);
}

TEST_CASE("A full table refuses older tokens, also after it has space again",
          "[deduplication]") {
  // Guards against a request that was answered not_run and is admitted later,
  // when records have expired.
  DeduplicationTable Table(SmallTable);
  for (std::uint64_t Number = 0; Number < SmallTable.MaxRecords; ++Number)
    REQUIRE(Table.admit(key(Number), at(0), at(0)).State == Kind::New);
  CHECK(Table.admit(key(9), at(1), at(1)).State == Kind::IssuedTooEarly);
  for (std::uint64_t Number = 0; Number < SmallTable.MaxRecords; ++Number)
    Table.finish(key(Number), ok(0), at(1));
  Table.expire(at(18));
  CHECK(Table.recordCount() == 0);
  CHECK(Table.admit(key(9), at(1), at(18)).State == Kind::IssuedTooEarly);
  CHECK(Table.admit(key(10), at(2), at(18)).State == Kind::New);
}

TEST_CASE("A record whose answer body was evicted answers unknown",
          "[deduplication]") {
  // Guards against an eviction that also removes the record; without it, a
  // retransmission would run the request again.
  DeduplicationTable Table(SmallTable);
  REQUIRE(Table.admit(key(1), at(0), at(0)).State == Kind::New);
  REQUIRE(Table.admit(key(2), at(0), at(0)).State == Kind::New);
  Table.finish(key(1), ok(15), at(0));
  Table.finish(key(2), ok(15), at(0));
  const Admission First = Table.admit(key(1), at(0), at(1));
  REQUIRE(First.State == Kind::Finished);
  CHECK(First.Result->Result == Outcome::Unknown);
  CHECK(First.Result->Reason == "answer_evicted");
  CHECK(Table.admit(key(2), at(0), at(1)).Result->Result == Outcome::Ok);
  CHECK(Table.bodyBytes() == 15);
}
