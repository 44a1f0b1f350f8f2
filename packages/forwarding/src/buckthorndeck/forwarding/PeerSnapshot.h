#ifndef BUCKTHORNDECK_FORWARDING_PEERSNAPSHOT_H
#define BUCKTHORNDECK_FORWARDING_PEERSNAPSHOT_H

#include "buckthorndeck/forwarding/Peers.h"
#include "buckthorndeck/forwarding/Registry.h"

namespace buckthorndeck::forwarding {

//! Path of the HTTP request for a host's snapshot.
inline constexpr const char *SnapshotPath = "/snapshot";

//! Reads the snapshot of Provider. A failure is logged.
Task<std::optional<RegistryChanges>> readSnapshot(Peer Provider);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_PEERSNAPSHOT_H
