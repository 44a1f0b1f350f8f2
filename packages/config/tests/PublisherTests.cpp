#include "FakeStore.h"
#include "SampleObjects.h"

#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/OrphanCleaner.h"
#include "buckthorndeck/config/Publisher.h"
#include "buckthorndeck/config/Shards.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::config;

namespace {

struct Fixture {
  boost::asio::io_context Context;
  FakeStore Store{Context};
  StoreClient Client{Store.clientOptions()};
  unsigned Operations = 0;

  PublishRequest request(const ObjectSet &Objects, std::uint64_t Base) {
    return {.OperationId = "op-" + std::to_string(++Operations),
            .Author = "operator",
            .TimeMs = 1'796'361'739'000,
            .Base = ConfigVersion(Base),
            .Objects = Objects};
  }

  PublishOutcome publish(PublishRequest Request) {
    return runTask(Context,
                   config::publish(Client, std::move(Request), testDeadline()));
  }

  PublishOutcome publish(const ObjectSet &Objects, std::uint64_t Base) {
    return publish(request(Objects, Base));
  }

  PublishedSet read() {
    auto Read = runTask(Context, readPublished(Client, testDeadline()));
    REQUIRE(Read);
    return std::move(*Read);
  }
};

ObjectSet withDrain(ObjectSet Objects, const std::string &Server) {
  Objects.BackendServers.at(ObjectName("exchange/" + Server)).Draining = true;
  return Objects;
}

} // namespace

TEST_CASE("A published set is read back with its audit entry", "[publisher]") {
  Fixture Test;
  REQUIRE(Test.publish(sampleSet(), 0));
  const auto Second = Test.publish(withDrain(sampleSet(), "tf-1"), 1);
  REQUIRE(Second);
  CHECK(Second->Version == ConfigVersion(2));
  const PublishedSet Read = Test.read();
  CHECK(Read.Objects == withDrain(sampleSet(), "tf-1"));
  REQUIRE(Read.ManifestContent.Audit.size() == 2);
  const AuditEntry &Entry = Read.ManifestContent.Audit[1];
  CHECK(Entry.Author == "operator");
  CHECK(Entry.Base == ConfigVersion(1));
  CHECK(Entry.OperationId == "op-2");
  REQUIRE(Entry.Changes.size() == 1);
  CHECK(describe(Entry.Changes[0].Object) == "backend_server exchange/tf-1");
}

TEST_CASE("Publishing a set equal to the current one creates no version",
          "[publisher]") {
  Fixture Test;
  REQUIRE(Test.publish(sampleSet(), 0));
  const auto Again = Test.publish(sampleSet(), 1);
  REQUIRE(Again);
  CHECK_FALSE(Again->Changed);
  CHECK(Test.Store.Manifests.size() == 1);
}

TEST_CASE("An invalid set is not published", "[publisher]") {
  Fixture Test;
  ObjectSet Objects = sampleSet();
  Objects.Rules.clear();
  const auto Outcome = Test.publish(Objects, 0);
  REQUIRE_FALSE(Outcome);
  CHECK(Outcome.error().Reason.Code == ErrorCode::Invalid);
  CHECK(Test.Store.Calls.empty());
}

TEST_CASE("A conflict names the version published first and the objects that "
          "both changed",
          "[publisher]") {
  // Guards against an operator with old files who reverts what another operator
  // has published since.
  Fixture Test;
  REQUIRE(Test.publish(sampleSet(3), 0));
  REQUIRE(Test.publish(withDrain(sampleSet(3), "tf-1"), 1));
  ObjectSet Mine = withDrain(sampleSet(3), "tf-2");
  Mine.BackendServers.at(ObjectName("exchange/tf-1")).Slots = 5;
  const auto Outcome = Test.publish(Mine, 1);
  REQUIRE_FALSE(Outcome);
  REQUIRE(Outcome.error().Conflict);
  CHECK(Outcome.error().Reason.Code == ErrorCode::Conflict);
  CHECK(Outcome.error().Reason.Message ==
        "version 2 was published first by operator at 2026-12-04T05:22:19Z "
        "(operation op-2); changed by both publishes: backend_server "
        "exchange/tf-1");
}

TEST_CASE(
    "Publishing an operation id again returns the version that it created",
    "[publisher]") {
  Fixture Test;
  const PublishRequest Request = Test.request(sampleSet(), 0);
  REQUIRE(Test.publish(Request));
  REQUIRE(Test.publish(sampleSet(3), 1));
  const auto Again = Test.publish(Request);
  REQUIRE(Again);
  CHECK(Again->Version == ConfigVersion(1));
}

TEST_CASE("A base version that was never published is refused", "[publisher]") {
  Fixture Test;
  const auto Outcome =
      runTask(Test.Context, publish(Test.Client, Test.request(sampleSet(), 7),
                                    Clock::now() + Milliseconds(50)));
  REQUIRE_FALSE(Outcome);
  CHECK(Outcome.error().Reason.Code == ErrorCode::Invalid);
}

TEST_CASE("A manifest keeps the audit entries of the last 200 versions and "
          "stays below the store's limit",
          "[publisher]") {
  Fixture Test;
  constexpr std::uint64_t Versions = 203;
  for (std::uint64_t Version = 0; Version < Versions; ++Version)
    REQUIRE(Test.publish(sampleSet(2 + Version % 2 * 30), Version));
  const Manifest Content = Test.read().ManifestContent;
  REQUIRE(Content.Audit.size() == MaxAuditEntries);
  CHECK(Content.Audit.front().Version == ConfigVersion(4));
  CHECK(Content.Audit.back().Version == ConfigVersion(Versions));
  CHECK(Content.Audit.back().ChangeCount == 30);
  CHECK(Content.Audit.back().Changes.size() == MaxListedChanges);
  CHECK(Test.Store.Entries.at(ManifestKey).Value.size() < 1024 * 1024);
}

TEST_CASE("A small change to a large set writes one shard", "[publisher]") {
  Fixture Test;
  const ObjectSet Objects = sampleSet(3000);
  REQUIRE(Test.publish(Objects, 0));
  const Manifest First = Test.read().ManifestContent;
  CHECK(First.Shards.size() > 1);
  for (const ShardReference &Shard : First.Shards)
    CHECK(Test.Store.Entries.at(Shard.Key).Value.size() <= MaxShardBytes);
  const std::size_t Before = Test.Store.shardCount();
  REQUIRE(Test.publish(withDrain(Objects, "tf-7"), 1));
  CHECK(Test.Store.shardCount() == Before + 1);
  CHECK(Test.read().Objects == withDrain(Objects, "tf-7"));
}

TEST_CASE(
    "The cleaner removes exactly the shards that no manifest can refer to",
    "[cleaner]") {
  Fixture Test;
  REQUIRE(Test.publish(sampleSet(), 0));
  REQUIRE(Test.publish(sampleSet(3), 1));
  Test.Store.Entries[shardKey(ConfigVersion(2), "lost", 0)] = {"x", 1000};
  Test.Store.Entries[shardKey(ConfigVersion(3), "running", 0)] = {"x", 1001};
  const auto Removed = runTask(
      Test.Context,
      removeOrphans(Test.Client, Test.read().ManifestContent, testDeadline()));
  REQUIRE(Removed);
  CHECK(*Removed == 2);
  CHECK(Test.Store.Entries.contains(shardKey(ConfigVersion(3), "running", 0)));
  CHECK(Test.read().Objects == sampleSet(3));
}

TEST_CASE("The cleaner keeps the shards of a store that came back from a copy",
          "[cleaner]") {
  // Guards against a configuration that can't be read any more: shards of the
  // copy were removed because a version that the store lost did not refer to
  // them.
  Fixture Test;
  REQUIRE(Test.publish(sampleSet(), 0));
  const auto Copy = Test.Store.Entries;
  REQUIRE(Test.publish(sampleSet(3), 1));
  REQUIRE(Test.publish(sampleSet(4), 2));
  const Manifest Lost = Test.read().ManifestContent;
  Test.Store.Entries = Copy;
  SECTION("at the version of the copy") {}
  SECTION("at the lost version, published again") {
    REQUIRE(Test.publish(sampleSet(5), 1));
    REQUIRE(Test.publish(sampleSet(6), 2));
  }
  SECTION("past the lost version") {
    for (unsigned Version = 1; Version <= 4; ++Version)
      REQUIRE(Test.publish(sampleSet(4 + Version), Version));
  }
  const ObjectSet Published = Test.read().Objects;
  const auto Removed =
      runTask(Test.Context, removeOrphans(Test.Client, Lost, testDeadline()));
  REQUIRE(Removed);
  CHECK(*Removed == 0);
  CHECK(Test.read().Objects == Published);
}

TEST_CASE("A publish goes past a version that the store has lost",
          "[publisher]") {
  // Guards against a version number that is given out twice: entry hosts keep
  // what they had under it.
  Fixture Test;
  REQUIRE(Test.publish(sampleSet(), 0));
  const auto Copy = Test.Store.Entries;
  REQUIRE(Test.publish(sampleSet(3), 1));
  REQUIRE(Test.publish(sampleSet(4), 2));
  Test.Store.Entries = Copy;
  PublishRequest Request = Test.request(sampleSet(), 1);
  Request.LostVersion = ConfigVersion(3);
  const auto Outcome = Test.publish(Request);
  REQUIRE(Outcome);
  CHECK(Outcome->Version == ConfigVersion(4));
  CHECK(Outcome->Changed);
  CHECK(Test.read().Objects == sampleSet());
  const auto Next = Test.publish(sampleSet(5), 4);
  REQUIRE(Next);
  CHECK(Next->Version == ConfigVersion(5));
  const auto Late = Test.publish(sampleSet(6), 1);
  REQUIRE_FALSE(Late);
  CHECK(Late.error().Conflict->Current == ConfigVersion(5));
}
