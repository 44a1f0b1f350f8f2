#include "buckthorndeck/routing/Selection.h"

#include <algorithm>
#include <vector>

namespace buckthorndeck::routing {

namespace {

//! A waiting request tries again after this time even if no server backs off.
constexpr Milliseconds MaxQueueRetryInterval{100};

std::vector<std::size_t> eligibleServers(std::span<const Candidate> Servers,
                                         TimePoint Now) {
  std::vector<std::size_t> Eligible;
  for (std::size_t Index = 0; Index < Servers.size(); ++Index)
    if (isEligible(Servers[Index], Now))
      Eligible.push_back(Index);
  return Eligible;
}

//! Reduces Indices to two of its elements, chosen at random.
void keepTwoAtRandom(std::vector<std::size_t> &Indices, RandomEngine &Random) {
  for (std::size_t Position = 0; Position < 2; ++Position)
    std::swap(
        Indices[Position],
        Indices[Position + randomBelow(Random, Indices.size() - Position)]);
  Indices.resize(2);
}

//! The index with the lowest score. Ties are broken at random, so that hosts
//! with equal scores do not all choose the same server.
std::size_t lowestScore(std::span<const Candidate> Servers,
                        std::span<const std::size_t> Indices, TimePoint Now,
                        RandomEngine &Random) {
  std::size_t Best = Indices[0];
  double BestScore = score(*Servers[Best].Load, Now);
  std::uint64_t Equal = 1;
  for (const std::size_t Index : Indices.subspan(1)) {
    const double Score = score(*Servers[Index].Load, Now);
    if (Score > BestScore)
      continue;
    Equal = Score < BestScore ? 1 : Equal + 1;
    if (randomBelow(Random, Equal) == 0)
      Best = Index;
    BestScore = Score;
  }
  return Best;
}

} // namespace

const char *toString(Ineligibility Reason) {
  switch (Reason) {
  case Ineligibility::None:
    return "none";
  case Ineligibility::Evacuated:
    return "evacuated";
  case Ineligibility::NotConnected:
    return "not_connected";
  case Ineligibility::Draining:
    return "draining";
  case Ineligibility::Ejected:
    return "ejected";
  case Ineligibility::SlotsFull:
    return "slots_full";
  case Ineligibility::BackingOff:
    return "backing_off";
  }
  return "none";
}

Ineligibility ineligibility(const Candidate &Server, TimePoint Now) {
  const ServerLoad &Load = *Server.Load;
  if (Load.Evacuated)
    return Ineligibility::Evacuated;
  if (!Load.Connected)
    return Ineligibility::NotConnected;
  if (Load.Draining)
    return Ineligibility::Draining;
  if (Server.Ejected)
    return Ineligibility::Ejected;
  if (Load.InFlight >= Load.Slots)
    return Ineligibility::SlotsFull;
  return Now < Load.BackOffUntil ? Ineligibility::BackingOff
                                 : Ineligibility::None;
}

bool isEligible(const Candidate &Server, TimePoint Now) {
  return ineligibility(Server, Now) == Ineligibility::None;
}

double score(const ServerLoad &Load, TimePoint Now) {
  const double Requests = Load.InFlight + otherHostsLoad(Load, Now) + 1;
  const double TimePerSlot = Requests * expectedServiceTime(Load) / Load.Slots;
  return (usagePerSlot(Load, Now) + TimePerSlot) / slowStartShare(Load, Now);
}

std::optional<std::size_t> chooseServer(std::span<const Candidate> Servers,
                                        config::Objective Goal,
                                        std::optional<std::size_t> Preferred,
                                        TimePoint Now, RandomEngine &Random) {
  const bool KeepsAffinity = Goal == config::Objective::Continuity;
  if (KeepsAffinity && Preferred && isEligible(Servers[*Preferred], Now))
    return Preferred;
  std::vector<std::size_t> Eligible = eligibleServers(Servers, Now);
  if (Eligible.empty())
    return std::nullopt;
  if (KeepsAffinity && Eligible.size() > 2)
    keepTwoAtRandom(Eligible, Random);
  return lowestScore(Servers, Eligible, Now, Random);
}

double meanUsagePerSlot(std::span<const Candidate> Servers, TimePoint Now) {
  double Sum = 0;
  std::size_t Connected = 0;
  for (const Candidate &Server : Servers) {
    if (!Server.Load->Connected || Server.Load->Evacuated)
      continue;
    Sum += usagePerSlot(*Server.Load, Now);
    ++Connected;
  }
  return Connected == 0 ? 0 : Sum / static_cast<double>(Connected);
}

double meanServiceTime(std::span<const Candidate> Servers) {
  double Sum = 0;
  std::size_t Answered = 0;
  for (const Candidate &Server : Servers) {
    if (!Server.Load->Connected || Server.Load->ServiceTimeMs == 0)
      continue;
    Sum += Server.Load->ServiceTimeMs;
    ++Answered;
  }
  return Answered == 0 ? 0 : Sum / static_cast<double>(Answered);
}

TimePoint nextAttemptTime(std::span<const Candidate> Servers, TimePoint Now) {
  TimePoint Next = Now + MaxQueueRetryInterval;
  for (const Candidate &Server : Servers) {
    const TimePoint BackOffEnd = Server.Load->BackOffUntil;
    if (BackOffEnd > Now && isEligible(Server, BackOffEnd))
      Next = std::min(Next, BackOffEnd);
  }
  return Next;
}

} // namespace buckthorndeck::routing
