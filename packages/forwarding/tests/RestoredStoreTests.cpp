#include "RestorableStore.h"
#include "RunTask.h"
#include "buckthorndeck/forwarding/RegistryReader.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

//! One host and the store that it reads, with two servers and version 1.
class RestoredFixture {
public:
  RestoredFixture() {
    Store.publish(makeRoutes(1));
    Store.announce(makeServer(0));
    Store.announce(makeServer(1));
  }

  //! Starts the host and returns once it watches.
  void start() {
    spawn(Context.get_executor(), "reader", Reader.run());
    waitFor([this] { return Link.Watches > 0; });
  }

  template <typename Condition> void waitFor(Condition Holds) {
    runTask(Context, [](Condition &Holds) -> Task<> {
      while (!Holds())
        co_await sleepFor(Milliseconds(1));
    }(Holds));
  }

  //! Returns once the host has Version in force or has made so many more calls
  //! that it won't get it by the next one either.
  void waitInForce(std::uint64_t Version) {
    constexpr unsigned EnoughCalls = 20;
    const unsigned Before = Link.Reads + Link.Watches;
    waitFor([&] {
      return Host.routes().version() >= ConfigVersion(Version) ||
             Link.Reads + Link.Watches >= Before + EnoughCalls;
    });
  }

  Server *server(unsigned Number) {
    return Host.servers().find(tokenOf(makeServer(Number)));
  }

  boost::asio::io_context Context;
  RestorableStore Store{Context.get_executor()};
  RestorableStore::Link Link;
  Forwarder Host{{.Domain = FailureDomainName("north")}};
  PeerDirectory Peers{
      {.Name = EntryHostName("self"), .Domain = FailureDomainName("north")},
      {}};
  RegistryReader Reader{
      Context.get_executor(),
      {.WatchWait = Milliseconds(20),
       .ChangePause = Milliseconds(1),
       .RelayWait = Milliseconds(20),
       .Backoff = {.First = Milliseconds(1), .Max = Milliseconds(1)}},
      Store.source(Link),
      Host,
      Peers};
};

} // namespace

TEST_CASE("A version that is published after the store came back from a copy "
          "is in force at once",
          "[restored_store]") {
  // Guards against hosts that ignore the store until its revision has passed
  // their own (incident 31, CONFIG).
  RestoredFixture Site;
  Site.start();
  const auto Copy = Site.Store.content();
  for (std::uint64_t Version = 2; Version < 20; ++Version)
    Site.Store.publish(makeRoutes(Version));
  Site.waitInForce(19);
  Site.Store.restore(Copy);
  Site.Store.publish(makeRoutes(20));
  Site.waitInForce(20);
  CHECK(Site.Host.routes().version() == ConfigVersion(20));
}

TEST_CASE("A host whose revision exists again in another history gets what it "
          "missed",
          "[restored_store]") {
  // Guards against hosts that get no 410 because the store turned them away
  // until its revision had passed their own (incident 31, CONFIG).
  RestoredFixture Site;
  Site.start();
  const auto Copy = Site.Store.content();
  for (std::uint64_t Version = 2; Version < 20; ++Version)
    Site.Store.publish(makeRoutes(Version));
  Site.waitInForce(19);
  Site.Link.TurnedAway = true;
  Site.waitFor([&, Before = Site.Link.Watches] {
    return Site.Link.Watches > Before + 1;
  });
  Site.Store.restore(Copy);
  Site.Store.publish(makeRoutes(20));
  Site.Store.writeOtherKeys(100);
  Site.Link.TurnedAway = false;
  Site.waitInForce(20);
  CHECK(Site.Host.routes().version() == ConfigVersion(20));
}

TEST_CASE("The draining of a server is applied although the revision is lower "
          "than before the restoration",
          "[restored_store]") {
  // Guards against hosts that send flows to a server that has announced its
  // end (incident 31, DRAIN).
  RestoredFixture Site;
  Site.start();
  const auto Copy = Site.Store.content();
  for (unsigned Count = 0; Count < 20; ++Count)
    Site.Store.announce(makeServer(1));
  Site.Store.publish(makeRoutes(2));
  Site.waitInForce(2);
  Site.Store.restore(Copy);
  ServerRecord Draining = makeServer(1);
  Draining.Draining = true;
  Site.Store.announce(Draining);
  Site.Store.publish(makeRoutes(3));
  Site.waitInForce(3);
  REQUIRE(Site.server(1));
  CHECK(Site.server(1)->Record.Draining);
}
