#include "buckthorndeck/forwarding/OverloadControl.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/forwarding/Eligibility.h"

#include <algorithm>
#include <cmath>

namespace buckthorndeck::forwarding {

namespace {

//! Requests that a server queues before it answers 503.
constexpr double QueueCapacity = 8;
//! Weight of a response in a domain's average. The service time alone varies by
//! a third, so that 16 responses give an average within 7 %.
constexpr double DomainSampleWeight = 1.0 / 16;
//! Weight of a response in a server's average: a host sees few of each server.
constexpr double ServerSampleWeight = 0.3;
//! Weight of a response in the unloaded time once it is settled.
constexpr double UnloadedSampleWeight = 1.0 / 128;
//! Responses before the unloaded time counts.
constexpr std::uint64_t MinUnloadedSamples = 32;
//! Longest response relative to the unloaded one that counts: a lost packet
//! costs a caller 200 ms, a full queue of 8 at 2 slots is 5.
constexpr double MaxSampleRatio = 6;
//! A domain queues above QueueingRatio, which a queueing model with two slots
//! gives at a utilisation of about 0.7, until it is below CalmRatio.
constexpr double QueueingRatio = 1.6;
constexpr double CalmRatio = 1.3;
//! An average below this part of the unloaded time shows that the latter was
//! learned during an overload.
constexpr double UnloadedTooHigh = 0.7;
//! Time in which the unloaded time follows a service that has become slower.
constexpr double UnloadedRiseSeconds = 600;
//! Responses older than this no longer describe a domain or a server.
constexpr Milliseconds SampleLifetime{1000};
constexpr Milliseconds RefreshInterval{50};
//! Longest step of the shares, after a time without flows.
constexpr double MaxStepSeconds = 0.2;

//! One round trip between failure domains.
constexpr double CrossDomainMs = 2.3;
//! Differences of the domains' times, in unloaded times, at which the share of
//! other domains grows and shrinks.
constexpr double SpillGrowGap = 0.3;
constexpr double SpillShrinkGap = 0.1;
//! Change of the share per second.
constexpr double SpillGrowRate = 0.6;
constexpr double SpillShrinkRate = 0.3;
//! Least share while the own domain queues: it keeps the other domains' times
//! known.
constexpr double ProbeShare = 0.03;
constexpr double MaxSpillShare = 0.95;

//! Shedding begins to act at this pressure: full enough that no slot idles,
//! empty enough that servers reject little.
constexpr double TargetPressure = 0.4;
//! Pressure above TargetPressure at which one priority is refused entirely.
//! Hosts that see the same pressure settle at the same share; without this term
//! the first ones to shed would keep shedding for the others.
constexpr double PressurePerLevel = 0.15;
constexpr double StartPressure = 0.55;
constexpr double EndPressure = 0.35;
constexpr Milliseconds StartDelay{200};
constexpr Milliseconds EndDelay{1000};
//! Change of the refused share per second and unit of pressure.
constexpr double ShedGrowRate = 1.5;
constexpr double ShedShrinkRate = 1.5;
//! Below IdlePressure nothing is refused; up to FullEffectPressure the refused
//! shares are reduced.
constexpr double IdlePressure = 0.15;
constexpr double FullEffectPressure = 0.35;
//! Some flows are always accepted, since only responses show the end of the
//! overload.
constexpr double MaxRefusedShare = 0.95;
//! A server with a recent average below this multiple of the unloaded time has
//! spare capacity.
constexpr double SpareRatio = 1.3;

double milliseconds(Clock::duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

//! Geometric moving average: a single slow response, such as one after a lost
//! packet, changes it little.
double average(double Before, double Sample, double Weight) {
  return Before == 0 ? Sample : Before * std::pow(Sample / Before, Weight);
}

DomainLoad &domainOf(ServiceLoad &Service, const FailureDomainName &Domain) {
  const auto Found = std::find_if(
      Service.Domains.begin(), Service.Domains.end(),
      [&](const DomainLoad &Each) { return Each.Domain == Domain; });
  if (Found != Service.Domains.end())
    return *Found;
  return Service.Domains.emplace_back(DomainLoad{.Domain = Domain});
}

double ratioOf(const DomainLoad &Domain, const ServiceLoad &Service,
               TimePoint Now) {
  return expectedMs(Domain, Service, Now) / Service.UnloadedMs;
}

//! Learns the response time without queueing.
void learnUnloaded(ServiceLoad &Service, const DomainLoad &Domain,
                   double SampleMs) {
  ++Service.Samples;
  if (Service.Samples <= MinUnloadedSamples) {
    Service.UnloadedMs = average(Service.UnloadedMs, SampleMs,
                                 1.0 / static_cast<double>(Service.Samples));
    return;
  }
  if (Domain.RecentMs < UnloadedTooHigh * Service.UnloadedMs)
    Service.UnloadedMs = Domain.RecentMs;
  else if (Domain.RecentMs < CalmRatio * Service.UnloadedMs)
    Service.UnloadedMs =
        average(Service.UnloadedMs, SampleMs, UnloadedSampleWeight);
}

//! Counts the servers of each domain that may get new flows.
void countSlots(ServiceLoad &Service, std::span<Server *const> Servers,
                TimePoint Now) {
  for (DomainLoad &Domain : Service.Domains)
    Domain.Slots = Domain.Servers = 0;
  for (const Server *Candidate : Servers) {
    if (!mayGetFlows(*Candidate, Now))
      continue;
    DomainLoad &Domain = domainOf(Service, Candidate->Record.Domain);
    Domain.Slots += Candidate->Record.Slots;
    ++Domain.Servers;
  }
}

//! Adapts the share of flows that go to other domains and its division.
void adaptSpill(ServiceLoad &Service, const FailureDomainName &OwnDomain,
                double Seconds, TimePoint Now) {
  const DomainLoad &Own = domainOf(Service, OwnDomain);
  const double OwnMs = expectedMs(Own, Service, Now);
  double BestMs = 0;
  double WeightSum = 0;
  for (DomainLoad &Other : Service.Domains) {
    Other.SpillWeight = 0;
    if (&Other == &Own || Other.Slots == 0)
      continue;
    const double OtherMs = expectedMs(Other, Service, Now) + CrossDomainMs;
    BestMs = BestMs == 0 ? OtherMs : std::min(BestMs, OtherMs);
    Other.SpillWeight = Other.Slots * std::max(0.0, OwnMs - OtherMs);
    WeightSum += Other.SpillWeight;
  }
  if (WeightSum == 0)
    for (DomainLoad &Other : Service.Domains)
      Other.SpillWeight = &Other == &Own ? 0 : Other.Slots;
  if (BestMs == 0 || Own.Slots == 0) {
    // placeFlow() already uses every domain that is left.
    Service.SpillShare = 0;
    return;
  }
  const double OwnRatio = OwnMs / Service.UnloadedMs;
  const double Gap = (OwnMs - BestMs) / Service.UnloadedMs;
  if (OwnRatio > QueueingRatio && Gap > SpillGrowGap)
    Service.SpillShare += SpillGrowRate * std::min(Gap, 1.0) * Seconds;
  else if (OwnRatio < CalmRatio || Gap < SpillShrinkGap)
    Service.SpillShare -= SpillShrinkRate * Seconds;
  const double Least = OwnRatio > CalmRatio ? ProbeShare : 0;
  Service.SpillShare = std::clamp(Service.SpillShare, Least, MaxSpillShare);
}

void logOverload(const char *Event, const ServiceName &Name,
                 const ServiceLoad &Service, TimePoint Now) {
  double Slots = 0;
  double RecentMs = 0;
  for (const DomainLoad &Domain : Service.Domains) {
    Slots += Domain.Slots;
    if (Domain.Slots > 0)
      RecentMs = std::max(RecentMs, expectedMs(Domain, Service, Now));
  }
  const Clock::duration Lasted = Now - Service.StartedAt;
  log(LogLevel::Warn, Event,
      {{"service", Name.value()},
       {"pressure_percent", std::lround(100 * Service.Pressure)},
       {"unloaded_ms", std::lround(Service.UnloadedMs)},
       {"slowest_domain_ms", std::lround(RecentMs)},
       {"slots", std::lround(Slots)},
       {"spill_percent", std::lround(100 * Service.SpillShare)},
       {"lasted_ms", std::lround(milliseconds(Lasted))},
       {"flows", Service.Offered},
       {"refused", Service.Refused}});
}

//! Whether Condition holds for Delay; Since is the time it began to hold.
bool holdsFor(bool Condition, Milliseconds Delay, TimePoint &Since,
              TimePoint Now) {
  if (!Condition || Since == TimePoint{})
    Since = Condition ? Now : TimePoint{};
  return Condition && Now - Since >= Delay;
}

//! Adapts the share of flows to refuse. Spread is a random factor that differs
//! between hosts, so that they do not end an overload at the same moment.
void adaptShedding(const ServiceName &Name, ServiceLoad &Service,
                   double Seconds, double Spread, TimePoint Now) {
  Service.Pressure = 1;
  bool AnySlots = false;
  for (const DomainLoad &Domain : Service.Domains)
    if (Domain.Slots > 0) {
      AnySlots = true;
      Service.Pressure =
          std::min(Service.Pressure, pressureOf(Domain, Service, Now));
    }
  // Without any server, placement refuses with the exact reason.
  if (!AnySlots)
    Service.Pressure = 0;
  if (!Service.Overloaded) {
    if (!holdsFor(Service.Pressure > StartPressure, StartDelay,
                  Service.ConditionSince, Now))
      return;
    Service.Overloaded = true;
    Service.ConditionSince = TimePoint{};
    Service.StartedAt = Now;
    Service.Refused = Service.Offered = 0;
    logOverload("overload_started", Name, Service, Now);
  }
  const double Error =
      Service.Pressure - TargetPressure - PressurePerLevel * Service.ShedLevel;
  const double Rate = Error > 0 ? ShedGrowRate : ShedShrinkRate * Spread;
  Service.ShedLevel =
      std::clamp(Service.ShedLevel + Rate * Error * Seconds, 0.0,
                 static_cast<double>(Service.Priorities.size()));
  const auto Delay =
      Milliseconds(std::lround(static_cast<double>(EndDelay.count()) / Spread));
  if (!holdsFor(Service.ShedLevel == 0 && Service.Pressure < EndPressure, Delay,
                Service.ConditionSince, Now))
    return;
  Service.Overloaded = false;
  Service.ConditionSince = TimePoint{};
  logOverload("overload_ended", Name, Service, Now);
}

void refresh(const ServiceName &Name, ServiceLoad &Service,
             std::span<Server *const> Servers,
             const FailureDomainName &OwnDomain, double Spread, TimePoint Now) {
  const double Seconds =
      std::min(milliseconds(Now - Service.RefreshedAt) / 1000, MaxStepSeconds);
  Service.RefreshedAt = Now;
  countSlots(Service, Servers, Now);
  adaptSpill(Service, OwnDomain, Seconds, Now);
  adaptShedding(Name, Service, Seconds, Spread, Now);
  if (!Service.Overloaded)
    Service.UnloadedMs *= std::exp(Seconds / UnloadedRiseSeconds);
  Service.Queueing =
      Service.Overloaded || Service.SpillShare > 0 ||
      std::any_of(Service.Domains.begin(), Service.Domains.end(),
                  [&](const DomainLoad &Domain) {
                    return ratioOf(Domain, Service, Now) > CalmRatio;
                  });
}

//! The domain for a flow that leaves the own one; null if there is none.
const FailureDomainName *spillTarget(const ServiceLoad &Service,
                                     RandomEngine &Random) {
  double WeightSum = 0;
  for (const DomainLoad &Domain : Service.Domains)
    WeightSum += Domain.SpillWeight;
  double Position = randomUnit(Random) * WeightSum;
  for (const DomainLoad &Domain : Service.Domains) {
    Position -= Domain.SpillWeight;
    if (Domain.SpillWeight > 0 && Position <= 0)
      return &Domain.Domain;
  }
  return nullptr;
}

//! The server with the lowest recent average among those with spare capacity;
//! null if there is none.
const Server *spareServer(const ServiceLoad &Service,
                          std::span<Server *const> Servers, TimePoint Now,
                          RegionMask AllowedRegions) {
  const Server *Best = nullptr;
  for (const Server *Candidate : Servers)
    if (Now - Candidate->Load.SampledAt < SampleLifetime &&
        Candidate->Load.RecentMs < SpareRatio * Service.UnloadedMs &&
        (!Best || Candidate->Load.RecentMs < Best->Load.RecentMs) &&
        mayGetFlows(*Candidate, Now, AllowedRegions) &&
        Now >= Candidate->WarmupEndsAt)
      Best = Candidate;
  return Best;
}

} // namespace

double expectedMs(const DomainLoad &Domain, const ServiceLoad &Service,
                  TimePoint Now) {
  return Domain.RecentMs == 0 || Now - Domain.SampledAt > SampleLifetime
             ? Service.UnloadedMs
             : Domain.RecentMs;
}

double pressureOf(const DomainLoad &Domain, const ServiceLoad &Service,
                  TimePoint Now) {
  const double Ms = expectedMs(Domain, Service, Now);
  const double Ratio = Ms / Service.UnloadedMs;
  const double SlotsPerServer =
      Domain.Servers > 0 ? Domain.Slots / Domain.Servers : 1;
  const double Queued = (Ratio - 1) * SlotsPerServer / QueueCapacity;
  const double TimeShare =
      Ratio > QueueingRatio && Service.Timeout > Milliseconds(0)
          ? Ms / static_cast<double>(Service.Timeout.count())
          : 0;
  return std::clamp(std::max(Queued, TimeShare), 0.0, 1.0);
}

double refusedShare(const ServiceLoad &Service, RoutePriority Priority) {
  const auto Rank = std::find(Service.Priorities.begin(),
                              Service.Priorities.end(), Priority) -
                    Service.Priorities.begin();
  const double Effect = std::clamp((Service.Pressure - IdlePressure) /
                                       (FullEffectPressure - IdlePressure),
                                   0.0, 1.0);
  return Effect * std::clamp(Service.ShedLevel - static_cast<double>(Rank), 0.0,
                             MaxRefusedShare);
}

OverloadControl::OverloadControl(FailureDomainName OwnDomain,
                                 std::uint64_t RandomSeed)
    : OwnDomain(std::move(OwnDomain)), Random(RandomSeed),
      ReleasePace(0.5 + 0.5 * randomUnit(Random)) {}

void OverloadControl::setRoutes(const RouteTable &Routes) {
  boost::unordered_flat_map<std::string, ServiceLoad> Next;
  Routes.forEach([&](const Route &Each) {
    if (Each.TargetLatency == Milliseconds(0))
      return;
    Counters.RefusedByPriority.try_emplace(Each.Priority, 0);
    for (const WeightedService &Part : Each.Services) {
      const auto [Found, Inserted] = Next.try_emplace(Part.Service.value());
      ServiceLoad &Service = Found->second;
      if (Inserted)
        if (const auto Known = Services.find(Part.Service.value());
            Known != Services.end())
          Service = Known->second;
      if (Inserted) {
        Service.Priorities.clear();
        Service.Timeout = Milliseconds(0);
      }
      Service.Priorities.push_back(Each.Priority);
      if (Each.Timeout > Milliseconds(0))
        Service.Timeout = Service.Timeout == Milliseconds(0)
                              ? Each.Timeout
                              : std::min(Service.Timeout, Each.Timeout);
    }
  });
  for (auto &[Name, Service] : Next) {
    auto &Priorities = Service.Priorities;
    std::sort(Priorities.begin(), Priorities.end(), std::greater<>());
    Priorities.erase(std::unique(Priorities.begin(), Priorities.end()),
                     Priorities.end());
  }
  Services = std::move(Next);
}

void OverloadControl::recordResponse(Server &Target, Clock::duration Time,
                                     TimePoint Now, bool Rejected) {
  const auto Found = Services.find(Target.Record.Service.value());
  if (Found == Services.end())
    return;
  ServiceLoad &Service = Found->second;
  const bool Known = Service.Samples >= MinUnloadedSamples;
  const double LongestMs = MaxSampleRatio * Service.UnloadedMs;
  double SampleMs = std::max(milliseconds(Time), 0.1);
  if (Known)
    SampleMs = Rejected ? LongestMs : std::min(SampleMs, LongestMs);
  else if (Rejected)
    return;
  Target.Load.RecentMs = average(
      Now - Target.Load.SampledAt > SampleLifetime ? 0 : Target.Load.RecentMs,
      SampleMs, ServerSampleWeight);
  Target.Load.SampledAt = Now;
  // A cold server says nothing about the load of its domain.
  if (Now < Target.WarmupEndsAt || Target.State != Reachability::Reachable)
    return;
  DomainLoad &Domain = domainOf(Service, Target.Record.Domain);
  Domain.RecentMs = average(Domain.RecentMs, SampleMs, DomainSampleWeight);
  Domain.SampledAt = Now;
  learnUnloaded(Service, Domain, SampleMs);
  if (!Service.Queueing && Known &&
      Domain.RecentMs > QueueingRatio * Service.UnloadedMs) {
    Service.Queueing = true;
    Service.RefreshedAt = Now;
  }
}

LoadDecision OverloadControl::decide(const Route &Matched,
                                     const ServiceName &Name,
                                     std::span<Server *const> Servers,
                                     TimePoint Now, RegionMask AllowedRegions) {
  if (Matched.TargetLatency == Milliseconds(0))
    return {};
  const auto Found = Services.find(Name.value());
  if (Found == Services.end() || !Found->second.Queueing)
    return {};
  ServiceLoad &Service = Found->second;
  if (Now - Service.RefreshedAt >= RefreshInterval)
    refresh(Name, Service, Servers, OwnDomain, ReleasePace, Now);
  ++Service.Offered;
  const double Share = refusedShare(Service, Matched.Priority);
  if (Share > 0 && randomUnit(Random) < Share) {
    if (const Server *Spare =
            spareServer(Service, Servers, Now, AllowedRegions))
      return {.Spare = Spare};
    ++Service.Refused;
    ++Counters.RefusedByPriority[Matched.Priority];
    return {.Refuse = true};
  }
  if (Service.SpillShare > 0 && randomUnit(Random) < Service.SpillShare)
    return {.SpillTo = spillTarget(Service, Random)};
  return {};
}

double OverloadControl::peerMs(const Server &Target, TimePoint Now) const {
  const ServiceLoad *Service = loadOf(Target.Record.Service);
  if (!Service)
    return 0;
  for (const DomainLoad &Domain : Service->Domains)
    if (Domain.Domain == Target.Record.Domain)
      return expectedMs(Domain, *Service, Now);
  return Service->UnloadedMs;
}

void OverloadControl::recordPlacement(const LoadDecision &Decision,
                                      const Server &Chosen) {
  if ((Decision.SpillTo || Decision.Spare) && Chosen.Record.Domain != OwnDomain)
    ++Counters.FlowsSpilled;
}

const ServiceLoad *OverloadControl::loadOf(const ServiceName &Service) const {
  const auto Found = Services.find(Service.value());
  return Found == Services.end() ? nullptr : &Found->second;
}

} // namespace buckthorndeck::forwarding
