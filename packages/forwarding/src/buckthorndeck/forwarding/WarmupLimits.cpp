#include "buckthorndeck/forwarding/WarmupLimits.h"

#include "buckthorndeck/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorndeck::forwarding {

namespace {

constexpr Milliseconds RefreshInterval{200};
constexpr std::chrono::seconds SummaryInterval{1};
constexpr std::chrono::duration<double> MaxWindow{86'400};
//! Placement may fall back to a server for 2 s after its entry was removed,
//! also if the service's warm-up is shorter.
constexpr Milliseconds MinDoubtTime{2000};

bool isFailed(const Server &Target) {
  return Target.State == Reachability::Unhealthy ||
         Target.State == Reachability::Unresponsive;
}

} // namespace

WarmupShare warmupShare(double RequestsPerSecond, const WarmupMargin &Margin,
                        std::size_t HostCount, double RemainingShare) {
  const double Rate = RequestsPerSecond * RemainingShare;
  // Less than one flow a second: one host, and a window that holds one flow.
  // Parts of a partition do not know which of them that host is in.
  if (Rate < 1) {
    if (RemainingShare < 1)
      return {};
    const auto Window = std::min(
        std::chrono::duration<double>(1 / RequestsPerSecond), MaxWindow);
    return {.AdmittedHosts = 1,
            .Flows = 1,
            .Window = std::chrono::duration_cast<Clock::duration>(Window)};
  }
  const std::size_t Admitted =
      std::min({MaxAdmittedHosts, HostCount, static_cast<std::size_t>(Rate)});
  // Half as many hosts again may have a view that admits them wrongly.
  const std::size_t WithDiffering = Admitted + (Admitted + 1) / 2;
  const double Bound = RequestsPerSecond * Margin.Overage + Margin.Slack;
  const double Flows =
      std::min(std::floor(Rate / static_cast<double>(Admitted)),
               std::floor(Bound / static_cast<double>(WithDiffering)));
  return {.AdmittedHosts = Admitted,
          .Flows = static_cast<std::uint32_t>(std::max(1.0, Flows))};
}

std::size_t toleratedHosts(double RequestsPerSecond, const WarmupMargin &Margin,
                           const WarmupShare &Share) {
  if (Share.Flows == 0)
    return 0;
  const double Left = RequestsPerSecond * Margin.Overage + Margin.Slack -
                      static_cast<double>(Share.AdmittedHosts) * Share.Flows;
  return Left < 0 ? 0 : static_cast<std::size_t>(Left / Share.Flows);
}

bool isAdmitted(const DomainView &View, std::string_view ServerName,
                std::size_t AdmittedHosts) {
  const std::uint64_t Own = rendezvousScore(ServerName, View.self());
  std::size_t Better = 0;
  for (const std::string &Peer : View.peers()) {
    if (Better >= AdmittedHosts)
      return false;
    Better += rendezvousScore(ServerName, Peer) > Own ? 1 : 0;
  }
  return Better < AdmittedHosts;
}

WarmupLimits::ServiceState *WarmupLimits::find(const ServiceName &Service) {
  const auto Found = Services.find(Service.value());
  return Found == Services.end() ? nullptr : &Found->second;
}

void WarmupLimits::applyRules(const std::vector<ServiceRule> &Rules) {
  const bool WasActive = active();
  auto Before = std::exchange(Services, {});
  for (const ServiceRule &Rule : Rules) {
    if (Rule.Warmup.RequestsPerSecond <= 0)
      continue;
    ServiceState &Added = Services[Rule.Service.value()];
    const auto Known = Before.find(Rule.Service.value());
    if (Known != Before.end())
      Added = Known->second;
    Added.Rule = Rule.Warmup;
    Added.Recent.Service = Rule.Service;
  }
  if (!WasActive && !active())
    return;
  updateShares();
  RulesChanged = true;
  NextRefreshAt = TimePoint{};
}

void WarmupLimits::setView(DomainView Next, TimePoint Now) {
  View = std::move(Next);
  ViewSteady = View.isSteady(Now);
  updateShares();
  evaluateAll(Now);
}

void WarmupLimits::updateView(std::vector<std::string> PeerNames, bool HeardAny,
                              TimePoint Now) {
  const bool Changed = View.update(std::move(PeerNames), HeardAny, Now);
  const bool Steady = View.isSteady(Now);
  if (!Changed && Steady == ViewSteady)
    return;
  ViewSteady = Steady;
  updateShares();
  evaluateAll(Now);
}

void WarmupLimits::updateShares() {
  ++Generation;
  for (auto &[Name, Service] : Services)
    Service.Share = warmupShare(Service.Rule.RequestsPerSecond, Margin,
                                View.size(), View.remainingShare());
}

void WarmupLimits::recordEntry(Server &Target, TimePoint Now) {
  if (!active())
    return;
  const auto Found = States.find(Target.Token.value());
  if (Found != States.end())
    Found->second.DoubtedUntil = {};
  evaluate(Target, Now);
}

void WarmupLimits::recordRemoval(Server &Target, TimePoint Now) {
  if (active())
    doubt(Target, Now);
}

void WarmupLimits::recordState(Server &Target, TimePoint Now) {
  if (active() && isFailed(Target))
    doubt(Target, Now);
}

void WarmupLimits::doubt(Server &Target, TimePoint Now) {
  const ServiceState *Service = find(Target.Record.Service);
  if (!Service)
    return;
  States[Target.Token.value()].DoubtedUntil =
      Now + std::max(Service->Rule.Duration, MinDoubtTime);
  evaluate(Target, Now);
}

void WarmupLimits::evaluate(Server &Target, TimePoint Now) {
  const ServiceState *Service = find(Target.Record.Service);
  const auto Found = States.find(Target.Token.value());
  ColdState *State = Found == States.end() ? nullptr : &Found->second;
  const bool Cold = Service && (Now < Target.WarmupEndsAt || isFailed(Target) ||
                                (State && Now < State->DoubtedUntil));
  if (!Cold) {
    Target.WarmupShareAt = {};
    if (State)
      States.erase(Found);
    return;
  }
  if (!State)
    State = &States[Target.Token.value()];
  // The time of recovery is known only to RefreshInterval.
  if (isFailed(Target))
    State->DoubtedUntil = Now + Service->Rule.Duration + RefreshInterval;
  if (std::exchange(State->Generation, Generation) != Generation)
    State->Admitted =
        ViewSteady && Target.Record.Domain == Domain &&
        isAdmitted(View, Target.Record.Name, Service->Share.AdmittedHosts);
  State->Window.setLength(Service->Share.Window, Now);
  setShareTime(Target, *Service, *State, Now);
  State->DueAt = isFailed(Target)
                     ? Now + RefreshInterval
                     : std::max(Target.WarmupEndsAt, State->DoubtedUntil);
  scheduleRefresh(ViewSteady ? State->DueAt : Now, Now);
}

void WarmupLimits::scheduleRefresh(TimePoint DueAt, TimePoint Now) {
  NextRefreshAt =
      std::min(NextRefreshAt, std::max(DueAt, Now + RefreshInterval));
}

void WarmupLimits::setShareTime(Server &Target, const ServiceState &Service,
                                ColdState &State, TimePoint Now) {
  // A process that was started again at the same address gets the flows.
  if (!State.Admitted || !Servers.receivesOwnPackets(Target))
    Target.WarmupShareAt = TimePoint::max();
  else
    Target.WarmupShareAt = State.Window.availableAt(Service.Share.Flows, Now);
}

bool WarmupLimits::recordSyn(Server &Target, TimePoint Now) {
  if (States.empty())
    return false;
  const auto Found = States.find(Target.Token.value());
  ServiceState *Service = find(Target.Record.Service);
  if (Found == States.end() || !Service)
    return false;
  ++Service->Recent.Sent;
  Found->second.Window.record(Now);
  setShareTime(Target, *Service, Found->second, Now);
  return true;
}

void WarmupLimits::recordDiversion(const ServiceName &Service) {
  if (ServiceState *Limited = find(Service))
    ++Limited->Recent.Diverted;
}

void WarmupLimits::recordRefusal(const ServiceName &Service) {
  if (ServiceState *Limited = find(Service))
    ++Limited->Recent.Refused;
}

//! Evaluates the cold servers that are due until DueUntil. With thousands of
//! cold servers, few are due at a time.
void WarmupLimits::evaluateDue(TimePoint Now, TimePoint DueUntil) {
  std::vector<std::uint32_t> Tokens;
  for (const auto &[Token, State] : States) {
    if (State.DueAt <= DueUntil)
      Tokens.push_back(Token);
    else
      scheduleRefresh(State.DueAt, Now);
  }
  for (const std::uint32_t Token : Tokens) {
    if (Server *Target = Servers.find(ServerToken(Token)))
      evaluate(*Target, Now);
    else
      States.erase(Token);
  }
}

void WarmupLimits::refresh(TimePoint Now) {
  if (Now < NextRefreshAt)
    return;
  NextRefreshAt = TimePoint::max();
  if (std::exchange(RulesChanged, false))
    Servers.forEach([&](Server &Each) { evaluate(Each, Now); });
  const bool WasSteady = std::exchange(ViewSteady, View.isSteady(Now));
  if (WasSteady != ViewSteady) {
    updateShares();
    evaluateAll(Now);
  } else {
    evaluateDue(Now, Now);
  }
  if (!ViewSteady && !States.empty())
    scheduleRefresh(Now, Now);
}

std::vector<WarmupLimits::Summary> WarmupLimits::takeSummaries(TimePoint Now) {
  std::vector<Summary> Result;
  for (auto &[Name, Service] : Services) {
    if (Service.Recent.Diverted + Service.Recent.Refused == 0)
      continue;
    if (Now < Service.NextSummaryAt) {
      NextRefreshAt = std::min(NextRefreshAt, Service.NextSummaryAt);
      continue;
    }
    Service.NextSummaryAt = Now + SummaryInterval;
    Result.push_back(std::exchange(Service.Recent,
                                   Summary{.Service = Service.Recent.Service}));
  }
  return Result;
}

} // namespace buckthorndeck::forwarding
