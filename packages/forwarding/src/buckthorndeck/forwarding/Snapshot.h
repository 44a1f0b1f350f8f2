#ifndef BUCKTHORNDECK_FORWARDING_SNAPSHOT_H
#define BUCKTHORNDECK_FORWARDING_SNAPSHOT_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/forwarding/Registry.h"

namespace buckthorndeck::forwarding {

//! Encodes the registered servers, those that were removed a short time ago,
//! and the routes in force as of AsOf in CBOR, for a host that cannot read the
//! store or reads a copy of it.
Bytes encodeSnapshot(ServerDirectory &Servers, const RouteTable &Routes,
                     StorePosition AsOf, TimePoint Now);

//! Decodes a snapshot. Fails with ErrorCode::Invalid; Source is the name of the
//! snapshot provider, for error messages.
Expected<RegistryChanges> decodeSnapshot(ByteView Data,
                                         const std::string &Source);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_SNAPSHOT_H
