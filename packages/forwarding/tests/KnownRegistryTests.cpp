#include "buckthorndeck/forwarding/KnownRegistry.h"

#include "Samples.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

constexpr Milliseconds RemovalLimit{2900};

//! A host that knows server 0 from an answer that arrived LastAnswerAge ago.
class KnownRegistryFixture {
public:
  KnownRegistryFixture() {
    RegistryChanges Added{.Servers = {{.Name = makeServer(0).Name,
                                       .Position = at(3),
                                       .Record = makeServer(0)}},
                          .AsOf = at(3),
                          .Events = 1};
    Known.applyChanges(Added, AnswerTimes{.VerifiedAt = Now - LastAnswerAge,
                                          .CurrentAt = Now - LastAnswerAge});
  }

  //! Applies the removal of the server and returns for how long it may then get
  //! new flows.
  Clock::duration removeServer(std::optional<AnswerTimes> Times) {
    RegistryChanges Removal{
        .Servers = {{.Name = makeServer(0).Name, .Position = at(4)}},
        .AsOf = at(4),
        .Events = 1};
    const TimePoint Before = Clock::now();
    Known.applyChanges(Removal, Times);
    const Server &Removed = *Host.servers().find(tokenOf(makeServer(0)));
    REQUIRE_FALSE(Removed.Registered);
    return Removed.FallbackUntil == TimePoint::max()
               ? Clock::duration::max()
               : Removed.FallbackUntil - Before;
  }

  static constexpr Milliseconds LastAnswerAge{1500};
  const BootClock::time_point Now = BootClock::now();
  Forwarder Host{{.Domain = FailureDomainName("north")}};
  KnownRegistry Known{Host, Milliseconds(4500), RemovalLimit};
};

} // namespace

TEST_CASE(
    "A server that was removed since the last answer gets no flows longer "
    "than the removal allows",
    "[known_registry]") {
  // Guards against review case 7: hosts counted from when they learned of the
  // removal, after a pause.
  KnownRegistryFixture Site;
  const Clock::duration Limit = RemovalLimit - Site.LastAnswerAge;
  SECTION("It was removed before the watch began") {
    CHECK(Site.removeServer(AnswerTimes{.VerifiedAt = Site.Now,
                                        .CurrentAt = Site.Now}) <= Limit);
  }
  SECTION("The answer is truncated") {
    CHECK(Site.removeServer(std::nullopt) <= Limit);
  }
  SECTION("A complete read does not find it") {
    Site.Known.completeRead({}, at(4), Site.Now);
    const Server &Removed = *Site.Host.servers().find(tokenOf(makeServer(0)));
    REQUIRE_FALSE(Removed.Registered);
    CHECK(Removed.FallbackUntil <= Clock::now() + Limit);
  }
}

TEST_CASE("A removal that a watch waited for was made just before its answer",
          "[known_registry]") {
  // The server may be about to register again after an outage of the store.
  KnownRegistryFixture Site;
  CHECK(Site.removeServer(
            AnswerTimes{.VerifiedAt = Site.Now - Milliseconds(600),
                        .CurrentAt = BootClock::now()}) > Milliseconds(2000));
}

TEST_CASE("A removal that is read after the store failed is not limited",
          "[known_registry]") {
  KnownRegistryFixture Site;
  Site.Known.recordStoreFailure();
  CHECK(Site.removeServer(
            AnswerTimes{.VerifiedAt = Site.Now, .CurrentAt = Site.Now}) ==
        Clock::duration::max());
}
