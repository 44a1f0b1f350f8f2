#ifndef BUCKTHORNDECK_ROUTING_SERVICESERVERS_H
#define BUCKTHORNDECK_ROUTING_SERVICESERVERS_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/config/Objects.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

//! The backend servers of each service, as a host takes them from a
//! configuration.
namespace buckthorndeck::routing {

using EvacuatedDomains = std::set<FailureDomainName>;

//! A declared backend server with what its place says of it.
struct ServiceServer {
  config::BackendServer Declared;
  FailureDomainName FailureDomain;
  bool Evacuated = false;
};

using ServersByService = std::map<ObjectName, std::vector<ServiceServer>>;

EvacuatedDomains evacuatedDomains(const config::ObjectSet &Objects);

ServersByService groupByService(const config::ObjectSet &Objects,
                                const EvacuatedDomains &Evacuated);

/**
 * Reduces the servers to Limit by rendezvous hashing, so that hosts choose
 * different servers and a host's choice changes little when servers are added
 * or removed.
 *
 * Evacuated servers among the first Limit are kept with their connections, and
 * others take their places: a host must not refuse requests because all the
 * servers that it connects to are evacuated.
 */
void limitByRendezvousHash(std::vector<ServiceServer> &Servers,
                           const EntryHostName &Host, std::size_t Limit);

//! Whether there are servers and all are in evacuated failure domains.
bool areAllEvacuated(const std::vector<ServiceServer> &Servers);

//! Logs the failure domains whose evacuation started or ended.
void logChanges(const EvacuatedDomains &Before, const EvacuatedDomains &After);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_SERVICESERVERS_H
