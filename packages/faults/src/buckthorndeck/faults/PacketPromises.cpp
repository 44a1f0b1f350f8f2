#include "buckthorndeck/faults/PacketPromises.h"

#include <algorithm>

namespace buckthorndeck::faults {

using forwarding::FlowKey;
using forwarding::Route;
using forwarding::ServiceName;
using forwarding::SocketAddress;
using standins::FlowOpening;
using standins::FlowOutcome;
using standins::FlowReset;
using standins::FlowRun;

namespace {

// Bounds of the users' rules.
constexpr Milliseconds SettleTime{4000};
constexpr Milliseconds DrainTime{3000};
constexpr Milliseconds ApplyTime{3000};
constexpr Milliseconds RevertSlack{250};

//! The services that a version lets an address go to.
std::vector<ServiceName> servicesOf(const PublishedRoutes &Version,
                                    const SocketAddress &Address) {
  std::vector<ServiceName> Result;
  for (const Route &Entry : Version.Routes.Routes)
    if (Entry.Address == Address)
      for (const auto &Each : Entry.Services)
        Result.push_back(Each.Service);
  return Result;
}

bool allows(const PublishedRoutes &Version, const SocketAddress &Address,
            const ServiceName &Service) {
  const auto Services = servicesOf(Version, Address);
  return std::ranges::find(Services, Service) != Services.end();
}

} // namespace

PacketPromises::PacketPromises(PacketSite &Site, PacketTraffic &Traffic)
    : Site(Site), Traffic(Traffic) {}

void PacketPromises::report(const std::string &Promise,
                            const std::string &Details) {
  Broken.push_back(Promise + ": " + Details);
}

bool PacketPromises::allHostsCalm() const {
  return std::ranges::all_of(Site.hosts(), [](const PacketSiteHost &Host) {
    return Host.State.lasted(SettleTime);
  });
}

void PacketPromises::checkDrain(const PacketSiteServer &Server,
                                const FlowOpening &Opening, bool HostCalm) {
  if (!Server.DrainedAt || !HostCalm || !Site.storeState().lasted(SettleTime))
    return;
  if (Opening.At - *Server.DrainedAt > DrainTime)
    report("drain", "flow " + toString(Opening.Flow) + " opened at " +
                        Server.Process->record().Name);
}

void PacketPromises::checkVersion(const PacketSiteServer &Server,
                                  const FlowOpening &Opening,
                                  const PacketSiteHost &Host) {
  const SocketAddress &Address = Opening.Flow.Service;
  const ServiceName &Service = Server.Process->record().Service;
  const bool Calm =
      Host.State.lasted(SettleTime) && Server.State.lasted(SettleTime);
  // The last version that must be in force by now.
  const auto &Versions = Site.versions();
  auto Oldest = Versions.begin();
  if (Calm && Site.storeState().lasted(SettleTime))
    for (auto Each = Versions.begin(); Each != Versions.end(); ++Each)
      if (Opening.At - Each->At > ApplyTime)
        Oldest = Each;
  const std::string Details = toString(Opening.Flow) + " through " + Host.Name +
                              " opened at service " + Service.value();
  const auto Allowing = [&](const PublishedRoutes &Version) {
    return allows(Version, Address, Service);
  };
  if (std::none_of(Versions.begin(), Versions.end(), Allowing))
    report("route", Details);
  else if (std::none_of(Oldest, Versions.end(), Allowing))
    report("version in time", Details);

  Proof &Shown = Proofs[Host.Name];
  if (Shown.Lifetime != Host.Lifetime)
    Shown = {.Lifetime = Host.Lifetime};
  if (Calm && Opening.At - Shown.At > RevertSlack &&
      std::none_of(Versions.begin(), Versions.end(),
                   [&](const PublishedRoutes &Version) {
                     return Version.Routes.Version >= Shown.Version &&
                            Allowing(Version);
                   }))
    report("version goes back",
           Details + " after version " + std::to_string(Shown.Version.value()));
  for (const PublishedRoutes &Version : Versions)
    if (Address == routeOfVersion(Version.Routes.Version) &&
        Shown.Version < Version.Routes.Version)
      Shown = {.Lifetime = Host.Lifetime,
               .Version = Version.Routes.Version,
               .At = Opening.At};
}

void PacketPromises::checkOpening(PacketSiteServer &Server,
                                  const FlowOpening &Opening) {
  const PacketSiteHost *Host = Site.hostAt(Opening.Host);
  if (!Host) {
    report("sender", "an open came from " + toString(Opening.Host));
    return;
  }
  const bool Calm =
      Host->State.lasted(SettleTime) && Server.State.lasted(SettleTime);
  checkDrain(Server, Opening, Calm);
  checkVersion(Server, Opening, *Host);
}

void PacketPromises::checkReset(const FlowReset &Reset) {
  // Flows may be reset when a new version drops their route.
  if (servicesOf(Site.versions().back(), Reset.Flow.Service).empty())
    return;
  const PacketSiteHost *Host = Site.hostAt(Reset.Sender);
  for (const PacketSiteServer &Server : Site.servers()) {
    const auto &Process = *Server.Process;
    if (!Process.alive() || !Process.holds(Reset.Flow) ||
        !Server.State.lasted(SettleTime))
      continue;
    if (!Reset.FromHost && Reset.Sender == Process.record().Address)
      continue;
    const bool Calm = Host ? Host->State.lasted(SettleTime) : allHostsCalm();
    if (Calm)
      report("open flow", "flow " + toString(Reset.Flow) + " at " +
                              Process.record().Name + " was reset by " +
                              toString(Reset.Sender));
  }
}

bool PacketPromises::hasEndedServer(const FlowKey &Flow) const {
  return std::ranges::any_of(
      Site.servers(), [&](const PacketSiteServer &Server) {
        const auto &Openings = Server.Process->openings();
        return !Server.Process->alive() &&
               std::ranges::any_of(Openings, [&](const FlowOpening &Opening) {
                 return Opening.Flow == Flow;
               });
      });
}

//! Planned work alone makes no call fail.
void PacketPromises::checkCalm(const PacketCall &Call) {
  if (Call.Result.Outcome == FlowOutcome::Answered ||
      !Site.state().lasted(SettleTime))
    return;
  // A flow whose server drains, or whose route is gone, may end.
  const bool Planned = Call.Result.Outcome == FlowOutcome::Closed ||
                       servicesOf(Site.versions().back(), Call.Service).empty();
  // A server that drains may end while a flow is idle.
  const bool ServerEnded = Call.IdleFlow && hasEndedServer(Call.Flow);
  // Hosts learn of a route some time after its version.
  const bool NewRoute = Call.Service.Port >= FirstVersionPort;
  if (!Planned && !ServerEnded && !NewRoute)
    report("undisturbed call", "request " + std::to_string(Call.Request) +
                                   " to " + toString(Call.Service) + ": " +
                                   standins::toString(Call.Result.Outcome));
}

void PacketPromises::checkDamage() {
  const auto ReportOnce = [&](const std::string &What) {
    if (Known.insert(What).second)
      report("intact packets", What);
  };
  for (const PacketSiteServer &Server : Site.servers())
    if (Server.Process->damaged() > 0)
      ReportOnce("a changed packet reached " + Server.Process->record().Name);
  if (Traffic.caller().damaged() > 0)
    ReportOnce("a changed packet reached a caller");
}

void PacketPromises::check() {
  for (std::size_t Index = 0; Index < Site.servers().size(); ++Index) {
    PacketSiteServer &Server = Site.servers()[Index];
    const auto &Openings = Server.Process->openings();
    for (std::size_t &Seen = OpeningsSeen[Index]; Seen < Openings.size();
         ++Seen)
      checkOpening(Server, Openings[Seen]);
  }
  const auto &Resets = Traffic.caller().resets();
  for (; ResetsSeen < Resets.size(); ++ResetsSeen)
    checkReset(Resets[ResetsSeen]);
  for (; CallsSeen < Traffic.calls().size(); ++CallsSeen)
    checkCalm(Traffic.calls()[CallsSeen]);
  checkDamage();
  for (PacketSiteHost &Host : Site.hosts())
    if (Host.Process && !Host.Busy && !Host.Process->running()) {
      report("host", Host.Name + " ended by itself");
      Host.Process = nullptr;
    }
}

void PacketPromises::checkRequests() {
  std::map<std::uint64_t, std::vector<std::uint64_t>> RunsOf; // Server ids.
  for (const PacketSiteServer &Server : Site.servers())
    for (const FlowRun &Run : Server.Process->runs()) {
      RunsOf[Run.Request].push_back(Server.Process->record().Id.value());
      if (!Run.Intact)
        report("intact request", std::to_string(Run.Request));
    }
  std::map<std::uint64_t, std::size_t> Attempts; // That may have run.
  for (const PacketCall &Call : Traffic.calls()) {
    const std::string Name = std::to_string(Call.Request);
    const auto &Runs = RunsOf[Call.Request];
    if (Call.Result.Outcome != FlowOutcome::NotOpened)
      ++Attempts[Call.Request];
    if (Call.Result.Outcome != FlowOutcome::Answered)
      continue;
    if (Call.Result.Answer.Request != Call.Request ||
        !Call.Result.Answer.Intact)
      report("whole answer", "request " + Name);
    if (std::ranges::find(Runs, Call.Result.Answer.Server) == Runs.end())
      report("answer of a server that ran it", "request " + Name);
  }
  for (const auto &[Request, Runs] : RunsOf)
    if (Runs.size() > Attempts[Request])
      report("run at most once",
             "request " + std::to_string(Request) + " ran " +
                 std::to_string(Runs.size()) + " times in " +
                 std::to_string(Attempts[Request]) + " attempts");
}

} // namespace buckthorndeck::faults
