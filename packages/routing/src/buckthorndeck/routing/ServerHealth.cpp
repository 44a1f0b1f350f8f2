#include "buckthorndeck/routing/ServerHealth.h"

#include <algorithm>
#include <chrono>

namespace buckthorndeck::routing {

namespace {

constexpr std::uint32_t FailuresToEject = 5;
constexpr std::chrono::seconds FirstEjectionTime{2};
constexpr std::uint32_t MaxEjectionDoublings = 4;

} // namespace

void recordSuccess(ServerHealth &Health, TimePoint Now) {
  Health.ConsecutiveFailures = 0;
  // A success before UnhealthyUntil answers a request sent before the ejection
  // and does not show that the server has recovered.
  if (Now >= Health.UnhealthyUntil)
    Health.Ejections = 0;
}

bool recordFailure(ServerHealth &Health, TimePoint Now, RandomEngine &Random) {
  ++Health.ConsecutiveFailures;
  if (Health.ConsecutiveFailures < FailuresToEject ||
      Now < Health.UnhealthyUntil)
    return false;
  const auto Doublings = std::min(Health.Ejections, MaxEjectionDoublings);
  const auto NominalTime = FirstEjectionTime * (1U << Doublings);
  const double Jitter = 0.75 + 0.5 * randomUnit(Random);
  ++Health.Ejections;
  Health.UnhealthyUntil =
      Now + std::chrono::duration_cast<Clock::duration>(NominalTime * Jitter);
  return true;
}

std::vector<bool> ejectedServers(std::span<const ServerHealth *const> Servers,
                                 TimePoint Now) {
  std::vector<bool> Ejected(Servers.size(), false);
  std::vector<std::size_t> Unhealthy;
  for (std::size_t Index = 0; Index < Servers.size(); ++Index)
    if (Servers[Index]->UnhealthyUntil > Now)
      Unhealthy.push_back(Index);
  if (2 * Unhealthy.size() > Servers.size())
    return Ejected;
  const auto Count = static_cast<std::ptrdiff_t>(
      std::min(Unhealthy.size(), Servers.size() / 3));
  std::partial_sort(Unhealthy.begin(), Unhealthy.begin() + Count,
                    Unhealthy.end(), [&](std::size_t Left, std::size_t Right) {
                      return Servers[Left]->UnhealthyUntil >
                             Servers[Right]->UnhealthyUntil;
                    });
  for (std::ptrdiff_t Position = 0; Position < Count; ++Position)
    Ejected[Unhealthy[Position]] = true;
  return Ejected;
}

} // namespace buckthorndeck::routing
