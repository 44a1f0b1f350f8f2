#include "FakeStore.h"
#include "SampleObjects.h"

#include "buckthorndeck/config/OrphanCleaner.h"
#include "buckthorndeck/config/Publisher.h"
#include "buckthorndeck/config/Shards.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::config;

namespace {

//! Enough servers for several shards.
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

//! The store, and the invariants that hold whatever happens.
struct Fixture {
  boost::asio::io_context Context;
  FakeStore Store{Context};
  std::map<std::string, ConfigVersion> Acknowledged;
  std::map<std::string, ObjectSet> Requested;
  std::vector<std::string> Denied; //!< Reported as not published.
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
      Denied.push_back(OperationId);
  }

  PublishOutcome publishNow(StoreClient &Client, PublishRequest Request) {
    const std::string OperationId = Request.OperationId;
    PublishOutcome Outcome =
        runTask(Context, publish(Client, std::move(Request), soon()));
    record(OperationId, Outcome);
    return Outcome;
  }

  PublishOutcome publishNow(ObjectSet Objects, std::uint64_t Base) {
    StoreClient Client(Store.clientOptions());
    return publishNow(Client, request(std::move(Objects), Base));
  }

  PublishedSet read() {
    StoreClient Client(Store.clientOptions());
    auto Read = runTask(Context, readPublished(Client, soon()));
    REQUIRE(Read);
    return std::move(*Read);
  }

  //! Whether every shard that the manifest names is in the store.
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
      // The version never decreases, and the history is the sequence of
      // versions.
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
          findOperation(Current.ManifestContent, OperationId);
      REQUIRE(Entry);
      REQUIRE(Entry->Version == Version);
    }
    for (const std::string &OperationId : Denied)
      REQUIRE_FALSE(findOperation(Current.ManifestContent, OperationId));
    if (!Sequence.empty())
      REQUIRE(Current.Objects == Requested.at(Sequence.back()));
  }
};

//! Applies a fault to the calls from First on, Count of them.
struct FaultRange {
  Fault Kind;
  std::size_t First;
  std::size_t Count = 1;
  std::size_t Seen = 0;

  Fault next() {
    const std::size_t Index = Seen++;
    return Index >= First && Index - First < Count ? Kind : Fault::None;
  }
};

//! Number of calls of a publish of version 2 without faults.
std::size_t callsOfPublish() {
  Fixture Test;
  REQUIRE(Test.publishNow(sampleSet(ManyServers), 0));
  Test.Store.Calls.clear();
  REQUIRE(Test.publishNow(withSlots(sampleSet(ManyServers), 7, 9), 1));
  return Test.Store.Calls.size();
}

} // namespace

TEST_CASE("One fault at any call of a publish neither loses nor doubles it",
          "[faults]") {
  const std::size_t Calls = callsOfPublish();
  REQUIRE(Calls >= 4);
  for (const Fault Kind :
       {Fault::Drop, Fault::LoseAnswer, Fault::Overload, Fault::Stale})
    for (std::size_t Call = 0; Call < Calls; ++Call) {
      INFO("fault " << static_cast<int>(Kind) << " at call " << Call);
      Fixture Test;
      REQUIRE(Test.publishNow(sampleSet(ManyServers), 0));
      FaultRange Range{.Kind = Kind, .First = Call};
      Test.Store.Decide = [&](const HttpRequest &) { return Range.next(); };
      const auto Outcome =
          Test.publishNow(withSlots(sampleSet(ManyServers), 7, 9), 1);
      REQUIRE(Outcome);
      CHECK(Outcome->Version == ConfigVersion(2));
      Test.checkInvariants();
    }
}

TEST_CASE("A publish survives an outage before, during or after it",
          "[faults]") {
  const std::size_t Calls = callsOfPublish();
  for (const bool FirstTakesEffect : {false, true})
    for (std::size_t Call = 0; Call < Calls; ++Call) {
      INFO("outage from call "
           << Call << ", the first one takes effect: " << FirstTakesEffect);
      Fixture Test;
      REQUIRE(Test.publishNow(sampleSet(ManyServers), 0));
      FaultRange Outage{.Kind = Fault::Drop, .First = Call, .Count = 8};
      Test.Store.Decide = [&](const HttpRequest &) {
        const bool First = Outage.Seen == Call;
        const Fault Kind = Outage.next();
        return First && FirstTakesEffect ? Fault::LoseAnswer : Kind;
      };
      REQUIRE(Test.publishNow(withSlots(sampleSet(ManyServers), 7, 9), 1));
      Test.checkInvariants();
      CHECK(Test.Store.Manifests.size() == 2);
    }
}

TEST_CASE("A publish that ends in an outage is settled by its operation id",
          "[faults]") {
  const std::size_t Calls = callsOfPublish();
  for (const bool LastTakesEffect : {false, true})
    for (std::size_t Call = 0; Call < Calls; ++Call) {
      INFO("outage from call "
           << Call << ", the first one takes effect: " << LastTakesEffect);
      Fixture Test;
      REQUIRE(Test.publishNow(sampleSet(ManyServers), 0));
      FaultRange Outage{.Kind = Fault::Drop, .First = Call, .Count = 1000};
      bool SwapReached = false;
      Test.Store.Decide = [&](const HttpRequest &Request) {
        const bool First = Outage.Seen == Call;
        const Fault Kind = Outage.next();
        SwapReached = SwapReached || isManifestCall(Request, "PUT");
        return First && LastTakesEffect ? Fault::LoseAnswer : Kind;
      };
      StoreClientOptions Options = Test.Store.clientOptions();
      Options.Retries.Max = 3;
      StoreClient Client(Options);
      const auto Request =
          Test.request(withSlots(sampleSet(ManyServers), 7, 9), 1);
      const auto Outcome = Test.publishNow(Client, Request);
      REQUIRE_FALSE(Outcome);
      // Not known once the compare-and-swap was sent, and only then.
      CHECK((Outcome.error().Reason.Code == ErrorCode::Timeout) == SwapReached);
      Test.Store.Decide = nullptr;
      Test.checkInvariants();
      StoreClient Recovered(Test.Store.clientOptions());
      std::erase(Test.Denied, Request.OperationId);
      REQUIRE(Test.publishNow(Recovered, Request));
      Test.checkInvariants();
      CHECK(Test.Store.Manifests.size() == 2);
    }
}

namespace {

//! Changes a server of its own and one that both operators change.
PublishRequest makeChange(Fixture &Test, const PublishedSet &Current,
                          unsigned Server, std::uint32_t Slots) {
  ObjectSet Objects = withSlots(Current.Objects, Server, Slots);
  Objects = withSlots(std::move(Objects), 0, Slots + Server);
  return Test.request(std::move(Objects),
                      Current.ManifestContent.Version.value());
}

//! One attempt; returns whether the publish was acknowledged.
Task<bool> changeSlots(Fixture &Test, StoreClient &Client, unsigned Server,
                       std::uint32_t Slots) {
  const auto Current = co_await readPublished(Client, soon());
  // A stale answer may be from before the first version.
  if (!Current || Current->Objects == ObjectSet())
    co_return false;
  const PublishRequest Request = makeChange(Test, *Current, Server, Slots);
  const auto Outcome = co_await publish(Client, Request, soon());
  Test.record(Request.OperationId, Outcome);
  co_return Outcome.has_value();
}

//! Makes changes one after the other, repeating those that conflict.
Task<> operate(std::function<Task<bool>(std::uint32_t)> Change,
               std::function<void()> Done) {
  std::uint32_t Slots = 10;
  while (Slots < 14)
    if (co_await Change(Slots))
      ++Slots;
  Done();
}

Fault randomFault(RandomEngine &Engine) {
  const std::uint64_t Draw = randomBelow(Engine, 100);
  if (Draw < 8)
    return Fault::Drop;
  if (Draw < 16)
    return Fault::LoseAnswer;
  if (Draw < 20)
    return Fault::Overload;
  return Draw < 28 ? Fault::Stale : Fault::None;
}

} // namespace

TEST_CASE("Two operators at once lose no acknowledged publish", "[faults]") {
  std::size_t Conflicts = 0;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    INFO("seed " << Seed);
    Fixture Test;
    REQUIRE(Test.publishNow(sampleSet(3), 0));
    RandomEngine Engine(Seed);
    bool Complete = true;
    Test.Store.Decide = [&](const HttpRequest &) {
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
      spawn(Test.Context.get_executor(), "operator", operate(Change, Done));
    };
    Start(First, 1);
    Start(Second, 2);
    Test.Context.restart();
    // The bound turns a hang into a failure.
    Test.Context.run_for(std::chrono::seconds(60));
    REQUIRE(Running == 0);
    CHECK(Complete);
    Test.Store.Decide = nullptr;
    Test.checkInvariants();
    CHECK(Test.Acknowledged.size() == 9);
    Conflicts += Test.Denied.size();
    // The last change of each operator is in force.
    const ObjectSet Objects = Test.read().Objects;
    for (const unsigned Server : {1U, 2U})
      CHECK(Objects.BackendServers.at(ObjectName(serverName(Server))).Slots ==
            13);
  }
  // Without conflicts the test would show nothing.
  CHECK(Conflicts > 60);
}

TEST_CASE("A stale manifest never hides a newer version", "[faults]") {
  // Guards against a conflict that names an older winner, and against a
  // publish that is built on the stale version.
  for (std::size_t Read = 0; Read < 4; ++Read) {
    INFO("stale manifest at reads 0 to " << Read);
    Fixture Test;
    REQUIRE(Test.publishNow(sampleSet(3), 0));
    REQUIRE(Test.publishNow(sampleSet(4), 1));
    std::size_t Reads = 0;
    Test.Store.Decide = [&](const HttpRequest &Request) {
      return isManifestCall(Request, "GET") && Reads++ <= Read ? Fault::Stale
                                                               : Fault::None;
    };
    // Made from version 1, which the stale answers still show.
    auto Outcome = Test.publishNow(withSlots(sampleSet(3), 1, 9), 1);
    REQUIRE_FALSE(Outcome);
    REQUIRE(Outcome.error().Conflict);
    CHECK(Outcome.error().Conflict->Current == ConfigVersion(2));
    CHECK(Outcome.error().Conflict->Winner.OperationId == "op-2");
    // Made from version 2, which the stale answers do not show yet.
    Reads = 0;
    REQUIRE(Test.publishNow(sampleSet(5), 2));
    Test.Store.Decide = nullptr;
    Test.checkInvariants();
  }
}

TEST_CASE("A publisher killed at any call leaves a complete version and "
          "removable shards",
          "[faults]") {
  const std::size_t Calls = callsOfPublish();
  const ObjectSet Changed = withSlots(sampleSet(ManyServers), 7, 9);
  for (const bool LastTakesEffect : {false, true})
    for (std::size_t Call = 0; Call < Calls; ++Call) {
      INFO("killed at call " << Call
                             << ", which takes effect: " << LastTakesEffect);
      Fixture Test;
      REQUIRE(Test.publishNow(sampleSet(ManyServers), 0));
      FaultRange Dead{.Kind = Fault::Drop, .First = Call, .Count = 1000};
      Test.Store.Decide = [&](const HttpRequest &) {
        const bool First = Dead.Seen == Call;
        const Fault Kind = Dead.next();
        return First && LastTakesEffect ? Fault::LoseAnswer : Kind;
      };
      StoreClientOptions Options = Test.Store.clientOptions();
      Options.Retries.Max = 0;
      StoreClient Client(Options);
      REQUIRE_FALSE(Test.publishNow(Client, Test.request(Changed, 1)));
      Test.Store.Decide = nullptr;
      Test.checkInvariants();
      const PublishedSet Left = Test.read();
      CHECK(
          (Left.Objects == sampleSet(ManyServers) || Left.Objects == Changed));
      REQUIRE(
          Test.publishNow(sampleSet(3), Left.ManifestContent.Version.value()));
      StoreClient Cleaner(Test.Store.clientOptions());
      const PublishedSet Current = Test.read();
      REQUIRE(runTask(Test.Context,
                      removeOrphans(Cleaner, Current.ManifestContent, soon())));
      CHECK(Test.Store.shardCount() == Current.ManifestContent.Shards.size());
      Test.checkInvariants();
    }
}

namespace {

//! Lets the cleaner run at one call of a publisher.
struct CleanerAt {
  StoreClient &Client;
  Manifest ManifestContent; //!< What the cleaner read, possibly long ago.
  std::size_t Call;
  std::size_t Seen = 0;
  bool Cleaning = false;
};

Task<> cleanAt(CleanerAt &Plan) {
  if (Plan.Cleaning || Plan.Seen++ != Plan.Call)
    co_return;
  Plan.Cleaning = true;
  const auto Removed =
      co_await removeOrphans(Plan.Client, Plan.ManifestContent, soon());
  Plan.Cleaning = false;
  if (!Removed)
    throw std::runtime_error(describe(Removed.error()));
}

} // namespace

TEST_CASE("A late cleaner removes nothing that a newer publish needs",
          "[faults]") {
  const std::size_t Calls = callsOfPublish() + 1;
  const ObjectSet First = sampleSet(ManyServers);
  const ObjectSet Second = withSlots(First, 7, 9);
  const ObjectSet Third = withSlots(Second, 8, 9);
  for (const std::uint64_t Known : {1U, 2U})
    for (std::size_t Call = 0; Call < Calls; ++Call) {
      INFO("cleaner with version " << Known << " at call " << Call);
      Fixture Test;
      REQUIRE(Test.publishNow(First, 0));
      Manifest Old = Test.read().ManifestContent;
      REQUIRE(Test.publishNow(Second, 1));
      if (Known == 2)
        Old = Test.read().ManifestContent;
      StoreClient Cleaner(Test.Store.clientOptions(2));
      CleanerAt Plan{.Client = Cleaner, .ManifestContent = Old, .Call = Call};
      Test.Store.Interrupt = [&](const HttpRequest &) { return cleanAt(Plan); };
      REQUIRE(Test.publishNow(Third, 2));
      Test.Store.Interrupt = nullptr;
      CHECK(Test.isComplete());
      Test.checkInvariants();
    }
}

namespace {

//! Publishes versions 2 and 3 in place of the publisher that is interrupted.
Task<> overtakeTwice(Fixture &Test, StoreClient &Client) {
  for (const unsigned Version : {1U, 2U}) {
    const PublishRequest Request =
        Test.request(sampleSet(3 + Version), Version);
    const auto Outcome = co_await publish(Client, Request, soon());
    Test.record(Request.OperationId, Outcome);
  }
}

Task<> doNothing() { co_return; }

} // namespace

TEST_CASE("A conflict names the latest winner although the manifest is stale",
          "[faults]") {
  // Guards against a publisher that takes the first manifest that it reads
  // after a refused compare-and-swap for the current one.
  Fixture Test;
  REQUIRE(Test.publishNow(sampleSet(3), 0));
  StoreClient Winner(Test.Store.clientOptions(2));
  bool Overtaken = false;
  unsigned Stale = 0;
  Test.Store.Interrupt = [&](const HttpRequest &Request) {
    if (Overtaken || !isManifestCall(Request, "PUT"))
      return doNothing();
    Overtaken = true;
    return overtakeTwice(Test, Winner);
  };
  Test.Store.Decide = [&](const HttpRequest &Request) {
    // The first read after version 3 still shows version 2.
    return Test.Store.Manifests.size() == 3 && isManifestCall(Request, "GET") &&
                   Stale++ == 0
               ? Fault::Stale
               : Fault::None;
  };
  const auto Outcome = Test.publishNow(withSlots(sampleSet(3), 1, 9), 1);
  Test.Store.Interrupt = nullptr;
  Test.Store.Decide = nullptr;
  REQUIRE_FALSE(Outcome);
  REQUIRE(Outcome.error().Conflict);
  CHECK(Stale > 0);
  CHECK(Outcome.error().Conflict->Current == ConfigVersion(3));
  Test.checkInvariants();
}

TEST_CASE("A publisher whose reused shards were cleaned by a winner conflicts",
          "[faults]") {
  // Guards against a manifest that refers to shards which are already gone.
  Fixture Test;
  const ObjectSet First = sampleSet(ManyServers);
  REQUIRE(Test.publishNow(First, 0));
  StoreClient Winner(Test.Store.clientOptions(2));
  bool Overtaken = false;
  const auto Overtake = [](Fixture &Run, StoreClient &Client) -> Task<> {
    const PublishRequest Request = Run.request(sampleSet(3), 1);
    const auto Outcome = co_await publish(Client, Request, soon());
    Run.record(Request.OperationId, Outcome);
    const auto Current = co_await readManifest(Client, soon());
    if (!Outcome || !Current)
      throw std::runtime_error("the other operator could not publish");
    co_await removeOrphans(Client, Current->ManifestContent, soon());
  };
  Test.Store.Interrupt = [&](const HttpRequest &Request) {
    if (Overtaken || !isManifestCall(Request, "PUT"))
      return doNothing();
    Overtaken = true;
    return Overtake(Test, Winner);
  };
  const auto Outcome = Test.publishNow(withSlots(First, 7, 9), 1);
  Test.Store.Interrupt = nullptr;
  REQUIRE_FALSE(Outcome);
  REQUIRE(Outcome.error().Conflict);
  REQUIRE(Outcome.error().Conflict->BothChanged.size() == 1);
  CHECK(Outcome.error().Conflict->BothChanged[0].Name.value() == serverName(7));
  CHECK(Test.read().Objects == sampleSet(3));
  Test.checkInvariants();
}

TEST_CASE("A publish whose first attempt may still land is not called "
          "unpublished",
          "[faults]") {
  // Guards against a later refusal that hides the unknown first attempt.
  Fixture Test;
  REQUIRE(Test.publishNow(sampleSet(3), 0));
  unsigned Swaps = 0;
  Test.Store.Decide = [&](const HttpRequest &Request) {
    if (!isManifestCall(Request, "PUT"))
      return Fault::None;
    return Swaps++ == 0 ? Fault::Drop : Fault::Overload;
  };
  StoreClientOptions Options = Test.Store.clientOptions();
  Options.Retries.Max = 3;
  StoreClient Client(Options);
  const auto Outcome = Test.publishNow(Client, Test.request(sampleSet(4), 1));
  CHECK(Swaps > 1);
  REQUIRE_FALSE(Outcome);
  CHECK(Outcome.error().Reason.Code == ErrorCode::Timeout);
}
