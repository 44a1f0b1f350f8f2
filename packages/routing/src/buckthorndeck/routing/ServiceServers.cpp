#include "buckthorndeck/routing/ServiceServers.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/base/Log.h"

#include <algorithm>

namespace buckthorndeck::routing {

EvacuatedDomains evacuatedDomains(const config::ObjectSet &Objects) {
  EvacuatedDomains Result;
  for (const auto &[Name, Declared] : Objects.Evacuations)
    Result.insert(Declared.FailureDomain);
  return Result;
}

ServersByService groupByService(const config::ObjectSet &Objects,
                                const EvacuatedDomains &Evacuated) {
  ServersByService Result;
  for (const auto &[Name, Server] : Objects.BackendServers) {
    const auto Place = Objects.Places.find(Server.Place);
    ServiceServer Next{.Declared = Server};
    if (Place != Objects.Places.end())
      Next.FailureDomain = Place->second.FailureDomain;
    Next.Evacuated = Evacuated.contains(Next.FailureDomain);
    Result[Server.Service].push_back(std::move(Next));
  }
  return Result;
}

void limitByRendezvousHash(std::vector<ServiceServer> &Servers,
                           const EntryHostName &Host, std::size_t Limit) {
  if (Servers.size() <= Limit)
    return;
  std::sort(Servers.begin(), Servers.end(),
            [&](const auto &Left, const auto &Right) {
              return rendezvousScore(Host.value(), Left.Declared.Name.value()) >
                     rendezvousScore(Host.value(), Right.Declared.Name.value());
            });
  std::size_t Position = 0;
  std::size_t InUse = 0;
  std::erase_if(Servers, [&](const ServiceServer &Server) {
    const bool Keep =
        Position++ < Limit || (!Server.Evacuated && InUse < Limit);
    InUse += Keep && !Server.Evacuated ? 1 : 0;
    return !Keep;
  });
}

bool areAllEvacuated(const std::vector<ServiceServer> &Servers) {
  return !Servers.empty() &&
         std::all_of(Servers.begin(), Servers.end(),
                     [](const ServiceServer &Each) { return Each.Evacuated; });
}

void logChanges(const EvacuatedDomains &Before, const EvacuatedDomains &After) {
  for (const FailureDomainName &Domain : After)
    if (!Before.contains(Domain))
      log(LogLevel::Info, "evacuation_started",
          {{"failure_domain", Domain.value()}});
  for (const FailureDomainName &Domain : Before)
    if (!After.contains(Domain))
      log(LogLevel::Info, "evacuation_ended",
          {{"failure_domain", Domain.value()}});
}

} // namespace buckthorndeck::routing
