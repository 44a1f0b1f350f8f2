#include "FakeStore.h"
#include "SampleObjects.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/PublishedReader.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::config;

namespace {

//! Stores a published version with a single shard.
void storeVersion(FakeStore &Store, const ObjectSet &Objects,
                  std::uint64_t Version) {
  const std::string Text = toJson(Objects).dump();
  const ConfigVersion Number(Version);
  Manifest Content{.Version = Number,
                   .OperationId = "op",
                   .ObjectsDigest = digestOf(Objects),
                   .Shards = {{.Key = shardKey(Number, "op", 0),
                               .TextDigest = buckthorndeck::digestOf(
                                   std::string_view(Text))}}};
  Store.Entries[Content.Shards[0].Key] = {.Value = Text, .Revision = 1};
  Store.Entries[ManifestKey] = {.Value = toJson(Content).dump(),
                                .Revision = 10 + Version};
}

struct Fixture {
  boost::asio::io_context Context;
  FakeStore Store{Context};
  StoreClient Client{Store.clientOptions()};

  Expected<PublishedSet> read(ShardCache *Cache = nullptr) {
    return runTask(Context, readPublished(Client, testDeadline(), 0, Cache));
  }
};

} // namespace

TEST_CASE("A reader of an empty store gets version 0", "[reader]") {
  Fixture Test;
  const auto Read = Test.read();
  REQUIRE(Read);
  CHECK(Read->ManifestContent.Version.value() == 0);
}

TEST_CASE("A reader gets the published set after failed calls", "[reader]") {
  for (const Fault Kind : {Fault::None, Fault::DropRequest, Fault::DropResponse,
                           Fault::RateLimit}) {
    Fixture Test;
    storeVersion(Test.Store, sampleSet(), 3);
    unsigned FaultsLeft = 3;
    Test.Store.ChooseFault = [&](const HttpRequest &) {
      return FaultsLeft > 0 && FaultsLeft-- > 0 ? Kind : Fault::None;
    };
    const auto Read = Test.read();
    REQUIRE(Read);
    CHECK(Read->ManifestContent.Version.value() == 3);
    CHECK(Read->Objects == sampleSet());
  }
}

TEST_CASE("A shard whose text does not have its digest is refused",
          "[reader]") {
  // Guards against a reader that accepts a corrupt shard or one of another
  // version.
  Fixture Test;
  storeVersion(Test.Store, sampleSet(), 3);
  Test.Store.Entries[shardKey(ConfigVersion(3), "op", 0)].Value =
      toJson(sampleSet(3)).dump();
  const auto Read = Test.read();
  REQUIRE_FALSE(Read);
  CHECK(Read.error().Code == ErrorCode::Invalid);
}

TEST_CASE("A reader whose shard was removed starts again with the newer "
          "manifest",
          "[reader]") {
  Fixture Test;
  storeVersion(Test.Store, sampleSet(), 3);
  Test.Store.Entries.erase(shardKey(ConfigVersion(3), "op", 0));
  Test.Store.ChooseFault = [&](const HttpRequest &Request) {
    if (Request.Target.find("config/shard/3") != std::string::npos)
      storeVersion(Test.Store, sampleSet(4), 4);
    return Fault::None;
  };
  const auto Read = Test.read();
  REQUIRE(Read);
  CHECK(Read->ManifestContent.Version.value() == 4);
  CHECK(Read->Objects == sampleSet(4));
}

TEST_CASE("A reader with a cache fetches a shard only once", "[reader]") {
  Fixture Test;
  storeVersion(Test.Store, sampleSet(), 3);
  ShardCache Cache;
  REQUIRE(Test.read(&Cache));
  const std::size_t Calls = Test.Store.Calls.size();
  REQUIRE(Test.read(&Cache));
  CHECK(Test.Store.Calls.size() == Calls + 1);
}

TEST_CASE("A watch returns the newer value, or no value after its wait",
          "[store]") {
  Fixture Test;
  storeVersion(Test.Store, sampleSet(), 3);
  auto Watched = runTask(
      Test.Context, Test.Client.watch(ManifestKey, 12, Milliseconds(10'000)));
  REQUIRE(Watched);
  REQUIRE(*Watched);
  CHECK((*Watched)->Revision == 13);
  Watched = runTask(Test.Context,
                    Test.Client.watch(ManifestKey, 13, Milliseconds(1)));
  REQUIRE(Watched);
  CHECK_FALSE(*Watched);
}

TEST_CASE("A write whose answer is lost fails with timeout and is not retried",
          "[store]") {
  // Guards against a retried compare-and-swap that is refused because its own
  // first attempt took effect, and is then reported as a conflict.
  Fixture Test;
  Test.Store.ChooseFault = [](const HttpRequest &) {
    return Fault::DropResponse;
  };
  const auto Written = runTask(
      Test.Context, Test.Client.compareAndSwap("a", "1", 0, testDeadline()));
  REQUIRE_FALSE(Written);
  CHECK(Written.error().Code == ErrorCode::Timeout);
  CHECK(Test.Store.Calls.size() == 1);
}

TEST_CASE("A write that the store's rate limit refused is retried", "[store]") {
  Fixture Test;
  Test.Store.ChooseFault = [&](const HttpRequest &) {
    return Test.Store.Calls.size() < 3 ? Fault::RateLimit : Fault::None;
  };
  const auto Written = runTask(
      Test.Context, Test.Client.compareAndSwap("a", "1", 0, testDeadline()));
  REQUIRE(Written);
  CHECK(Written->Written);
  CHECK(Test.Store.Entries["a"].Value == "1");
}

TEST_CASE("The circuit breaker opens after consecutive failures and admits one "
          "call at a time",
          "[policy]") {
  CircuitBreaker Breaker(
      {.FailureThreshold = 3, .OpenDuration = Milliseconds(1000)});
  const TimePoint Start{std::chrono::seconds(100)};
  for (unsigned Count = 0; Count < 3; ++Count) {
    CHECK(admitCall(Breaker, Start));
    recordFailure(Breaker, Start);
  }
  CHECK_FALSE(admitCall(Breaker, Start + Milliseconds(999)));
  CHECK(admitCall(Breaker, Start + Milliseconds(1000)));
  CHECK_FALSE(admitCall(Breaker, Start + Milliseconds(1000)));
  recordSuccess(Breaker);
  CHECK(admitCall(Breaker, Start + Milliseconds(1000)));
}

TEST_CASE(
    "The retry budget is used up by retries and refilled by time and calls",
    "[policy]") {
  RetryBudget Budget({.PerCall = 0.5, .PerSecond = 1, .Max = 2});
  const TimePoint Start{std::chrono::seconds(100)};
  CHECK(takeRetry(Budget, Start));
  CHECK(takeRetry(Budget, Start));
  CHECK_FALSE(takeRetry(Budget, Start));
  CHECK(takeRetry(Budget, Start + std::chrono::seconds(1)));
  recordCall(Budget);
  recordCall(Budget);
  CHECK(takeRetry(Budget, Start + std::chrono::seconds(1)));
}

TEST_CASE("Backoff delays double up to the maximum, and half of each is random",
          "[policy]") {
  RandomEngine Engine(1);
  const BackoffOptions Options{.First = Milliseconds(100),
                               .Max = Milliseconds(1000)};
  for (unsigned Attempt = 0; Attempt < 40; ++Attempt) {
    const Milliseconds Full =
        Attempt < 4 ? Milliseconds(100 << Attempt) : Milliseconds(1000);
    const Milliseconds Delay = backoffDelay(Options, Attempt, Engine);
    CHECK(Delay >= Full / 2);
    CHECK(Delay <= Full);
  }
}
