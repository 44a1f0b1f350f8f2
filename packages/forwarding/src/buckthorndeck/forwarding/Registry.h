#ifndef BUCKTHORNDECK_FORWARDING_REGISTRY_H
#define BUCKTHORNDECK_FORWARDING_REGISTRY_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/forwarding/Evacuations.h"
#include "buckthorndeck/forwarding/RouteTable.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::forwarding {

//! Registry entry of a server as of Position.
struct ServerChange {
  std::string Name;
  StorePosition Position;
  //! No value if the entry was removed or is not usable.
  std::optional<ServerRecord> Record;
};

//! Servers and configuration read from the platform's store or a snapshot.
struct RegistryChanges {
  std::vector<ServerChange> Servers;
  //! Entries that a peer saw removed, as they were before. Only in snapshots.
  std::vector<RegistryEntry> Removed;
  std::optional<RouteSet> Routes;
  //! Of failure domains, also those that were revoked.
  std::vector<EvacuationChange> Evacuations;
  //! False in messages of hosts that don't know evacuations.
  bool NamesEvacuations = true;
  //! Position of the whole store; later changes are missing.
  StorePosition AsOf;
  //! Includes events that change neither servers nor routes.
  std::size_t Events = 0;
  std::size_t Bytes = 0; //!< Size of the store's answer.
};

//! The keys that a complete read of the store found.
struct PresentKeys {
  std::vector<std::string> Servers;
  std::vector<FailureDomainName> Evacuations;
};

//! One page of the store's keys.
struct RegistryPage {
  RegistryChanges Changes;
  //! Start of the next page; no value on the last page.
  std::optional<std::string> Next;
};

/**
 * The calls to the platform's store that the packet path needs.
 *
 * Each makes one attempt. ErrorCode::Expired means that the store no longer has
 * the history since the given revision, TooLarge that the changes since then
 * don't fit into an answer that this host reads.
 */
struct RegistrySource {
  //! Reads servers and configuration. The first page is the one from "".
  std::function<Task<Expected<RegistryPage>>(std::string From)> ReadPage;
  //! Changes after a revision of the store's present era, which the answer
  //! names. Waits up to Wait for the first one.
  std::function<Task<Expected<RegistryChanges>>(StoreRevision After,
                                                Milliseconds Wait)>
      Watch;
  //! Name of the server that answers a health check at Address.
  std::function<Task<Expected<std::string>>(TcpEndpoint Address,
                                            std::string Path)>
      ReadServerName;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_REGISTRY_H
