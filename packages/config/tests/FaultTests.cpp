#include "FakeStore.h"
#include "SampleObjects.h"

#include "buckthorndeck/config/OrphanCleaner.h"
#include "buckthorndeck/config/Publisher.h"
#include "buckthorndeck/config/Shards.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::config;

namespace {

//! Enough servers that a set has several shards.
constexpr unsigned ManyServers = 600;

std::string serverName(unsigned Index) {
  return "exchange/tf-" + std::to_string(Index);
}

ObjectSet withSlots(ObjectSet Objects, unsigned Server, std::uint32_t Slots) {
  Objects.BackendServers.at(ObjectName(serverName(Server))).Slots = Slots;
  return Objects;
}

bool isManifestCall(const HttpRequest &Request, const std::string &Method) {
  return Request.Method == Method &&
         Request.Target.find(ManifestKey) != std::string::npos;
}

//! A store, what was published to it, and invariants that hold under all
//! faults.
struct Fixture {
  boost::asio::io_context Context;
  FakeStore Store{Context};
  std::map<std::string, ConfigVersion> Acknowledged;
  std::map<std::string, ObjectSet> Requested;
  std::vector<std::string> ReportedUnpublished; //!< Operation ids.
  unsigned Operations = 0;

  PublishRequest request(ObjectSet Objects, std::uint64_t Base) {
    const std::string OperationId = "op-" + std::to_string(++Operations);
    Requested[OperationId] = Objects;
    return {.OperationId = OperationId,
            .Author = "operator",
            .Base = ConfigVersion(Base),
            .Objects = std::move(Objects)};
  }

  void record(const std::string &OperationId, const PublishOutcome &Outcome) {
    if (Outcome)
      Acknowledged[OperationId] = Outcome->Version;
    else if (Outcome.error().Reason.Code != ErrorCode::Timeout)
      ReportedUnpublished.push_back(OperationId);
  }

  PublishOutcome publishNow(StoreClient &Client, PublishRequest Request) {
    const std::string OperationId = Request.OperationId;
    PublishOutcome Outcome =
        runTask(Context, publish(Client, std::move(Request), testDeadline()));
    record(OperationId, Outcome);
    return Outcome;
  }

  PublishOutcome publishNow(ObjectSet Objects, std::uint64_t Base) {
    StoreClient Client(Store.clientOptions());
    return publishNow(Client, request(std::move(Objects), Base));
  }

  PublishedSet read() {
    StoreClient Client(Store.clientOptions());
    auto Read = runTask(Context, readPublished(Client, testDeadline()));
    REQUIRE(Read);
    return std::move(*Read);
  }

  //! Whether every shard that the manifest refers to is in the store.
  bool isComplete() {
    const auto Entry = Store.Entries.find(ManifestKey);
    if (Entry == Store.Entries.end())
      return true;
    const auto ManifestContent = parseManifest(Entry->second.Value, "");
    return ManifestContent &&
           std::all_of(ManifestContent->Shards.begin(),
                       ManifestContent->Shards.end(),
                       [&](const ShardReference &Shard) {
                         return Store.Entries.contains(Shard.Key);
                       });
  }

  void checkInvariants() {
    std::vector<std::string> Sequence;
    for (const std::string &Text : Store.Manifests) {
      const auto ManifestContent = parseManifest(Text, "");
      REQUIRE(ManifestContent);
      Sequence.push_back(ManifestContent->OperationId);
      // Versions increase by one, and the audit entries list every version in
      // order.
      REQUIRE(ManifestContent->Version == ConfigVersion(Sequence.size()));
      REQUIRE(ManifestContent->Audit.size() == Sequence.size());
      for (std::size_t Index = 0; Index < Sequence.size(); ++Index) {
        REQUIRE(ManifestContent->Audit[Index].Version ==
                ConfigVersion(Index + 1));
        REQUIRE(ManifestContent->Audit[Index].OperationId == Sequence[Index]);
      }
    }
    const PublishedSet Current = read();
    for (const auto &[OperationId, Version] : Acknowledged) {
      const AuditEntry *Entry =
          findAuditEntry(Current.ManifestContent, OperationId);
      REQUIRE(Entry);
      REQUIRE(Entry->Version == Version);
    }
    for (const std::string &OperationId : ReportedUnpublished)
      REQUIRE_FALSE(findAuditEntry(Current.ManifestContent, OperationId));
    if (!Sequence.empty())
      REQUIRE(Current.Objects == Requested.at(Sequence.back()));
  }
};

//! Applies a fault to Count calls, starting with call number First (from 0).
struct FaultRange {
  Fault Kind;
  std::size_t First;
  std::size_t Count = 1;
  std::size_t CallCount = 0;

  Fault next() {
    const std::size_t Index = CallCount++;
    return Index >= First && Index - First < Count ? Kind : Fault::None;
  }
};

//! Number of calls that publishing version 2 makes without faults.
std::size_t callsOfPublish() {
  Fixture Test;
  REQUIRE(Test.publishNow(sampleSet(ManyServers), 0));
  Test.Store.Calls.clear();
  REQUIRE(Test.publishNow(withSlots(sampleSet(ManyServers), 7, 9), 1));
  return Test.Store.Calls.size();
}

} // namespace

TEST_CASE("A publish with one fault at any call creates exactly one version",
          "[faults]") {
  // Guards against a publisher that reports a failure or publishes twice
  // because one call or its answer was lost.
  const std::size_t Calls = callsOfPublish();
  REQUIRE(Calls >= 4);
  for (const Fault Kind : {Fault::DropRequest, Fault::DropResponse,
                           Fault::RateLimit, Fault::StaleRead})
    for (std::size_t Call = 0; Call < Calls; ++Call) {
      INFO("fault " << static_cast<int>(Kind) << " at call " << Call);
      Fixture Test;
      REQUIRE(Test.publishNow(sampleSet(ManyServers), 0));
      FaultRange Range{.Kind = Kind, .First = Call};
      Test.Store.ChooseFault = [&](const HttpRequest &) {
        return Range.next();
      };
      const auto Outcome =
          Test.publishNow(withSlots(sampleSet(ManyServers), 7, 9), 1);
      REQUIRE(Outcome);
      CHECK(Outcome->Version == ConfigVersion(2));
      Test.checkInvariants();
    }
}

TEST_CASE(
    "A publish succeeds despite an outage that begins at any of its calls",
    "[faults]") {
  // Guards against a publisher that fails or publishes twice when eight calls
  // in a row are lost, of which the first may have taken effect.
  const std::size_t Calls = callsOfPublish();
  for (const bool FirstTakesEffect : {false, true})
    for (std::size_t Call = 0; Call < Calls; ++Call) {
      INFO("outage from call "
           << Call << ", the first one takes effect: " << FirstTakesEffect);
      Fixture Test;
      REQUIRE(Test.publishNow(sampleSet(ManyServers), 0));
      FaultRange Outage{.Kind = Fault::DropRequest, .First = Call, .Count = 8};
      Test.Store.ChooseFault = [&](const HttpRequest &) {
        const bool First = Outage.CallCount == Call;
        const Fault Kind = Outage.next();
        return First && FirstTakesEffect ? Fault::DropResponse : Kind;
      };
      REQUIRE(Test.publishNow(withSlots(sampleSet(ManyServers), 7, 9), 1));
      Test.checkInvariants();
      CHECK(Test.Store.Manifests.size() == 2);
    }
}

TEST_CASE("A publish that fails in an outage can be repeated with its "
          "operation id",
          "[faults]") {
  // Guards against reporting that nothing was published although the
  // compare-and-swap may have taken effect, and against a second version when
  // the publish is repeated.
  const std::size_t Calls = callsOfPublish();
  for (const bool FirstTakesEffect : {false, true})
    for (std::size_t Call = 0; Call < Calls; ++Call) {
      INFO("outage from call "
           << Call << ", the first one takes effect: " << FirstTakesEffect);
      Fixture Test;
      REQUIRE(Test.publishNow(sampleSet(ManyServers), 0));
      FaultRange Outage{
          .Kind = Fault::DropRequest, .First = Call, .Count = 1000};
      bool SwapReached = false;
      Test.Store.ChooseFault = [&](const HttpRequest &Request) {
        const bool First = Outage.CallCount == Call;
        const Fault Kind = Outage.next();
        SwapReached = SwapReached || isManifestCall(Request, "PUT");
        return First && FirstTakesEffect ? Fault::DropResponse : Kind;
      };
      StoreClientOptions Options = Test.Store.clientOptions();
      Options.Retries.Max = 3;
      StoreClient Client(Options);
      const auto Request =
          Test.request(withSlots(sampleSet(ManyServers), 7, 9), 1);
      const auto Outcome = Test.publishNow(Client, Request);
      REQUIRE_FALSE(Outcome);
      // The outcome is unknown if and only if the compare-and-swap was sent.
      CHECK((Outcome.error().Reason.Code == ErrorCode::Timeout) == SwapReached);
      Test.Store.ChooseFault = nullptr;
      Test.checkInvariants();
      StoreClient Recovered(Test.Store.clientOptions());
      std::erase(Test.ReportedUnpublished, Request.OperationId);
      REQUIRE(Test.publishNow(Recovered, Request));
      Test.checkInvariants();
      CHECK(Test.Store.Manifests.size() == 2);
    }
}

namespace {

//! Changes the server given by Server, which only this operator changes, and
//! server 0, which both operators change.
PublishRequest makeChange(Fixture &Test, const PublishedSet &Current,
                          unsigned Server, std::uint32_t Slots) {
  ObjectSet Objects = withSlots(Current.Objects, Server, Slots);
  Objects = withSlots(std::move(Objects), 0, Slots + Server);
  return Test.request(std::move(Objects),
                      Current.ManifestContent.Version.value());
}

//! Makes one attempt to publish. Returns whether it was acknowledged.
Task<bool> changeSlots(Fixture &Test, StoreClient &Client, unsigned Server,
                       std::uint32_t Slots) {
  const auto Current = co_await readPublished(Client, testDeadline());
  // A stale answer can be the empty store before the first version.
  if (!Current || Current->Objects == ObjectSet())
    co_return false;
  const PublishRequest Request = makeChange(Test, *Current, Server, Slots);
  const auto Outcome = co_await publish(Client, Request, testDeadline());
  Test.record(Request.OperationId, Outcome);
  co_return Outcome.has_value();
}

//! Makes four changes in sequence and retries each until it is published.
Task<> makeChanges(std::function<Task<bool>(std::uint32_t)> Change,
                   std::function<void()> Done) {
  std::uint32_t Slots = 10;
  while (Slots < 14)
    if (co_await Change(Slots))
      ++Slots;
  Done();
}

Fault randomFault(RandomEngine &Engine) {
  const std::uint64_t Percent = randomBelow(Engine, 100);
  if (Percent < 8)
    return Fault::DropRequest;
  if (Percent < 16)
    return Fault::DropResponse;
  if (Percent < 20)
    return Fault::RateLimit;
  return Percent < 28 ? Fault::StaleRead : Fault::None;
}

} // namespace

TEST_CASE("No acknowledged publish of two concurrent operators is lost",
          "[faults]") {
  // Guards against a publish that overwrites a concurrent one. Calls are lost,
  // refused or answered with stale values at random.
  std::size_t Conflicts = 0;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    INFO("seed " << Seed);
    Fixture Test;
    REQUIRE(Test.publishNow(sampleSet(3), 0));
    RandomEngine Engine(Seed);
    bool Complete = true;
    Test.Store.ChooseFault = [&](const HttpRequest &) {
      Complete = Complete && Test.isComplete();
      return randomFault(Engine);
    };
    StoreClient First(Test.Store.clientOptions(Seed));
    StoreClient Second(Test.Store.clientOptions(Seed + 1000));
    unsigned Running = 2;
    const auto Done = [&] {
      if (--Running == 0)
        Test.Context.stop();
    };
    const auto Start = [&](StoreClient &Client, unsigned Server) {
      const auto Change = [&Test, &Client, Server](std::uint32_t Slots) {
        return changeSlots(Test, Client, Server, Slots);
      };
      spawn(Test.Context.get_executor(), "operator", makeChanges(Change, Done));
    };
    Start(First, 1);
    Start(Second, 2);
    Test.Context.restart();
    // The time limit (60 s) lets a hanging test fail.
    Test.Context.run_for(std::chrono::seconds(60));
    REQUIRE(Running == 0);
    CHECK(Complete);
    Test.Store.ChooseFault = nullptr;
    Test.checkInvariants();
    CHECK(Test.Acknowledged.size() == 9);
    Conflicts += Test.ReportedUnpublished.size();
    // The last change of each operator is in the published set.
    const ObjectSet Objects = Test.read().Objects;
    for (const unsigned Server : {1U, 2U})
      CHECK(Objects.BackendServers.at(ObjectName(serverName(Server))).Slots ==
            13);
  }
  // The test is meaningful only if publishes conflicted.
  CHECK(Conflicts > 60);
}

TEST_CASE("A stale manifest never hides a newer version", "[faults]") {
  // Guards against a conflict that names an older version, and against a
  // publish that is derived from a stale version.
  for (std::size_t Read = 0; Read < 4; ++Read) {
    INFO("stale manifest at reads 0 to " << Read);
    Fixture Test;
    REQUIRE(Test.publishNow(sampleSet(3), 0));
    REQUIRE(Test.publishNow(sampleSet(4), 1));
    std::size_t Reads = 0;
    Test.Store.ChooseFault = [&](const HttpRequest &Request) {
      return isManifestCall(Request, "GET") && Reads++ <= Read
                 ? Fault::StaleRead
                 : Fault::None;
    };
    // The base is version 1, which stale answers still return.
    auto Outcome = Test.publishNow(withSlots(sampleSet(3), 1, 9), 1);
    REQUIRE_FALSE(Outcome);
    REQUIRE(Outcome.error().Conflict);
    CHECK(Outcome.error().Conflict->Current == ConfigVersion(2));
    CHECK(Outcome.error().Conflict->Winner.OperationId == "op-2");
    // The base is version 2, which stale answers do not return yet.
    Reads = 0;
    REQUIRE(Test.publishNow(sampleSet(5), 2));
    Test.Store.ChooseFault = nullptr;
    Test.checkInvariants();
  }
}

TEST_CASE(
    "A publisher that is killed at any call leaves a complete version, and "
    "its shards can be removed",
    "[faults]") {
  // Guards against a manifest that refers to shards that were never written,
  // and against shards that are never removed.
  const std::size_t Calls = callsOfPublish();
  const ObjectSet Changed = withSlots(sampleSet(ManyServers), 7, 9);
  for (const bool CallTakesEffect : {false, true})
    for (std::size_t Call = 0; Call < Calls; ++Call) {
      INFO("killed at call " << Call
                             << ", which takes effect: " << CallTakesEffect);
      Fixture Test;
      REQUIRE(Test.publishNow(sampleSet(ManyServers), 0));
      FaultRange Unreachable{
          .Kind = Fault::DropRequest, .First = Call, .Count = 1000};
      Test.Store.ChooseFault = [&](const HttpRequest &) {
        const bool First = Unreachable.CallCount == Call;
        const Fault Kind = Unreachable.next();
        return First && CallTakesEffect ? Fault::DropResponse : Kind;
      };
      StoreClientOptions Options = Test.Store.clientOptions();
      Options.Retries.Max = 0;
      StoreClient Client(Options);
      REQUIRE_FALSE(Test.publishNow(Client, Test.request(Changed, 1)));
      Test.Store.ChooseFault = nullptr;
      Test.checkInvariants();
      const PublishedSet Remaining = Test.read();
      CHECK((Remaining.Objects == sampleSet(ManyServers) ||
             Remaining.Objects == Changed));
      REQUIRE(Test.publishNow(sampleSet(3),
                              Remaining.ManifestContent.Version.value()));
      StoreClient Cleaner(Test.Store.clientOptions());
      const PublishedSet Current = Test.read();
      REQUIRE(
          runTask(Test.Context, removeOrphans(Cleaner, Current.ManifestContent,
                                              testDeadline())));
      CHECK(Test.Store.shardCount() == Current.ManifestContent.Shards.size());
      Test.checkInvariants();
    }
}

namespace {

//! Runs the cleaner before one call of a publisher.
struct CleanerRun {
  StoreClient &Client;
  Manifest ManifestContent; //!< Possibly older than the current one.
  std::size_t Call;         //!< Number of the publisher's call, from 0.
  std::size_t CallCount = 0;
  bool Cleaning = false;
};

Task<> cleanAtCall(CleanerRun &Cleanup) {
  if (Cleanup.Cleaning || Cleanup.CallCount++ != Cleanup.Call)
    co_return;
  Cleanup.Cleaning = true;
  const auto Removed = co_await removeOrphans(
      Cleanup.Client, Cleanup.ManifestContent, testDeadline());
  Cleanup.Cleaning = false;
  if (!Removed)
    throw std::runtime_error(describe(Removed.error()));
}

} // namespace

TEST_CASE("A cleaner with an old manifest removes no shard of a newer version",
          "[faults]") {
  // Guards against removing a shard that a publish in progress reuses or has
  // just written.
  const std::size_t Calls = callsOfPublish() + 1;
  const ObjectSet First = sampleSet(ManyServers);
  const ObjectSet Second = withSlots(First, 7, 9);
  const ObjectSet Third = withSlots(Second, 8, 9);
  for (const std::uint64_t CleanerVersion : {1U, 2U})
    for (std::size_t Call = 0; Call < Calls; ++Call) {
      INFO("cleaner with version " << CleanerVersion << " at call " << Call);
      Fixture Test;
      REQUIRE(Test.publishNow(First, 0));
      Manifest Old = Test.read().ManifestContent;
      REQUIRE(Test.publishNow(Second, 1));
      if (CleanerVersion == 2)
        Old = Test.read().ManifestContent;
      StoreClient Cleaner(Test.Store.clientOptions(2));
      CleanerRun Cleanup{
          .Client = Cleaner, .ManifestContent = Old, .Call = Call};
      Test.Store.BeforeCall = [&](const HttpRequest &) {
        return cleanAtCall(Cleanup);
      };
      REQUIRE(Test.publishNow(Third, 2));
      Test.Store.BeforeCall = nullptr;
      CHECK(Test.isComplete());
      Test.checkInvariants();
    }
}

namespace {

//! Publishes versions 2 and 3 while the publisher under test is at a call.
Task<> publishTwice(Fixture &Test, StoreClient &Client) {
  for (const unsigned Version : {1U, 2U}) {
    const PublishRequest Request =
        Test.request(sampleSet(3 + Version), Version);
    const auto Outcome = co_await publish(Client, Request, testDeadline());
    Test.record(Request.OperationId, Outcome);
  }
}

Task<> doNothing() { co_return; }

} // namespace

TEST_CASE(
    "A conflict names the newest version although a stale manifest is read",
    "[faults]") {
  // Guards against a publisher that, after a refused compare-and-swap, takes a
  // stale manifest for the current one.
  Fixture Test;
  REQUIRE(Test.publishNow(sampleSet(3), 0));
  StoreClient Winner(Test.Store.clientOptions(2));
  bool OthersPublished = false;
  unsigned StaleReads = 0;
  Test.Store.BeforeCall = [&](const HttpRequest &Request) {
    if (OthersPublished || !isManifestCall(Request, "PUT"))
      return doNothing();
    OthersPublished = true;
    return publishTwice(Test, Winner);
  };
  Test.Store.ChooseFault = [&](const HttpRequest &Request) {
    // The first read after version 3 still returns version 2.
    return Test.Store.Manifests.size() == 3 && isManifestCall(Request, "GET") &&
                   StaleReads++ == 0
               ? Fault::StaleRead
               : Fault::None;
  };
  const auto Outcome = Test.publishNow(withSlots(sampleSet(3), 1, 9), 1);
  Test.Store.BeforeCall = nullptr;
  Test.Store.ChooseFault = nullptr;
  REQUIRE_FALSE(Outcome);
  REQUIRE(Outcome.error().Conflict);
  CHECK(StaleReads > 0);
  CHECK(Outcome.error().Conflict->Current == ConfigVersion(3));
  Test.checkInvariants();
}

TEST_CASE("A publish conflicts if the shards that it reuses were removed",
          "[faults]") {
  // Guards against a manifest that refers to removed shards: another operator
  // publishes first and then removes the shards of the common base.
  Fixture Test;
  const ObjectSet First = sampleSet(ManyServers);
  REQUIRE(Test.publishNow(First, 0));
  StoreClient Winner(Test.Store.clientOptions(2));
  bool OthersPublished = false;
  const auto PublishAndClean = [](Fixture &State,
                                  StoreClient &Client) -> Task<> {
    const PublishRequest Request = State.request(sampleSet(3), 1);
    const auto Outcome = co_await publish(Client, Request, testDeadline());
    State.record(Request.OperationId, Outcome);
    const auto Current = co_await readManifest(Client, testDeadline());
    if (!Outcome || !Current)
      throw std::runtime_error("the other operator could not publish");
    co_await removeOrphans(Client, Current->ManifestContent, testDeadline());
  };
  Test.Store.BeforeCall = [&](const HttpRequest &Request) {
    if (OthersPublished || !isManifestCall(Request, "PUT"))
      return doNothing();
    OthersPublished = true;
    return PublishAndClean(Test, Winner);
  };
  const auto Outcome = Test.publishNow(withSlots(First, 7, 9), 1);
  Test.Store.BeforeCall = nullptr;
  REQUIRE_FALSE(Outcome);
  REQUIRE(Outcome.error().Conflict);
  REQUIRE(Outcome.error().Conflict->BothChanged.size() == 1);
  CHECK(Outcome.error().Conflict->BothChanged[0].Name.value() == serverName(7));
  CHECK(Test.read().Objects == sampleSet(3));
  Test.checkInvariants();
}

TEST_CASE("A publish whose first attempt may have taken effect is not reported "
          "as unpublished",
          "[faults]") {
  // Guards against reporting only the refusal of a retry although the outcome
  // of the first attempt is unknown.
  Fixture Test;
  REQUIRE(Test.publishNow(sampleSet(3), 0));
  unsigned Swaps = 0;
  Test.Store.ChooseFault = [&](const HttpRequest &Request) {
    if (!isManifestCall(Request, "PUT"))
      return Fault::None;
    return Swaps++ == 0 ? Fault::DropRequest : Fault::RateLimit;
  };
  StoreClientOptions Options = Test.Store.clientOptions();
  Options.Retries.Max = 3;
  StoreClient Client(Options);
  const auto Outcome = Test.publishNow(Client, Test.request(sampleSet(4), 1));
  CHECK(Swaps > 1);
  REQUIRE_FALSE(Outcome);
  CHECK(Outcome.error().Reason.Code == ErrorCode::Timeout);
}
