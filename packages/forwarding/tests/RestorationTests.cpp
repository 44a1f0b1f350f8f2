#include "RestorableStore.h"
#include "RunTask.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/forwarding/RegistryReader.h"

#include <catch2/catch.hpp>
#include <set>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

// As on the users' platform, but a hundred times shorter: servers write again
// within 2 s of the store's return, and the entry of a server that is gone
// lapses after 3.6 s.
constexpr Milliseconds RewriteTime{20};
constexpr Milliseconds LapseTime{36};
constexpr Milliseconds ConfirmationTime{60};
constexpr unsigned HostCount = 5;
constexpr unsigned Steps = 60;
//! For a test that would never end.
constexpr std::chrono::seconds LongestSettling{20};
//! Age of a copy, in changes of the store's content.
constexpr std::size_t MaxLostChanges = 12;

/**
 * Several hosts and the writers of a store that comes back from copies, also
 * again before the writers have written everything again.
 */
class Restorations {
public:
  explicit Restorations(std::uint64_t Seed) : Random(Seed) {
    publish();
    for (unsigned Number = 0; Number < 4; ++Number)
      startServer();
    for (unsigned Number = 0; Number < HostCount; ++Number)
      startHost();
  }

  ~Restorations() {
    for (const auto &Each : Hosts)
      Each->Reader.stop();
    Context.poll();
  }

  void run() {
    runTask(Context, [](Restorations &Self) -> Task<> {
      for (unsigned Step = 0; Step < Steps; ++Step) {
        Self.takeStep();
        co_await sleepFor(Self.between(0, 6));
        Self.checkHosts();
      }
    }(*this));
    for (const auto &Each : Hosts)
      Each->Link.TurnedAway = false;
    settle();
  }

  //! What went wrong; empty if nothing did.
  std::vector<std::string> Violations;
  unsigned Restored = 0;

private:
  struct Host {
    Host(Restorations &Site, unsigned Number)
        : Reader(
              Site.Context.get_executor(),
              {.WatchWait = Milliseconds(30),
               .ChangePause = Milliseconds(5),
               .ConfirmationTime = ConfirmationTime,
               .Backoff = {.First = Milliseconds(1), .Max = Milliseconds(10)},
               .RandomSeed = Number},
              Site.Store.source(Link), Logic, Peers) {}

    RestorableStore::Link Link;
    Forwarder Logic{{.Domain = FailureDomainName("north")}};
    PeerDirectory Peers{
        {.Name = EntryHostName("self"), .Domain = FailureDomainName("north")},
        {}};
    RegistryReader Reader;
    ConfigVersion Highest;
    std::set<std::uint32_t> SeenDraining; //!< Tokens.
    std::set<std::uint32_t> Known;        //!< Tokens.
  };
  struct Process {
    ServerRecord Record;
    bool Running = true;
  };

  Milliseconds between(unsigned Least, unsigned Most) {
    return Milliseconds(Least + randomBelow(Random, Most - Least + 1));
  }
  Process &anyServer() { return Servers[randomBelow(Random, Servers.size())]; }

  void after(Milliseconds Delay, std::function<void()> Work) {
    spawn(Context.get_executor(), "writer",
          [](Milliseconds Delay, std::function<void()> Work) -> Task<> {
            co_await sleepFor(Delay);
            Work();
          }(Delay, std::move(Work)));
  }

  void changed() {
    Copies.push_back(Store.content());
    if (Copies.size() > MaxLostChanges)
      Copies.pop_front();
  }
  void publish() {
    Store.publish(makeRoutes(++Version));
    changed();
  }
  void write(const Process &Server) {
    Store.announce(Server.Record);
    changed();
  }
  void startServer() {
    Servers.push_back(
        {.Record = makeServer(static_cast<unsigned>(Servers.size()))});
    write(Servers.back());
  }
  void startHost() {
    Hosts.push_back(std::make_unique<Host>(*this, NextHost++));
    spawn(Context.get_executor(), "reader", Hosts.back()->Reader.run());
  }

  void takeStep() {
    switch (randomBelow(Random, 9)) {
    case 0:
    case 1:
      return publish();
    case 2:
      return startServer();
    case 3: {
      Process &Leaving = anyServer();
      if (!Leaving.Running || Leaving.Record.Draining)
        return;
      Leaving.Record.Draining = true;
      return write(Leaving);
    }
    case 4: {
      Process &Leaving = anyServer();
      if (!Leaving.Running || !Leaving.Record.Draining)
        return;
      Leaving.Running = false;
      Store.withdraw(Leaving.Record.Name);
      return changed();
    }
    case 5: {
      RestorableStore::Link &Link =
          Hosts[randomBelow(Random, Hosts.size())]->Link;
      Link.TurnedAway = !Link.TurnedAway;
      return;
    }
    case 6:
      return Store.writeOtherKeys(
          static_cast<unsigned>(randomBelow(Random, 20)));
    default:
      return restore();
    }
  }

  //! The store comes back from a copy; its writers write again.
  void restore() {
    ++Restored;
    Store.restore(Copies[randomBelow(Random, Copies.size())]);
    const std::uint64_t Era = Store.era();
    after(between(0, RewriteTime.count()), [this, Era] {
      if (Store.era() == Era)
        writeAgain();
    });
    // If the store comes back again meanwhile, this is done after that.
    after(LapseTime, [this, Era] {
      if (Store.era() == Era)
        lapse();
    });
  }
  //! Servers keep an entry that says what they say.
  void writeAgain() {
    const auto Content = Store.content();
    if (!Content.Routes || Content.Routes->Version < ConfigVersion(Version)) {
      Store.publish(makeRoutes(Version));
      changed();
    }
    for (const Process &Each : Servers) {
      const auto Found = Content.Entries.find(Each.Record.Name);
      if (Each.Running &&
          (Found == Content.Entries.end() ||
           Found->second.Record.Draining != Each.Record.Draining))
        write(Each);
    }
  }
  void lapse() {
    const auto Content = Store.content();
    for (const Process &Each : Servers)
      if (!Each.Running && Content.Entries.contains(Each.Record.Name)) {
        Store.withdraw(Each.Record.Name);
        changed();
      }
  }

  void violate(const std::string &What) {
    Violations.push_back("era " + std::to_string(Store.era()) + ": " + What);
  }

  void checkHosts() {
    for (const auto &Each : Hosts)
      check(*Each);
  }
  void check(Host &Where) {
    const ConfigVersion InForce = Where.Logic.routes().version();
    if (InForce < Where.Highest)
      violate("version " + std::to_string(InForce.value()) + " after " +
              std::to_string(Where.Highest.value()));
    Where.Highest = InForce;
    for (const Process &Each : Servers) {
      const std::uint32_t Token = tokenOf(Each.Record).value();
      const Server *Found = Where.Logic.servers().find(tokenOf(Each.Record));
      if (!Found)
        continue;
      if (Found->Record.Draining)
        Where.SeenDraining.insert(Token);
      else if (Where.SeenDraining.contains(Token))
        violate(Each.Record.Name + " is no longer draining");
      if (Found->Registered)
        Where.Known.insert(Token);
      else if (Each.Running && Where.Known.contains(Token))
        violate(Each.Record.Name + " runs and is taken as gone");
    }
  }

  bool hasStoreContent(Host &Where) {
    const auto &Content = Store.content();
    if (Where.Logic.routes().version() != ConfigVersion(Version))
      return false;
    for (const Process &Each : Servers) {
      const Server *Found = Where.Logic.servers().find(tokenOf(Each.Record));
      const bool Usable = Found && Found->Registered;
      if (Usable != Content.Entries.contains(Each.Record.Name) ||
          Usable != Each.Running ||
          (Usable && Found->Record.Draining != Each.Record.Draining))
        return false;
    }
    return true;
  }

  //! All hosts have what the store has, soon after it is stable.
  void settle() {
    runTask(Context, [](Restorations &Self) -> Task<> {
      const TimePoint Latest = Clock::now() + LongestSettling;
      for (const auto &Each : Self.Hosts) {
        while (!Self.hasStoreContent(*Each) && Clock::now() < Latest) {
          co_await sleepFor(Milliseconds(2));
          Self.checkHosts();
        }
        if (!Self.hasStoreContent(*Each))
          Self.violate("a host does not get what the store has");
      }
    }(*this));
  }

  boost::asio::io_context Context;
  RandomEngine Random;
  RestorableStore Store{Context.get_executor()};
  std::deque<RestorableStore::Content> Copies;
  std::vector<Process> Servers;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::uint64_t Version = 0;
  unsigned NextHost = 1;
};

} // namespace

TEST_CASE("After restorations of the store, all hosts have what it has and "
          "none has gone back",
          "[restored_store]") {
  // Guards against incident 31 (CONFIG, DRAIN) under restorations that follow
  // each other, hosts that the store turns away, and servers that come and go.
  constexpr std::uint64_t Seeds = 30;
  unsigned Restored = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Restorations Site(Seed);
    Site.run();
    INFO("seed " << Seed);
    Restored += Site.Restored;
    for (const std::string &Violation : Site.Violations)
      FAIL_CHECK(Violation);
  }
  CHECK(Restored > Seeds * 5);
}
