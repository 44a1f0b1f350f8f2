#include "buckthorndeck/forwarding/Placement.h"

#include "buckthorndeck/forwarding/SlowStart.h"

#include <algorithm>
#include <chrono>

namespace buckthorndeck::forwarding {

namespace {

//! For this long a server whose registry entry was removed may get new flows if
//! no registered one is usable. Running servers register again within 2 s of
//! the end of a store outage.
constexpr Milliseconds RecentlyRemovedTime{2000};
//! Cost of a request during slow start, relative to a warm server.
constexpr double WarmupCostFactor = 2.0;
//! Cost on a suspected server, relative to others.
constexpr double SuspectedCostFactor = 10.0;
//! Least response time that is assumed for a server before its first response.
constexpr double MinUnknownResponseMs = 30.0;
//! A domain with this part of its even share of all slots still keeps all of
//! its new flows.
constexpr double FullDomainShare = 0.8;

bool wasTried(const Server &Candidate, const PlacementContext &Context) {
  return std::find(Context.Tried.begin(), Context.Tried.end(),
                   Candidate.Token) != Context.Tried.end();
}

bool isUsable(const Server &Candidate) {
  return Candidate.Registered && !Candidate.Record.Draining &&
         (Candidate.State == Reachability::Reachable ||
          Candidate.State == Reachability::Suspected);
}

bool isUnhealthy(const Server &Candidate) {
  return Candidate.Registered && !Candidate.Record.Draining &&
         Candidate.State == Reachability::Unhealthy;
}

bool isRecentlyRemoved(const Server &Candidate, TimePoint Now) {
  return !Candidate.Registered && !Candidate.Superseded &&
         !Candidate.Record.Draining &&
         Candidate.State == Reachability::Reachable &&
         Now - Candidate.RemovedAt < RecentlyRemovedTime &&
         Now < Candidate.FallbackUntil;
}

bool isUnresponsive(const Server &Candidate) {
  return Candidate.Registered && !Candidate.Record.Draining &&
         Candidate.State == Reachability::Unresponsive;
}

//! What the usable and eligible servers of a service have together.
struct ServiceSummary {
  double OwnSlots = 0; //!< Slots in this host's failure domain.
  double AllSlots = 0;
  //! Response time to assume for a server without a response.
  double UnknownResponseMs = MinUnknownResponseMs;
};

ServiceSummary summarize(std::span<Server *const> Servers,
                         const PlacementContext &Context) {
  ServiceSummary Result;
  double ResponseSum = 0;
  double ResponseCount = 0;
  for (const Server *Candidate : Servers) {
    if (!isUsable(*Candidate) ||
        ineligibility(*Candidate, Context.Now, Context.AllowedRegions) !=
            Ineligibility::None)
      continue;
    Result.AllSlots += Candidate->Record.Slots;
    if (Candidate->Record.Domain == Context.Domain)
      Result.OwnSlots += Candidate->Record.Slots;
    ResponseSum += Candidate->ResponseMs;
    ResponseCount += Candidate->ResponseMs > 0 ? 1 : 0;
  }
  if (ResponseCount > 0)
    Result.UnknownResponseMs =
        std::max(MinUnknownResponseMs, ResponseSum / ResponseCount);
  return Result;
}

//! Share of new flows that stay in this host's failure domain: 1 if its servers
//! have at least FullDomainShare of an even share of the usable slots,
//! otherwise in proportion.
double ownDomainShare(const ServiceSummary &Service, std::size_t DomainCount) {
  if (Service.AllSlots == 0)
    return 0;
  const double EvenShareRatio =
      Service.OwnSlots * static_cast<double>(DomainCount) / Service.AllSlots;
  return std::min(1.0, EvenShareRatio / FullDomainShare);
}

//! Server with the lowest cost that Accept admits. Equal costs are decided at
//! random, so that hosts with the same state do not all choose the same server.
template <typename Filter>
Server *cheapest(std::span<Server *const> Servers, double UnknownResponseMs,
                 const PlacementContext &Context, RandomEngine &Random,
                 Filter Accept) {
  Server *Best = nullptr;
  double BestCost = 0;
  std::uint64_t EqualCount = 0;
  for (Server *Candidate : Servers) {
    if (!Accept(*Candidate))
      continue;
    const double Cost = placementCost(*Candidate, UnknownResponseMs,
                                      Context.Now, Context.AdaptiveSlowStart);
    if (Best && Cost > BestCost)
      continue;
    EqualCount = Best && Cost == BestCost ? EqualCount + 1 : 1;
    if (randomBelow(Random, EqualCount) == 0)
      Best = Candidate;
    BestCost = Cost;
  }
  return Best;
}

PlacementReason domainReason(const Server &Chosen,
                             const PlacementContext &Context) {
  return Chosen.Record.Domain == Context.Domain ? PlacementReason::OwnDomain
                                                : PlacementReason::AnyDomain;
}

} // namespace

const char *toString(PlacementReason Reason) {
  switch (Reason) {
  case PlacementReason::OwnDomain:
    return "own_domain";
  case PlacementReason::AnyDomain:
    return "any_domain";
  case PlacementReason::Unhealthy:
    return "unhealthy";
  case PlacementReason::RecentlyRemoved:
    return "recently_removed";
  case PlacementReason::Unresponsive:
    return "silent";
  case PlacementReason::NoServer:
    return "no_server";
  }
  return "unknown";
}

double placementCost(const Server &Candidate, double UnknownResponseMs,
                     TimePoint Now, bool AdaptiveSlowStart) {
  double ResponseMs =
      Candidate.ResponseMs == 0 ? UnknownResponseMs : Candidate.ResponseMs;
  double WarmupFactor = Now < Candidate.WarmupEndsAt ? WarmupCostFactor : 1.0;
  if (AdaptiveSlowStart) {
    WarmupFactor = 1.0;
    if (Candidate.Pace.Active) [[unlikely]] {
      WarmupFactor = slowStartFactor(Candidate.Pace, Now);
      if (paceIsStale(Candidate.Pace, Now))
        ResponseMs = UnknownResponseMs;
    }
  }
  const double SuspicionFactor =
      Candidate.State == Reachability::Suspected ? SuspectedCostFactor : 1.0;
  return (Candidate.Flows + 1) * ResponseMs * WarmupFactor * SuspicionFactor *
         Candidate.Outlier.CostFactor / Candidate.Record.Slots;
}

Placement placeFlow(std::span<Server *const> Servers,
                    const PlacementContext &Context, RandomEngine &Random) {
  const TimePoint Now = Context.Now;
  const RegionMask Allowed = Context.AllowedRegions;
  const ServiceSummary Service = summarize(Servers, Context);
  Ineligibility Excluded = Ineligibility::None;
  const auto ChooseFrom = [&](auto Accept) {
    return cheapest(Servers, Service.UnknownResponseMs, Context, Random,
                    [&](const Server &Candidate) {
                      if (!Accept(Candidate) || wasTried(Candidate, Context))
                        return false;
                      const Ineligibility Reason =
                          ineligibility(Candidate, Now, Allowed);
                      Excluded = std::max(Excluded, Reason);
                      return Reason == Ineligibility::None;
                    });
  };
  if (Context.Spare)
    if (Server *Found = ChooseFrom([&](const Server &Candidate) {
          return &Candidate == Context.Spare && isUsable(Candidate);
        }))
      return {.Chosen = Found, .Reason = domainReason(*Found, Context)};
  if (Context.SpillTo)
    if (Server *Found = ChooseFrom([&](const Server &Candidate) {
          return isUsable(Candidate) &&
                 Candidate.Record.Domain == *Context.SpillTo;
        }))
      return {.Chosen = Found, .Reason = domainReason(*Found, Context)};
  if (randomUnit(Random) < ownDomainShare(Service, Context.DomainCount))
    if (Server *Found = ChooseFrom([&](const Server &Candidate) {
          return isUsable(Candidate) &&
                 Candidate.Record.Domain == Context.Domain;
        }))
      return {.Chosen = Found,
              .Reason = PlacementReason::OwnDomain,
              .Excluded = Excluded};
  if (Server *Found = ChooseFrom(isUsable))
    return {.Chosen = Found,
            .Reason = PlacementReason::AnyDomain,
            .Excluded = Excluded};
  if (Server *Found = ChooseFrom(isUnhealthy))
    return {.Chosen = Found,
            .Reason = PlacementReason::Unhealthy,
            .Excluded = Excluded};
  if (Server *Found = ChooseFrom([&](const Server &Candidate) {
        return isRecentlyRemoved(Candidate, Now);
      }))
    return {.Chosen = Found,
            .Reason = PlacementReason::RecentlyRemoved,
            .Excluded = Excluded};
  if (Server *Found = ChooseFrom(isUnresponsive))
    return {.Chosen = Found,
            .Reason = PlacementReason::Unresponsive,
            .Excluded = Excluded};
  return {.Excluded = Excluded};
}

} // namespace buckthorndeck::forwarding
