#ifndef BUCKTHORNDECK_FORWARDING_REGISTRY_H
#define BUCKTHORNDECK_FORWARDING_REGISTRY_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/forwarding/Peers.h"
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

//! The store's entry of an entry host.
struct PeerChange {
  EntryHostName Name;
  std::optional<Peer> Entry; //!< No value: it is gone or unreadable.
};

//! What the platform's store says of servers and configuration.
struct RegistryChanges {
  std::vector<ServerChange> Servers;
  std::vector<PeerChange> Peers;
  std::optional<RouteSet> Routes;
  StoreRevision AsOf;     //!< Of the whole store; later changes are missing.
  std::size_t Events = 0; //!< Including those of no interest.
};

//! A lease of the store. Entries under it vanish when it ends.
struct StoreLease {
  std::uint64_t Id = 0;
  Milliseconds Lifetime{}; //!< From the arrival of the call at the store.
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
  std::function<Task<Expected<RegistryPage>>(std::string From)> readServers;
  std::function<Task<Expected<RegistryChanges>>()> readRoutes;
  //! Changes after a revision; waits up to Wait for the first.
  std::function<Task<Expected<RegistryChanges>>(StoreRevision After,
                                                Milliseconds Wait)>
      watch;
  std::function<Task<Expected<RegistryChanges>>()> readPeers;
  //! Makes the own entry known to peers for as long as the lease lasts.
  std::function<Task<Expected<StoreLease>>(Peer Self)> registerPeer;
  //! NotFound means that the lease has ended.
  std::function<Task<Expected<StoreLease>>(StoreLease Held)> renewLease;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_REGISTRY_H
