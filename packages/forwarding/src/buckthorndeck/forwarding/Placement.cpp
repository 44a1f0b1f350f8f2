#include "buckthorndeck/forwarding/Placement.h"

#include <algorithm>
#include <chrono>

namespace buckthorndeck::forwarding {

namespace {

//! A server whose entry vanished may be used this long when no other is left.
//! Servers that live register again within 2 s of the end of a store outage.
constexpr Milliseconds LatelyGoneTime{2000};
//! Work of a request on a server that is still in its slow start, relative to
//! a warm one.
constexpr double WarmupCost = 2.0;
//! Work on a server whose health check is under way, relative to others.
constexpr double DoubtCost = 10.0;
//! Stands for the response time of a server that has not answered yet.
constexpr double DefaultResponseMs = 30.0;
//! Share of the even share of slots below which a domain passes flows on.
constexpr double DomainRoomShare = 0.8;

bool wasTried(const Server &Known, const PlacementContext &Context) {
  return std::find(Context.Tried.begin(), Context.Tried.end(), Known.Token) !=
         Context.Tried.end();
}

bool isUsable(const Server &Known) {
  return Known.Registered && !Known.Record.Draining &&
         (Known.State == Reachability::Reachable ||
          Known.State == Reachability::Suspected);
}

bool isUnhealthy(const Server &Known) {
  return Known.Registered && !Known.Record.Draining &&
         Known.State == Reachability::Unhealthy;
}

bool isLatelyGone(const Server &Known, TimePoint Now) {
  return !Known.Registered && !Known.Record.Draining &&
         Known.State == Reachability::Reachable &&
         Now - Known.RemovedAt < LatelyGoneTime;
}

bool isSilent(const Server &Known) {
  return Known.Registered && !Known.Record.Draining &&
         Known.State == Reachability::Unresponsive;
}

//! Share of new flows that the own domain's usable servers can take: 1 while
//! they have enough of all usable slots, else in proportion.
double ownDomainShare(std::span<Server *const> Servers,
                      const PlacementContext &Context) {
  double Own = 0;
  double All = 0;
  for (const Server *Known : Servers) {
    if (!isUsable(*Known))
      continue;
    All += Known->Record.Slots;
    if (Known->Record.Domain == Context.Domain)
      Own += Known->Record.Slots;
  }
  if (All == 0)
    return 0;
  const double OfEvenShare =
      Own * static_cast<double>(Context.DomainCount) / All;
  return std::min(1.0, OfEvenShare / DomainRoomShare);
}

//! Cheapest server that Accept admits. Equal costs are resolved at random, so
//! that hosts with the same view do not all choose the same server.
template <typename Filter>
Server *cheapest(std::span<Server *const> Servers, TimePoint Now,
                 RandomEngine &Random, Filter Accept) {
  Server *Best = nullptr;
  double BestCost = 0;
  std::uint64_t Equal = 0;
  for (Server *Known : Servers) {
    if (!Accept(*Known))
      continue;
    const double Cost = placementCost(*Known, Now);
    if (Best && Cost > BestCost)
      continue;
    Equal = Best && Cost == BestCost ? Equal + 1 : 1;
    if (randomBelow(Random, Equal) == 0)
      Best = Known;
    BestCost = Cost;
  }
  return Best;
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
  case PlacementReason::LatelyGone:
    return "recently_removed";
  case PlacementReason::Unresponsive:
    return "silent";
  case PlacementReason::NoServer:
    return "no_server";
  }
  return "unknown";
}

double placementCost(const Server &Candidate, TimePoint Now) {
  const double Response =
      Candidate.ResponseMs == 0 ? DefaultResponseMs : Candidate.ResponseMs;
  const double Warmup = Now < Candidate.WarmAt ? WarmupCost : 1.0;
  const double Doubt =
      Candidate.State == Reachability::Suspected ? DoubtCost : 1.0;
  return (Candidate.Flows + 1) * Response * Warmup * Doubt /
         Candidate.Record.Slots;
}

Placement placeFlow(std::span<Server *const> Servers,
                    const PlacementContext &Context, RandomEngine &Random) {
  const TimePoint Now = Context.Now;
  const auto Choose = [&](auto Accept) {
    return cheapest(Servers, Now, Random, [&](const Server &Known) {
      return Accept(Known) && !wasTried(Known, Context);
    });
  };
  if (randomUnit(Random) < ownDomainShare(Servers, Context))
    if (Server *Found = Choose([&](const Server &Known) {
          return isUsable(Known) && Known.Record.Domain == Context.Domain;
        }))
      return {.Chosen = Found, .Reason = PlacementReason::OwnDomain};
  if (Server *Found = Choose(isUsable))
    return {.Chosen = Found, .Reason = PlacementReason::AnyDomain};
  if (Server *Found = Choose(isUnhealthy))
    return {.Chosen = Found, .Reason = PlacementReason::Unhealthy};
  if (Server *Found =
          Choose([&](const Server &Known) { return isLatelyGone(Known, Now); }))
    return {.Chosen = Found, .Reason = PlacementReason::LatelyGone};
  if (Server *Found = Choose(isSilent))
    return {.Chosen = Found, .Reason = PlacementReason::Unresponsive};
  return {};
}

} // namespace buckthorndeck::forwarding
