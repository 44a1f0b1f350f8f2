#ifndef BUCKTHORNDECK_FORWARDING_REGISTRY_H
#define BUCKTHORNDECK_FORWARDING_REGISTRY_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/forwarding/RouteTable.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::forwarding {

//! The registry entry of a server as of Revision.
struct ServerChange {
  std::string Name;
  StoreRevision Revision;
  //! No value: the entry is gone, or names no server that can be used.
  std::optional<ServerRecord> Record;
};

//! What the platform's store says of servers and configuration.
struct RegistryChanges {
  std::vector<ServerChange> Servers;
  std::optional<RouteSet> Routes;
  StoreRevision AsOf;     //!< Of the whole store; later changes are missing.
  std::size_t Events = 0; //!< Including those of no interest.
  std::size_t Bytes = 0;  //!< Size of the answer.
};

//! One page of all registry entries.
struct RegistryPage {
  RegistryChanges Changes;
  std::optional<std::string> Next; //!< Start of the next page, if any.
};

/**
 * The calls to the platform's store that the packet path needs.
 *
 * Each makes one attempt. Expired means that the history from a revision on is
 * no longer kept.
 */
struct RegistrySource {
  std::function<Task<Expected<RegistryPage>>(std::string From)> ReadServers;
  std::function<Task<Expected<RegistryChanges>>()> ReadRoutes;
  //! Changes after a revision; waits up to Wait for the first.
  std::function<Task<Expected<RegistryChanges>>(StoreRevision After,
                                                Milliseconds Wait)>
      Watch;
  //! The name of the server that answers a health check at an address.
  std::function<Task<Expected<std::string>>(TcpEndpoint Address,
                                            std::string Path)>
      ReadServerName;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_REGISTRY_H
