#include "Harness.h"
#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/standins/Caller.h"
#include "buckthorndeck/standins/CallerSettings.h"
#include "buckthorndeck/standins/Fabric.h"
#include "buckthorndeck/standins/GeneratedBody.h"

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

using Replies = ScriptedHost::Replies;

const ServiceAddress FloorAddress("10.0.0.1:7000");

//! Retries at once, so that tests of retries are short.
CallerOptions hurried() {
  return {.Service = FloorAddress,
          .FirstRetry = Milliseconds(2),
          .MaxRetry = Milliseconds(4),
          .AnswerGrace = Milliseconds(0),
          .Keepalive = Milliseconds(2)};
}

//! Never retries, for tests that count datagrams: a retry that the machine's
//! load provokes must not change their verdict.
CallerOptions patient() {
  return {.Service = FloorAddress,
          .OpenRetry = Milliseconds(60'000),
          .FirstRetry = Milliseconds(60'000),
          .MaxRetry = Milliseconds(60'000)};
}

//! A host that answers opens with "token-1", "token-2", ... and leaves the
//! rest to the test's script.
struct Setting {
  explicit Setting(ScriptedHost::Script OnOthers,
                   CallerOptions Options = hurried(),
                   Milliseconds Lifetime = Milliseconds(15'000))
      : OnOthers(std::move(OnOthers)), Lifetime(Lifetime),
        Host(In, [this](const wire::Datagram &M) { return replies(M); }),
        Client(start(In, Host, std::move(Options))) {}

  Replies replies(const wire::Datagram &Message) {
    if (const auto *Open = std::get_if<wire::Open>(&Message))
      return {welcome(*Open, "token-" + std::to_string(++Opens), Lifetime)};
    return OnOthers(Message);
  }

  static Caller start(World &In, const ScriptedHost &Host,
                      CallerOptions Options) {
    Options.Entry = Host.endpoint();
    return Caller::start(In.where(), std::move(Options)).value();
  }

  CallResult call(CallRequest Wanted) {
    return In.run(Client.call(std::move(Wanted)));
  }

  ScriptedHost::Script OnOthers;
  Milliseconds Lifetime;
  int Opens = 0;
  World In;
  ScriptedHost Host;
  Caller Client;
};

CallRequest bid() {
  return {.Operation = "bid",
          .Body = toBytes("lot 7"),
          .Deadline = Milliseconds(60'000)};
}

//! Answers every request with its own body.
Replies echo(const wire::Datagram &Message) {
  if (const auto *Request = std::get_if<wire::Request>(&Message))
    return answer(*Request, wire::Outcome::Ok, Request->Part.Body);
  return {};
}

Replies silent(const wire::Datagram & /*Message*/) { return {}; }

//! Result of a call that runs beside the test.
using Beside = std::shared_ptr<std::optional<CallResult>>;

Beside startBeside(Setting &With, CallRequest Wanted) {
  auto Result = std::make_shared<std::optional<CallResult>>();
  boost::asio::co_spawn(
      With.In.where(), With.Client.call(std::move(Wanted)),
      [Result](const std::exception_ptr & /*Failure*/, CallResult Value) {
        *Result = std::move(Value);
      });
  return Result;
}

} // namespace

TEST_CASE("A caller gets a large answer through the fabric", "[caller]") {
  World In;
  const Bytes Large = generatedBody(7, 20'000);
  const auto Answers = [&](const wire::Datagram &Message) -> Replies {
    if (const auto *Open = std::get_if<wire::Open>(&Message))
      return {welcome(*Open, "token")};
    const auto &Request = std::get<wire::Request>(Message);
    return answer(Request, wire::Outcome::Ok, Large);
  };
  ScriptedHost A(In, Answers);
  ScriptedHost B(In, Answers);
  auto Middle =
      Fabric::start(In.where(), {.Hosts = {A.endpoint(), B.endpoint()}})
          .value();
  auto Client = Caller::start(In.where(), {.Entry = Middle.endpoint(),
                                           .Service = FloorAddress})
                    .value();
  const auto Result = In.run(Client.call(bid()));
  CHECK(Result.Result == wire::Outcome::Ok);
  CHECK((Result.Body == Large));
}

TEST_CASE("All attempts of a request use one token and one number",
          "[caller]") {
  // Guards against a welcome that arrives late or twice and turns a repeat of
  // a bid into a second bid.
  for (const bool Idempotent : {false, true}) {
    int Seen = 0;
    Setting With([&](const wire::Datagram &Message) -> Replies {
      const auto &Request = std::get<wire::Request>(Message);
      const wire::Open Open{.Flow = Request.Flow};
      if (++Seen < 5)
        return {welcome(Open, "token-1"), welcome(Open, "late")};
      return answer(Request, wire::Outcome::Ok, toBytes("sold"));
    });
    CallRequest Wanted = bid();
    Wanted.Idempotent = Idempotent;
    const CallResult Result = With.call(std::move(Wanted));
    CHECK(Result.Result == wire::Outcome::Ok);
    const auto Requests = With.Host.received<wire::Request>();
    REQUIRE(Requests.size() >= 5);
    for (std::size_t Index = 0; Index < Requests.size(); ++Index) {
      CHECK(Requests[Index].Token == toBytes("token-1"));
      CHECK(Requests[Index].Number == Requests[0].Number);
      CHECK(Requests[Index].Attempt == Index + 1);
      CHECK(Requests[Index].Idempotent == Idempotent);
    }
  }
}

TEST_CASE("Only reopen makes a caller send a request as a new one",
          "[caller]") {
  for (const auto Outcome : {wire::Outcome::Ok, wire::Outcome::Failed,
                             wire::Outcome::NotRun, wire::Outcome::Unknown}) {
    INFO(wire::toString(Outcome));
    int Seen = 0;
    Setting With(
        [&](const wire::Datagram &Message) -> Replies {
          if (const auto *Request = std::get_if<wire::Request>(&Message))
            return answer(*Request,
                          ++Seen == 1 ? wire::Outcome::Reopen : Outcome, {});
          return {};
        },
        patient());
    const CallResult Result = With.call(bid());
    CHECK(Result.Result == Outcome);
    CHECK(Result.Answered);
    CHECK(Result.Reopens == 1);
    const auto Requests = With.Host.received<wire::Request>();
    REQUIRE(Requests.size() == 2);
    CHECK(Requests[0].Number != Requests[1].Number);
    CHECK(Requests[0].Token != Requests[1].Token);
    CHECK(Requests[1].Attempt == 1);
  }
}

TEST_CASE("A caller ignores every answer that is not its own and whole",
          "[caller]") {
  struct Row {
    const char *Name;
    std::function<void(wire::Answer &)> Spoil;
    std::uint64_t CallerStats::*Counter;
  };
  const std::vector<Row> Rows = {
      {"another flow",
       [](wire::Answer &A) { A.Flow = FlowId(A.Flow.value() + 1); },
       &CallerStats::ForeignFlow},
      {"another request",
       [](wire::Answer &A) { A.Number = Sequence(A.Number.value() + 1); },
       &CallerStats::LateAnswers},
      {"wrong digest", [](wire::Answer &A) { A.Part.BodyDigest = Digest(1); },
       &CallerStats::BadAnswers},
      {"wrong length", [](wire::Answer &A) { A.Part.TotalBytes += 1; },
       &CallerStats::BadAnswers},
      {"one part of another answer",
       [](wire::Answer &A) {
         A.Part.Parts = 2;
         A.Part.Body = toBytes("half");
       },
       nullptr}};
  for (const Row &Next : Rows) {
    INFO(Next.Name);
    Setting With([&](const wire::Datagram &Message) -> Replies {
      const auto &Request = std::get<wire::Request>(Message);
      Replies Both = answer(Request, wire::Outcome::Ok, toBytes("wrong"));
      Next.Spoil(std::get<wire::Answer>(Both[0]));
      const Replies Right =
          answer(Request, wire::Outcome::Ok, toBytes("right"));
      Both.insert(Both.end(), Right.begin(), Right.end());
      return Both;
    });
    const CallResult Result = With.call(bid());
    CHECK(Result.Result == wire::Outcome::Ok);
    CHECK(Result.Body == toBytes("right"));
    if (Next.Counter)
      CHECK(With.Client.stats().*Next.Counter >= 1);
  }
}

TEST_CASE("A large request is sent in parts, and not again once answered",
          "[caller]") {
  const Bytes Large = generatedBody(3, 100'000);
  wire::BodyAssembler Whole;
  std::size_t Parts = 0;
  std::size_t Repeats = 0;
  Setting With(
      [&](const wire::Datagram &Message) -> Replies {
        const auto &Request = std::get<wire::Request>(Message);
        Replies Result =
            answer(Request, wire::Outcome::Ok, generatedBody(4, 3'000));
        if (Whole.complete()) {
          ++Repeats;
          return Result;
        }
        ++Parts;
        CHECK(Whole.add(Request.Part));
        if (!Whole.complete())
          return {};
        Result.resize(1); // The rest is lost.
        return Result;
      },
      {.Service = FloorAddress, .FirstRetry = Milliseconds(100)});
  CallRequest Wanted = bid();
  Wanted.Body = Large;
  const CallResult Result = With.call(std::move(Wanted));
  CHECK((Result.Body == generatedBody(4, 3'000)));
  CHECK((Whole.take() == Large));
  CHECK(Parts >= 100);
  // All parts again would be 100; a few may be on their way when the answer
  // arrives.
  CHECK(Repeats >= 1);
  CHECK(Repeats < 50);
}

TEST_CASE("A caller that gets no answer settles for what it knows",
          "[caller]") {
  CallRequest Wanted = bid();
  Wanted.Deadline = Milliseconds(30);
  SECTION("a request that was sent may have run") {
    Setting With(echo);
    With.call(bid()); // Gets the token before the short deadline begins.
    With.OnOthers = silent;
    const CallResult Result = With.call(Wanted);
    CHECK(Result.Result == wire::Outcome::Unknown);
    CHECK_FALSE(Result.Answered);
    With.In.runUntil(
        [&] { return With.Host.received<wire::Cancel>().size() == 1; });
    const auto Requests = With.Host.received<wire::Request>();
    CHECK(With.Host.received<wire::Cancel>()[0].Number == Result.Number);
    CHECK(Requests.back().Deadline < Wanted.Deadline);
  }
  SECTION("a request that was never sent has not run") {
    World In;
    ScriptedHost Host(In, silent);
    auto Client = Setting::start(In, Host, hurried());
    const CallResult Result = In.run(Client.call(Wanted));
    CHECK(Result.Result == wire::Outcome::NotRun);
    CHECK(Host.received<wire::Request>().empty());
  }
  SECTION("a request that was only told to reopen has not run") {
    CallerOptions Options = hurried();
    Options.AnswerGrace = Milliseconds(60'000); // Each answer is awaited.
    Setting With(
        [](const wire::Datagram &Message) -> Replies {
          if (const auto *Request = std::get_if<wire::Request>(&Message))
            return answer(*Request, wire::Outcome::Reopen, {});
          return {};
        },
        Options);
    const CallResult Result = With.call(Wanted);
    CHECK(Result.Result == wire::Outcome::NotRun);
  }
}

TEST_CASE("After its deadline a caller still asks for the outcome",
          "[caller]") {
  // The home knows then whether the request ran.
  CallerOptions Options = hurried();
  Options.AnswerGrace = Milliseconds(60'000);
  Setting With(echo, Options);
  With.call(bid()); // Gets the token before the short deadline begins.
  With.OnOthers = [](const wire::Datagram &Message) -> Replies {
    const auto &Request = std::get<wire::Request>(Message);
    if (Request.Deadline.count() > 0)
      return {};
    return answer(Request, wire::Outcome::NotRun, {});
  };
  CallRequest Wanted = bid();
  Wanted.Deadline = Milliseconds(10);
  const CallResult Result = With.call(std::move(Wanted));
  CHECK(Result.Result == wire::Outcome::NotRun);
  CHECK(Result.Answered);
}

TEST_CASE("A token is used for its lifetime and then replaced", "[caller]") {
  SECTION("one token serves many calls") {
    Setting With(echo, patient());
    for (int Call = 0; Call < 5; ++Call)
      With.call(bid());
    CHECK(With.Host.received<wire::Open>().size() == 1);
  }
  SECTION("an expired token is not used again") {
    CallerOptions Options = hurried();
    Options.ExpireAt = 0.001; // 15 ms of 15 s.
    Options.RefreshAt = 0.001;
    Setting With(echo, Options);
    With.call(bid());
    With.In.run(sleepFor(Milliseconds(20)));
    With.call(bid());
    const auto Requests = With.Host.received<wire::Request>();
    CHECK(Requests.front().Token != Requests.back().Token);
  }
  SECTION("a token is replaced before it expires, without waiting") {
    CallerOptions Options = hurried();
    Options.RefreshAt = 0; // Always due.
    Setting With(echo, Options);
    With.call(bid());
    With.In.runUntil([&] { return With.Client.stats().Tokens >= 2; });
    CHECK(With.Host.received<wire::Request>()[0].Token == toBytes("token-1"));
    CHECK(With.Client.token() != toBytes("token-1"));
  }
  SECTION("an answer's fresh token is used for the next request") {
    Setting With(
        [](const wire::Datagram &Message) -> Replies {
          const auto &Request = std::get<wire::Request>(Message);
          return answer(Request, wire::Outcome::Ok, {}, toBytes("fresh"));
        },
        patient());
    With.call(bid());
    With.call(bid());
    CHECK(With.Host.received<wire::Request>()[1].Token == toBytes("fresh"));
    CHECK(With.Host.received<wire::Open>().size() == 1);
  }
}

TEST_CASE("A home that never answers loses the next request", "[caller]") {
  // Guards against a caller that stays with a dead home until its token ends.
  Setting With(silent);
  const Beside First = startBeside(With, bid());
  With.In.runUntil([&] {
    const Bytes Token = With.Client.token();
    return !Token.empty() && Token != toBytes("token-1");
  });
  With.OnOthers = echo;
  const CallResult Second = With.call(bid());
  CHECK(Second.Result == wire::Outcome::Ok);
  With.In.runUntil([&] { return First->has_value(); });
  for (const auto &Request : With.Host.received<wire::Request>())
    CHECK((Request.Token == toBytes("token-1")) ==
          (Request.Number != Second.Number));
}

TEST_CASE("A caller can give up its calls", "[caller]") {
  Setting With([](const wire::Datagram &Message) -> Replies {
    if (const auto *Cancel = std::get_if<wire::Cancel>(&Message))
      return answer({.Flow = Cancel->Flow, .Number = Cancel->Number},
                    wire::Outcome::Unknown, {});
    return {};
  });
  const Beside Result = startBeside(With, bid());
  With.In.runUntil(
      [&] { return !With.Host.received<wire::Request>().empty(); });
  With.Client.cancelCalls();
  With.In.runUntil([&] { return Result->has_value(); });
  CHECK((**Result).Result == wire::Outcome::Unknown);
  CHECK((**Result).Answered);
}

TEST_CASE("A subscription delivers each event once and in order", "[caller]") {
  Setting With(silent);
  std::vector<std::uint64_t> Delivered;
  With.Client.subscribe({.Operation = "lot-watch",
                         .After = Sequence(3),
                         .OnEvent = [&](Sequence Number, const Bytes &) {
                           Delivered.push_back(Number.value());
                         }});
  With.In.runUntil(
      [&] { return !With.Host.received<wire::Subscribe>().empty(); });
  CHECK(With.Host.received<wire::Subscribe>()[0].After == Sequence(3));
  CHECK(With.Host.received<wire::Subscribe>()[0].Token == toBytes("token-1"));
  for (const std::uint64_t Number : {4, 4, 6, 7, 6, 3, 5, 8})
    With.Host.push(
        wire::Event{.Flow = With.Client.flow(), .Number = Sequence(Number)});
  With.Host.push(wire::Event{.Flow = FlowId(With.Client.flow().value() + 1),
                             .Number = Sequence(9)});
  With.In.run(With.Client.waitForEvent(Sequence(8)));
  With.In.runUntil([&] { return With.Client.stats().ForeignFlow == 1; });
  CHECK(Delivered == std::vector<std::uint64_t>{4, 5, 6, 7, 8});
  CHECK(With.Client.subscription().Duplicates == 3);
  CHECK(With.Client.subscription().OutOfOrder == 2);
  CHECK(With.Client.subscription().Gaps == 0);
  // The next keepalive acknowledges what was delivered.
  With.In.runUntil([&] {
    return With.Host.received<wire::Subscribe>().back().After == Sequence(8);
  });
  With.Client.unsubscribe();
  With.In.runUntil(
      [&] { return With.Host.received<wire::Unsubscribe>().size() == 1; });
}

TEST_CASE("A missing event is asked for at once and reported when overdue",
          "[caller]") {
  for (const bool LastOne : {false, true}) {
    INFO((LastOne ? "known from the position" : "known from a later event"));
    CallerOptions Options = hurried();
    Options.GapTimeout = Milliseconds(5);
    Options.Keepalive = Milliseconds(200);
    Setting With(silent, Options);
    Sequence Missing;
    With.Client.subscribe({.Operation = "lot-watch",
                           .OnGap = [&](Sequence First) { Missing = First; }});
    With.In.runUntil(
        [&] { return !With.Host.received<wire::Subscribe>().empty(); });
    if (LastOne)
      With.Host.push(wire::Subscribed{.Flow = With.Client.flow(),
                                      .Position = Sequence(2)});
    else
      With.Host.push(
          wire::Event{.Flow = With.Client.flow(), .Number = Sequence(2)});
    With.In.run(With.Client.waitForGaps(1));
    CHECK(Missing == Sequence(1));
    CHECK(With.Client.subscription().Position == Sequence(0));
    // Nothing is skipped: the events are delivered when they come.
    for (const std::uint64_t Number : {2, 1})
      With.Host.push(
          wire::Event{.Flow = With.Client.flow(), .Number = Sequence(Number)});
    With.In.run(With.Client.waitForEvent(Sequence(2)));
    CHECK(With.Client.subscription().Gaps == 1);
  }
}

TEST_CASE("Keepalives count their attempts and leave a silent home",
          "[caller]") {
  bool Answering = false;
  Setting With([&](const wire::Datagram &Message) -> Replies {
    const auto *Subscribe = std::get_if<wire::Subscribe>(&Message);
    if (!Subscribe || !Answering)
      return {};
    return {wire::Subscribed{.Flow = Subscribe->Flow}};
  });
  With.Client.subscribe({.Operation = "lot-watch"});
  const auto Keepalives = [&] { return With.Host.received<wire::Subscribe>(); };
  With.In.runUntil([&] { return Keepalives().size() >= 5; });
  for (std::size_t Index = 0; Index < 5; ++Index)
    CHECK(Keepalives()[Index].Attempt == Index + 1);
  CHECK(Keepalives()[0].Token == toBytes("token-1"));
  CHECK(Keepalives()[4].Token != toBytes("token-1"));
  Answering = true;
  With.In.runUntil([&] { return Keepalives().back().Attempt == 1; });
  CHECK(With.Client.subscription().Confirmed >= 1);
}

TEST_CASE("The caller's settings are checked and read", "[caller]") {
  const Json Good = Json::parse(R"({
    "entry": "127.0.0.1:5", "service": "10.0.0.1:7000", "parallel": 2,
    "calls": [
      {"operation": "bid", "body": "lot 7", "expect_outcome": ["ok", "unknown"],
       "expect_answer": {"answer": "echo"}},
      {"operation": "swatch", "idempotent": true, "body_bytes": 10,
       "expect_answer": {"answer": "generated", "seed": 5, "bytes": 9}}],
    "subscription": {"operation": "lot-watch", "after": 3, "events": 2}})");
  CHECK(checkSchema("f", Good, callerSchema()).empty());
  const CallPlan Plan = readCallPlan(Good);
  CHECK(Plan.Parallel == 2);
  REQUIRE(Plan.Calls.size() == 2);
  CHECK(Plan.Calls[0].Answer == toBytes("lot 7"));
  CHECK(Plan.Calls[0].Outcomes.size() == 2);
  CHECK(Plan.Calls[1].Request.Body.size() == 10);
  CHECK(Plan.Calls[1].Answer ==
        generatedAnswer(5, Plan.Calls[1].Request.Body, 9));
  CHECK(Plan.Subscription->After == Sequence(3));
  // Two runs must not share a flow by accident.
  CHECK(readCallerOptions(Good).RandomSeed !=
        readCallerOptions(Good).RandomSeed);
  const Json Bad = {
      {"service", "x"},
      {"calls", {{{"operation", ""}, {"expect_outcome", {"reopen"}}}}}};
  CHECK(checkSchema("f", Bad, callerSchema()).size() == 4);
}
