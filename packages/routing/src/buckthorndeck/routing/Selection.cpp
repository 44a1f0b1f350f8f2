#include "buckthorndeck/routing/Selection.h"

#include <vector>

namespace buckthorndeck::routing {

namespace {

std::vector<std::size_t> eligibleServers(std::span<const Candidate> Servers,
                                         TimePoint Now) {
  std::vector<std::size_t> Eligible;
  for (std::size_t Index = 0; Index < Servers.size(); ++Index)
    if (isEligible(Servers[Index], Now))
      Eligible.push_back(Index);
  return Eligible;
}

//! Moves two random entries to the front and drops the others.
void keepTwo(std::vector<std::size_t> &Indices, RandomEngine &Random) {
  for (std::size_t Place = 0; Place < 2; ++Place)
    std::swap(Indices[Place],
              Indices[Place + randomBelow(Random, Indices.size() - Place)]);
  Indices.resize(2);
}

//! The index with the lowest score. Equal scores are resolved at random, so
//! that hosts with the same view do not all choose the same server.
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

bool isEligible(const Candidate &Server, TimePoint Now) {
  const ServerLoad &Load = *Server.Load;
  return Load.Connected && !Load.Draining && !Server.Ejected &&
         Load.InFlight < Load.Slots && Now >= Load.HoldUntil;
}

double score(const ServerLoad &Load, TimePoint Now) {
  const double Requests = Load.InFlight + otherHostsLoad(Load, Now) + 1;
  return Requests * expectedServiceTime(Load) / Load.Slots /
         slowStartShare(Load, Now);
}

std::optional<std::size_t> chooseServer(std::span<const Candidate> Servers,
                                        config::Objective Goal,
                                        std::optional<std::size_t> Preferred,
                                        TimePoint Now, RandomEngine &Random) {
  const bool KeepsServer = Goal == config::Objective::Continuity;
  if (KeepsServer && Preferred && isEligible(Servers[*Preferred], Now))
    return Preferred;
  std::vector<std::size_t> Eligible = eligibleServers(Servers, Now);
  if (Eligible.empty())
    return std::nullopt;
  if (KeepsServer && Eligible.size() > 2)
    keepTwo(Eligible, Random);
  return lowestScore(Servers, Eligible, Now, Random);
}

} // namespace buckthorndeck::routing
