#include "buckthorndeck/faults/PacketFaults.h"

#include "buckthorndeck/net/HttpClient.h"

#include <algorithm>
#include <stdexcept>

namespace buckthorndeck::faults {

namespace {

constexpr Milliseconds Short{300};
constexpr Milliseconds Long{3000};
//! Platforms start a process again after a short delay.
constexpr Milliseconds RestartDelay{300};
//! A draining server serves on for this long.
constexpr Milliseconds DrainTime{3000};
//! Longest time after which addresses are given to other servers.
constexpr Milliseconds ReuseDelay{2000};
//! Oldest copy that the store comes back from.
constexpr Milliseconds MaxCopyAge{9000};
//! Longest time until its writers have written again what the copy lacks.
constexpr Milliseconds RewriteTime{2000};
//! An entry that no server renews lapses after this: three heartbeats.
constexpr Milliseconds EntryLifetime{3600};
constexpr Milliseconds PollInterval{20};
//! All hosts restarted in turn take up to 6 s each.
constexpr Milliseconds EndLimit{60'000};
//! Of draws that begin a series, and of the kinds in it.
constexpr std::uint64_t SeriesInterval = 4;
constexpr std::uint64_t MaxSeriesLength = 4;
//! Signals to one host in a row.
constexpr std::uint64_t MaxSignals = 3;
//! Servers of one service that must stay for others to be taken away.
constexpr std::size_t MinServers = 2;

//! Marks something as chosen by a fault for the length of a scope. Two faults
//! that start or end the same process would destroy it under each other.
class Choice {
public:
  explicit Choice(bool &Chosen) : Busy(Chosen) {
    if (Busy)
      throw std::logic_error("chosen by two faults");
    Busy = true;
  }
  Choice(const Choice &) = delete;
  Choice &operator=(const Choice &) = delete;
  ~Choice() { Busy = false; }

private:
  bool &Busy;
};

//! Raises a count for the length of a scope.
class CountedScope {
public:
  explicit CountedScope(unsigned &Count) : Count(Count) { ++Count; }
  CountedScope(const CountedScope &) = delete;
  CountedScope &operator=(const CountedScope &) = delete;
  ~CountedScope() { --Count; }

private:
  unsigned &Count;
};

//! How often a group of kinds is drawn. Planned work is frequent, since all
//! promises hold for it; dense faults would leave nothing calm to check.
enum Weight : unsigned {
  Planned = 9,
  HostFault = 2,
  StoreFault = 1,
  Other = 2
};

} // namespace

struct PacketFaults::Kind {
  const char *Name;
  Task<> (PacketFaults::*Run)();
  unsigned Weight;
};

const std::vector<PacketFaults::Kind> &PacketFaults::kinds() {
  using Self = PacketFaults;
  static const std::vector<Kind> All = {
      {"restart_in_turn", &Self::restartHostsInTurn, Planned},
      {"server_replaced", &Self::replaceServer, Planned},
      {"config", &Self::publishVersions, Planned},
      {"foreign_entries", &Self::writeForeignEntries, Other},
      {"freeze_host", &Self::freezeOneHost, HostFault},
      {"kill_host", &Self::killOneHost, HostFault},
      {"kill_all_hosts", &Self::killAllHosts, StoreFault},
      {"store_refuses", &Self::refuseStore, StoreFault},
      {"store_silent", &Self::silenceStore, StoreFault},
      {"store_slow", &Self::slowStore, StoreFault},
      {"store_loses_answers", &Self::loseStoreAnswers, StoreFault},
      {"store_forgets_history", &Self::forgetHistory, StoreFault},
      {"store_restored", &Self::restoreStore, Other},
      {"store_forgets_watches", &Self::forgetWatches, StoreFault},
      {"store_cuts_watches", &Self::cutWatches, StoreFault},
      {"host_cut_from_store", &Self::cutHostFromStore, HostFault},
      {"connections_silent", &Self::silenceStoreConnections, StoreFault},
      {"entry_lost", &Self::loseEntry, Other},
      {"server_crash", &Self::crashServer, Other},
      {"server_started_again", &Self::startServerAgain, Other},
      {"settings_reloaded", &Self::reloadSettings, Planned},
      {"address_reused", &Self::reuseAddress, Other},
      {"server_freeze", &Self::freezeServer, Other},
      {"server_cut_from_host", &Self::cutServerFromHost, Other},
      {"caller_packets_lost", &Self::loseCallerPackets, Other},
  };
  return All;
}

const PacketFaults::Kind &PacketFaults::draw() {
  unsigned Sum = 0;
  for (const Kind &Each : Drawn)
    Sum += Each.Weight;
  std::uint64_t Point = randomBelow(Site.random(), Sum);
  for (const Kind &Each : Drawn) {
    if (Point < Each.Weight)
      return Each;
    Point -= Each.Weight;
  }
  return Drawn.back();
}

PacketFaults::PacketFaults(PacketSite &Site, PacketTraffic &Traffic,
                           const std::vector<std::string> &Names)
    : Site(Site), Traffic(Traffic) {
  for (const Kind &Each : kinds())
    if (Names.empty() ||
        std::ranges::find(Names, std::string(Each.Name)) != Names.end())
      Drawn.push_back(Each);
  if (Drawn.empty())
    throw std::invalid_argument("no kind of fault has any of the names");
}

PacketFaults::~PacketFaults() = default;

Milliseconds PacketFaults::between(Milliseconds Least, Milliseconds Most) {
  const auto Span = static_cast<std::uint64_t>((Most - Least).count()) + 1;
  return Least + Milliseconds(static_cast<Milliseconds::rep>(
                     randomBelow(Site.random(), Span)));
}

PacketSiteHost *PacketFaults::chooseHost() {
  std::vector<PacketSiteHost *> Free;
  for (PacketSiteHost &Host : Site.hosts())
    if (!Host.Busy && Host.Process)
      Free.push_back(&Host);
  return Free.empty() ? nullptr : Free[randomBelow(Site.random(), Free.size())];
}

PacketSiteServer *PacketFaults::chooseServer() {
  std::vector<PacketSiteServer *> Free;
  for (PacketSiteServer &Server : Site.servers()) {
    const auto &Service = Server.Process->record().Service;
    const auto Others = std::ranges::count_if(
        Site.servers(), [&](const PacketSiteServer &Other) {
          return !Other.Busy && Other.Process->alive() &&
                 Other.Process->record().Service == Service;
        });
    if (!Server.Busy && Server.Process->alive() &&
        static_cast<std::size_t>(Others) > MinServers)
      Free.push_back(&Server);
  }
  return Free.empty() ? nullptr : Free[randomBelow(Site.random(), Free.size())];
}

Task<> PacketFaults::freezeOneHost() {
  PacketSiteHost *Host = chooseHost();
  if (!Host)
    co_return;
  const Choice Chosen(Host->Busy);
  const Disturbance Harm(Host->State);
  Host->Process->freeze();
  co_await sleepFor(between(Short, Long));
  Host->Process->resume();
}

Task<> PacketFaults::killHost(PacketSiteHost &Host) {
  // Another fault may have chosen it before this task began.
  if (Host.Busy || !Host.Process)
    co_return;
  const Choice Chosen(Host.Busy);
  const Disturbance Harm(Host.State);
  Host.Process->kill();
  co_await Host.Process->exited();
  co_await sleepFor(RestartDelay);
  Site.startHost(Host);
}

Task<> PacketFaults::killOneHost() {
  PacketSiteHost *Host = chooseHost();
  if (Host)
    co_await killHost(*Host);
}

Task<> PacketFaults::killAllHosts() {
  for (PacketSiteHost &Host : Site.hosts())
    spawn(Site.executor(), "kill_host", track("kill_host", killHost(Host)));
  co_return;
}

Task<> PacketFaults::restartHost(PacketSiteHost &Host) {
  const Choice Chosen(Host.Busy);
  Host.Process->terminate();
  const int Code = co_await Host.Process->exited();
  if (Code != 0)
    ++Counts["exit code " + std::to_string(Code) + " of a planned stop"];
  Site.startHost(Host);
  co_await Site.waitReady(Long);
}

//! Planned work: no promise is suspended for it.
Task<> PacketFaults::restartHostsInTurn() {
  for (PacketSiteHost &Host : Site.hosts())
    if (!Host.Busy && Host.Process)
      co_await restartHost(Host);
}

Task<> PacketFaults::disturbStore(platform::StoreFaults Faults,
                                  Milliseconds Time) {
  const Disturbance Harm(Site.storeState());
  Site.store().setFaults(Faults);
  co_await sleepFor(Time);
  Site.store().setFaults({});
}

Task<> PacketFaults::refuseStore() {
  platform::StoreFaults Faults;
  Faults.Down = true;
  Site.store().cutWatches();
  co_await disturbStore(Faults, between(Short, Long * 2));
}

Task<> PacketFaults::silenceStore() {
  platform::StoreFaults Faults;
  Faults.Silent = true;
  co_await disturbStore(Faults, between(Short, Long * 2));
}

Task<> PacketFaults::slowStore() {
  platform::StoreFaults Faults;
  Faults.Delay = between(Short / 2, Short * 3);
  co_await disturbStore(Faults, between(Short, Long));
}

Task<> PacketFaults::loseStoreAnswers() {
  platform::StoreFaults Faults;
  Faults.LostAnswers = 0.3;
  co_await disturbStore(Faults, between(Short, Long));
}

Task<> PacketFaults::forgetHistory() {
  const Disturbance Harm(Site.storeState());
  Site.store().compact();
  co_return;
}

//! The store is away and comes back from a copy. Its writers write again within
//! two seconds.
Task<> PacketFaults::restoreStore() {
  {
    const Disturbance Harm(Site.storeState());
    platform::StoreFaults Faults;
    Faults.Down = true;
    Site.store().setFaults(Faults);
    Site.store().cutWatches();
    co_await sleepFor(between(Short, Long));
    Site.store().restore(between(Short, MaxCopyAge));
    Site.store().setFaults({});
  }
  spawn(Site.executor(), "lapse", track("lapse", lapseEntries()));
  co_await sleepFor(between(Milliseconds(0), RewriteTime));
  Site.writeAgain();
}

//! Entries of servers that are gone lapse some time after the copy came back.
Task<> PacketFaults::lapseEntries() {
  co_await sleepFor(EntryLifetime);
  Site.lapseEntries();
}

Task<> PacketFaults::forgetWatches() {
  const Disturbance Harm(Site.storeState());
  Site.store().forgetWatches();
  co_return;
}

Task<> PacketFaults::cutWatches() {
  Site.store().cutWatches();
  co_return;
}

Task<> PacketFaults::cutHostFromStore() {
  PacketSiteHost *Host = chooseHost();
  if (!Host || Host->StoreCut)
    co_return;
  const Choice Chosen(Host->StoreCut);
  const Disturbance Harm(Host->State);
  standins::TcpLinkFaults Faults;
  const std::uint64_t Variant = randomBelow(Site.random(), 4);
  Faults.Refuse = Variant == 0;
  Faults.HoldToServer = Variant == 1 || Variant == 3;
  Faults.HoldFromServer = Variant == 2 || Variant == 3;
  Host->StoreLink->setFaults(Faults);
  if (Faults.Refuse)
    Host->StoreLink->reset();
  co_await sleepFor(between(Short, Long * 3));
  Host->StoreLink->setFaults({});
}

Task<> PacketFaults::silenceStoreConnections() {
  for (PacketSiteHost &Host : Site.hosts()) {
    const Disturbance Harm(Host.State);
    Host.StoreLink->silence();
  }
  co_return;
}

//! A server that lives loses its entry and gets it back.
Task<> PacketFaults::loseEntry() {
  PacketSiteServer *Server = chooseServer();
  if (!Server)
    co_return;
  const Choice Chosen(Server->Busy);
  const Disturbance Harm(Server->State);
  Site.store().withdraw(Server->Process->record().Name);
  co_await sleepFor(between(Short, Long));
  Site.store().announce(Server->Process->record());
}

Task<> PacketFaults::writeForeignEntries() {
  Site.store().writeForeignEntries();
  co_return;
}

Task<> PacketFaults::crashServer() {
  PacketSiteServer *Server = chooseServer();
  if (!Server)
    co_return;
  const Choice Chosen(Server->Busy);
  const std::string Service = Server->Process->record().Service.value();
  Server->Process->crash();
  co_await sleepFor(between(Short, Long));
  Site.unregister(*Server);
  Site.addServer(Service);
}

//! A server crashes and starts again under its id, often before the store has
//! noticed.
Task<> PacketFaults::startServerAgain() {
  PacketSiteServer *Server = chooseServer();
  if (!Server)
    co_return;
  const Choice Chosen(Server->Busy);
  Server->Process->crash();
  co_await sleepFor(between(Short / 3, Short * 3));
  Site.startAgain(*Server);
}

//! Planned work: a host is told several times to read its settings again, good
//! or bad ones.
Task<> PacketFaults::reloadSettings() {
  PacketSiteHost *Host = chooseHost();
  if (!Host)
    co_return;
  const Choice Chosen(Host->Busy);
  // Before its first line a program can't handle a signal; a process that
  // accepts connections is past that.
  HttpRequest Probe;
  const TcpEndpoint Ready(Host->Packets.address(), Host->Packets.port());
  const auto Answer = co_await callHttp(Ready, std::move(Probe), Short);
  if (!Answer)
    co_return;
  Json Changed = Host->Settings;
  Changed["log_level"] = "debug";
  const std::string Texts[] = {Host->Settings.dump(), Changed.dump(),
                               Changed.dump().substr(0, 40)};
  const std::uint64_t Count = 1 + randomBelow(Site.random(), MaxSignals);
  for (std::uint64_t Sent = 0; Sent < Count; ++Sent) {
    Site.writeSettings(*Host,
                       Texts[randomBelow(Site.random(), std::size(Texts))]);
    Host->Process->reload();
    co_await sleepFor(between(Milliseconds(0), PollInterval));
  }
  Site.writeSettings(*Host, Host->Settings.dump(2));
}

//! A server ends; its address goes to one of the other service, at times while
//! a host still believes in the old entry.
Task<> PacketFaults::reuseAddress() {
  PacketSiteServer *Server = chooseServer();
  if (!Server)
    co_return;
  const Choice Chosen(Server->Busy);
  const auto Ended = Server->Process->record();
  if (randomBelow(Site.random(), 2) == 0)
    spawn(Site.executor(), "cut_host", track("cut_host", cutHostFromStore()));
  Server->Process->crash();
  Site.unregister(*Server);
  co_await sleepFor(ReuseDelay);
  Site.addServer(Ended.Service.value() == "a" ? "b" : "a", Ended.Address);
  co_await sleepFor(Short);
  Site.addServer(Ended.Service.value());
}

Task<> PacketFaults::freezeServer() {
  PacketSiteServer *Server = chooseServer();
  if (!Server)
    co_return;
  const Choice Chosen(Server->Busy);
  const Disturbance Harm(Server->State);
  Server->Process->setFrozen(true);
  co_await sleepFor(between(Short, Long));
  Server->Process->setFrozen(false);
}

//! Planned work: a new server, then the old one drains and ends.
Task<> PacketFaults::replaceServer() {
  PacketSiteServer *Server = chooseServer();
  if (!Server)
    co_return;
  const Choice Chosen(Server->Busy);
  Site.addServer(Server->Process->record().Service.value());
  Server->Process->drain();
  Site.store().announce(Server->Process->record());
  Server->DrainedAt = Clock::now();
  co_await sleepFor(DrainTime + between(Short, Long));
  Site.unregister(*Server);
  co_await sleepFor(Short);
  Server->Process->crash();
}

//! Packets of one host do not reach one server.
Task<> PacketFaults::cutServerFromHost() {
  PacketSiteServer *Server = chooseServer();
  const PacketSiteHost *Host = chooseHost();
  if (!Server || !Host)
    co_return;
  const Choice Chosen(Server->Busy);
  const Disturbance Harm(Server->State);
  Server->Process->setFilter([Cut = Host->Packets](const UdpEndpoint &Sender) {
    return Sender != Cut;
  });
  co_await sleepFor(between(Short, Long));
  Server->Process->setFilter(nullptr);
}

Task<> PacketFaults::loseCallerPackets() {
  Traffic.caller().setFaults({.Drop = 0.1, .Duplicate = 0.1});
  co_await sleepFor(between(Short, Long));
  Traffic.caller().setFaults({});
}

Task<> PacketFaults::publishVersions() {
  const std::uint64_t Count = 1 + randomBelow(Site.random(), 3);
  for (std::uint64_t Done = 0; Done < Count; ++Done) {
    Site.publish();
    co_await sleepFor(between(Milliseconds(0), Short));
  }
}

std::string PacketFaults::unfinished() const {
  std::string Names;
  for (const auto &[Name, Count] : Incomplete)
    if (Count > 0)
      Names += " " + Name;
  return Names;
}

Task<> PacketFaults::track(std::string Name, Task<> Work) {
  const Disturbance Harm(Site.state());
  co_await trackPlanned(std::move(Name), std::move(Work));
}

Task<> PacketFaults::trackPlanned(std::string Name, Task<> Work) {
  const CountedScope Running(Active);
  ++Incomplete[Name];
  co_await std::move(Work);
  --Incomplete[Name];
}

void PacketFaults::begin(const Kind &What) {
  ++Counts[What.Name];
  Task<> Work = (this->*What.Run)();
  // Callers must not notice planned work.
  spawn(Site.executor(), What.Name,
        What.Weight == Planned ? trackPlanned(What.Name, std::move(Work))
                               : track(What.Name, std::move(Work)));
}

Task<> PacketFaults::beginSeries() {
  const Kind &What = draw();
  const bool Single = randomBelow(Site.random(), SeriesInterval) != 0;
  const std::uint64_t Length =
      Single ? 1 : 2 + randomBelow(Site.random(), MaxSeriesLength - 1);
  for (std::uint64_t Begun = 0; Begun < Length; ++Begun) {
    if (Begun > 0)
      co_await sleepFor(between(Milliseconds(0), Short));
    begin(What);
  }
}

Task<> PacketFaults::run(Milliseconds Length, Milliseconds MaxPause) {
  const TimePoint End = Clock::now() + Length;
  while (Clock::now() < End) {
    co_await beginSeries();
    co_await sleepFor(between(Milliseconds(0), MaxPause));
  }
  const TimePoint Due = Clock::now() + EndLimit;
  while (Active > 0 && Clock::now() < Due)
    co_await sleepFor(PollInterval);
}

} // namespace buckthorndeck::faults
