#ifndef BUCKTHORNDECK_FORWARDING_RELAYEDCHANGES_H
#define BUCKTHORNDECK_FORWARDING_RELAYEDCHANGES_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/forwarding/Registry.h"

#include <string_view>

namespace buckthorndeck::forwarding {

//! What a host already has when it asks a relay for changes.
struct ChangeQuery {
  StoreRevision After;
  ConfigVersion Config;
};

//! The target of the HTTP request for the changes after Query.
std::string changesTarget(const ChangeQuery &Query);
//! Reads such a target. No value if Target is not one.
std::optional<ChangeQuery> parseChangesTarget(std::string_view Target);

//! Changes that a relay passes on.
struct RelayedChanges {
  RegistryChanges Changes;
  //! The store had no change after Changes.AsOf at most this long ago.
  Milliseconds Age{0};
};

//! Encodes in CBOR what is newer than Query; the routes only if their version
//! is higher than Query's.
Bytes encodeChanges(ServerDirectory &Servers, const RouteTable &Routes,
                    const ChangeQuery &Query, StoreRevision AsOf,
                    Milliseconds Age, TimePoint Now);

//! Fails with ErrorCode::Invalid. Source is the relay's name, for error
//! messages.
Expected<RelayedChanges> decodeChanges(ByteView Data,
                                       const std::string &Source);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_RELAYEDCHANGES_H
