#include "buckthorndeck/forwarding/RegistryReader.h"

#include "RunTask.h"
#include "Samples.h"
#include "buckthorndeck/net/HttpServer.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

constexpr unsigned ServerCount = 4;

//! A store whose watches wait for the next change, however long that takes.
class ChangingStore {
public:
  explicit ChangingStore(const Executor &Where) : Changed(Where) {}

  //! The calls of one host; each watch is added to Watches. While Refused is
  //! set, its watches fail.
  RegistrySource source(unsigned &Watches, const bool &Refused) {
    RegistrySource Calls;
    Calls.ReadPage = [this](std::string) { return readPage(); };
    Calls.Watch = [this, &Watches, &Refused](StoreRevision After,
                                             Milliseconds) {
      ++Watches;
      return watch(After, Refused);
    };
    return Calls;
  }

  //! Publishes the next version of the configuration.
  ConfigVersion publish() {
    Version = ConfigVersion(Version.value() + 1);
    Revision = StoreRevision(Revision.value() + 1);
    Changed.notifyAll();
    return Version;
  }

private:
  Task<Expected<RegistryPage>> readPage() {
    RegistryPage Page;
    Page.Changes = changes();
    for (unsigned Number = 0; Number < ServerCount; ++Number)
      Page.Changes.Servers.push_back({.Name = makeServer(Number).Name,
                                      .Position = at(1),
                                      .Record = makeServer(Number)});
    co_return Page;
  }

  Task<Expected<RegistryChanges>> watch(StoreRevision After,
                                        const bool &Refused) {
    if (Refused)
      co_return Unexpected(
          Error{.Code = ErrorCode::Unavailable, .Message = "as scripted"});
    while (Revision <= After)
      co_await Changed.wait();
    co_return changes();
  }

  RegistryChanges changes() const {
    RegistryChanges Result;
    Result.Routes = makeRoutes(Version.value());
    Result.AsOf = at(Revision.value());
    Result.Events = 1;
    return Result;
  }

  ConfigVersion Version{1};
  StoreRevision Revision{5};
  Notifier Changed;
};

//! An entry host as far as it reads the registry and serves its peers.
class RelayingHost {
public:
  RelayingHost(const Executor &Where, unsigned Number, ChangingStore &Store,
               Milliseconds FreshnessLimit)
      : Server(*HttpServer::bind(Where, loopbackTcp())),
        Self({.Name = EntryHostName("host-" + std::to_string(Number)),
              .Domain = FailureDomainName("north"),
              .Snapshot = Server.localEndpoint(),
              .ProcessorPermille = 500 - Number}),
        Peers(Self, {}),
        Reader(Where,
               {.ChangePause = Milliseconds(1),
                .FreshnessLimit = FreshnessLimit,
                .RelayWait = Milliseconds(1),
                .RelayPause = Milliseconds(1),
                .Backoff = {.First = Milliseconds(1), .Max = Milliseconds(1)},
                .RandomSeed = Number},
               Store.source(Watches, StoreRefuses), Host, Peers) {}

  void start(const Executor &Where) {
    spawn(Where, "reader", Reader.run());
    spawn(Where, "peers", Server.serve([this](HttpRequest Request) {
      return answer(std::move(Request));
    }));
  }

  unsigned Watches = 0;
  bool StoreRefuses = false;
  bool Unresponsive = false; //!< Peers get no answer.
  //! If set, the age that this host states instead of its view's.
  std::optional<Milliseconds> StatedAge;
  HttpServer Server;
  Peer Self;
  PeerDirectory Peers;
  Forwarder Host{{.Domain = FailureDomainName("north")}};
  RegistryReader Reader;

private:
  Task<std::optional<HttpResponse>> answer(HttpRequest Request) {
    const auto Query = parseChangesTarget(Request.Target);
    REQUIRE(Query);
    while (Unresponsive)
      co_await sleepFor(Milliseconds(1));
    if (StatedAge) {
      HttpResponse Answer;
      Answer.Body = std::string(
          toText(encodeChanges(Host.servers(), Host.routes(), *Query, at(1000),
                               *StatedAge, Clock::now())));
      co_return Answer;
    }
    co_return co_await Reader.answerChanges(*Query);
  }
};

//! A failure domain whose hosts know each other; host 0 is the relay.
class RelayFleet {
public:
  explicit RelayFleet(unsigned Count,
                      Milliseconds FreshnessLimit = std::chrono::hours(1)) {
    for (unsigned Number = 0; Number < Count; ++Number)
      Hosts.push_back(std::make_unique<RelayingHost>(
          Context.get_executor(), Number, Store, FreshnessLimit));
    for (const auto &Receiver : Hosts)
      for (const auto &Sender : Hosts)
        Receiver->Peers.update({.Sender = Sender->Self}, Clock::now());
  }

  void start() {
    for (const auto &Host : Hosts)
      Host->start(Context.get_executor());
    runTask(Context, [](RelayFleet &Fleet) -> Task<> {
      for (const auto &Host : Fleet.Hosts)
        co_await Host->Reader.waitLoaded();
    }(*this));
  }

  //! Returns once every host has Version in force.
  void waitInForce(ConfigVersion Version) {
    runTask(Context, [](RelayFleet &Fleet, ConfigVersion Version) -> Task<> {
      for (const auto &Host : Fleet.Hosts)
        while (Host->Host.routes().version() < Version)
          co_await sleepFor(Milliseconds(1));
    }(*this, Version));
  }

  unsigned watchesOfFollowers() const {
    unsigned Result = 0;
    for (std::size_t Number = 1; Number < Hosts.size(); ++Number)
      Result += Hosts[Number]->Watches;
    return Result;
  }

  boost::asio::io_context Context;
  ChangingStore Store{Context.get_executor()};
  std::vector<std::unique_ptr<RelayingHost>> Hosts;
};

} // namespace

TEST_CASE("Changes reach forty hosts of a failure domain through one watch of "
          "the store",
          "[registry_relay]") {
  // Load pattern: a storm of configurations on a large fleet. With one watch a
  // host, store calls grew with hosts times changes.
  RelayFleet Fleet(39);
  Fleet.start();
  constexpr unsigned Changes = 10;
  for (unsigned Count = 0; Count < Changes; ++Count)
    Fleet.waitInForce(Fleet.Store.publish());
  CHECK(Fleet.watchesOfFollowers() == 0);
  CHECK(Fleet.Hosts[0]->Watches <= Changes + 1);
}

TEST_CASE("In a small failure domain every host watches the store",
          "[registry_relay]") {
  RelayFleet Fleet(4);
  Fleet.start();
  Fleet.waitInForce(Fleet.Store.publish());
  for (const auto &Host : Fleet.Hosts)
    CHECK(Host->Watches > 0);
}

TEST_CASE("A host whose relay is silent gets changes from the store",
          "[registry_relay]") {
  // The relay is frozen, without power or cut off.
  RelayFleet Fleet(8, Milliseconds(400));
  for (const auto &Host : Fleet.Hosts)
    Host->Unresponsive = true;
  Fleet.start();
  Fleet.waitInForce(Fleet.Store.publish());
  for (const auto &Host : Fleet.Hosts)
    CHECK(Host->Watches > 0);
}

TEST_CASE("A host whose relay is killed gets changes from the store",
          "[registry_relay]") {
  RelayFleet Fleet(8);
  for (const auto &Host : Fleet.Hosts)
    Host->Server.close();
  Fleet.start();
  Fleet.waitInForce(Fleet.Store.publish());
  for (const auto &Host : Fleet.Hosts)
    CHECK(Host->Watches > 0);
}

TEST_CASE("A host does not rely on a relay whose view is old",
          "[registry_relay]") {
  // The relay was suspended, or cannot reach the store. Its answer arrives in
  // time and is complete, but for changes made since.
  RelayFleet Fleet(8);
  for (const auto &Host : Fleet.Hosts)
    Host->StatedAge = std::chrono::hours(2);
  Fleet.start();
  Fleet.waitInForce(Fleet.Store.publish());
  for (const auto &Host : Fleet.Hosts)
    CHECK(Host->Watches > 0);
}

TEST_CASE("A host that the store turns away gets changes from a relay",
          "[registry_relay]") {
  // Otherwise it sends flows to servers that have left, until the store serves
  // it again.
  RelayFleet Fleet(8);
  for (std::size_t Number = 1; Number < Fleet.Hosts.size(); ++Number)
    Fleet.Hosts[Number]->StoreRefuses = true;
  Fleet.start();
  Fleet.waitInForce(Fleet.Store.publish());
  CHECK(Fleet.Hosts[0]->Watches > 0);
}

TEST_CASE("If the store turns the relay away, its peers get changes elsewhere",
          "[registry_relay]") {
  RelayFleet Fleet(8);
  Fleet.Hosts[0]->StoreRefuses = true;
  Fleet.start();
  const ConfigVersion Published = Fleet.Store.publish();
  runTask(Fleet.Context, [](RelayFleet &Site, ConfigVersion Version) -> Task<> {
    for (std::size_t Number = 1; Number < Site.Hosts.size(); ++Number)
      while (Site.Hosts[Number]->Host.routes().version() < Version)
        co_await sleepFor(Milliseconds(1));
  }(Fleet, Published));
  CHECK(Fleet.watchesOfFollowers() > 0);
}

TEST_CASE("While the store is down, hosts with a relay ask it less often than "
          "the relay",
          "[registry_relay]") {
  // Load pattern: an outage of the store under a large fleet. Its first calls
  // after the outage otherwise compete with those of every host.
  RelayFleet Fleet(8);
  Fleet.start();
  for (const auto &Host : Fleet.Hosts)
    Host->StoreRefuses = true;
  Fleet.Store.publish();
  const unsigned Before = Fleet.watchesOfFollowers();
  constexpr unsigned RelayCalls = 100;
  runTask(Fleet.Context, [](RelayFleet &Site) -> Task<> {
    while (Site.Hosts[0]->Watches < RelayCalls)
      co_await sleepFor(Milliseconds(1));
  }(Fleet));
  const auto Followers = static_cast<unsigned>(Fleet.Hosts.size() - 1);
  CHECK(Fleet.watchesOfFollowers() - Before < Followers * RelayCalls / 4);
  for (const auto &Host : Fleet.Hosts)
    Host->StoreRefuses = false;
  Fleet.waitInForce(Fleet.Store.publish());
}
