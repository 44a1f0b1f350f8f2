#include "buckthorndeck/forwarding/ChangeRelay.h"

#include "RunTask.h"
#include "Samples.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

//! A host that has verified revision 20 a moment ago, and knows the history
//! since revision 10.
class RelayFixture {
public:
  //! Starts a request; Answer is set once it is answered.
  void ask(StoreRevision After) {
    spawn(Context.get_executor(), "ask",
          [](RelayFixture &Fixture, StoreRevision After) -> Task<> {
            const ChangeQuery Query{.After = After, .Config = ConfigVersion(1)};
            Fixture.Answer = co_await Fixture.Relay.answer(Query);
          }(*this, After));
    Context.poll();
  }

  void verify(StoreRevision AsOf) {
    View.AsOf = at(AsOf.value());
    View.VerifiedAt = BootClock::now();
    Relay.recordAttempt();
    Context.poll();
  }

  boost::asio::io_context Context;
  ForwarderFixture Site;
  RegistryView View{
      .AsOf = at(20), .HistoryStart = at(10), .VerifiedAt = BootClock::now()};
  ChangeRelay Relay{Context.get_executor(), View, Site.Host,
                    std::chrono::hours(1)};
  std::optional<HttpResponse> Answer;
};

} // namespace

TEST_CASE("A peer that is up to date is answered when the store has confirmed "
          "that there is no change",
          "[change_relay]") {
  RelayFixture Fixture;
  Fixture.ask(StoreRevision(20));
  CHECK_FALSE(Fixture.Answer);
  Fixture.verify(StoreRevision(20));
  REQUIRE(Fixture.Answer);
  CHECK(Fixture.Answer->Status == 200);
}

TEST_CASE("A peer that lacks a change is answered at once", "[change_relay]") {
  RelayFixture Fixture;
  Fixture.Site.Host.removeServer(makeServer(1).Name, at(19), Start);
  Fixture.ask(StoreRevision(18));
  REQUIRE(Fixture.Answer);
  const auto Received = decodeChanges(toBytes(Fixture.Answer->Body), "relay");
  REQUIRE(Received);
  REQUIRE(Received->Changes.Servers.size() == 1);
  CHECK(Received->Changes.Servers[0].Name == makeServer(1).Name);
}

TEST_CASE("A relay that loses the store refuses its peers at once",
          "[change_relay]") {
  // They would otherwise wait until their timeout, and get changes late.
  RelayFixture Fixture;
  Fixture.ask(StoreRevision(20));
  Fixture.Relay.recordAttempt();
  Fixture.Context.poll();
  REQUIRE(Fixture.Answer);
  CHECK(Fixture.Answer->Status == 503);
}

TEST_CASE("A relay that was suspended does not pass on an old view as fresh",
          "[change_relay]") {
  // The steady clock does not count the time of the suspension.
  RelayFixture Fixture;
  Fixture.View.VerifiedAt = BootClock::now() - std::chrono::hours(2);
  Fixture.ask(StoreRevision(18));
  CHECK_FALSE(Fixture.Answer);
  Fixture.verify(StoreRevision(25));
  REQUIRE(Fixture.Answer);
  CHECK(Fixture.Answer->Status == 200);
}

TEST_CASE("A host that knows the registry from a snapshot alone passes nothing "
          "on",
          "[change_relay]") {
  // Its machine may have started a second ago, so that the start of the clock
  // is no old time.
  RelayFixture Fixture;
  Fixture.View.VerifiedAt = RegistryView().VerifiedAt;
  CHECK(ageOf(Fixture.View) >= std::chrono::hours(24));
  Fixture.ask(StoreRevision(18));
  CHECK_FALSE(Fixture.Answer);
}

TEST_CASE("A relay refuses a peer whose view is newer than its own",
          "[change_relay]") {
  RelayFixture Fixture;
  Fixture.ask(StoreRevision(30));
  Fixture.verify(StoreRevision(29));
  REQUIRE(Fixture.Answer);
  CHECK(Fixture.Answer->Status == 503);
}

TEST_CASE("A relay refuses peers that lack changes from before its history",
          "[change_relay]") {
  // A server that was removed before would stay in use at the peer.
  RelayFixture Fixture;
  SECTION("The relay read the whole registry after that") {
    Fixture.ask(StoreRevision(9));
  }
  SECTION("The relay has erased a server since") {
    Fixture.Site.Host.removeServer(makeServer(1).Name, at(15), Start);
    Fixture.Site.advance(std::chrono::minutes(5));
    Fixture.ask(StoreRevision(14));
  }
  REQUIRE(Fixture.Answer);
  CHECK(Fixture.Answer->Status == 410);
}

TEST_CASE("A host that stops refuses the peers that wait for it",
          "[change_relay]") {
  RelayFixture Fixture;
  Fixture.ask(StoreRevision(20));
  Fixture.Relay.stop();
  Fixture.Context.poll();
  REQUIRE(Fixture.Answer);
  CHECK(Fixture.Answer->Status == 503);
}
