#ifndef BUCKTHORNDECK_FORWARDING_RELAYEDCHANGES_H
#define BUCKTHORNDECK_FORWARDING_RELAYEDCHANGES_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/forwarding/Registry.h"

#include <string_view>

namespace buckthorndeck::forwarding {

//! What a host already has when it asks a relay for changes.
struct ChangeQuery {
  //! Taken as one of the relay's era; the answer names that era, so that a host
  //! with a view of another one notices.
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
  //! False if the relay has an earlier version that doesn't know eras.
  bool NamesEra = false;
};

//! Encodes in CBOR what is newer than Query; the routes only if their version
//! is higher than Query's.
Bytes encodeChanges(ServerDirectory &Servers, const RouteTable &Routes,
                    const ChangeQuery &Query, StorePosition AsOf,
                    Milliseconds Age, TimePoint Now);

//! Encodes in CBOR the era of a relay that refuses a query.
Bytes encodeRefusal(StoreEra Era);
//! The era of a relay that refused; no value if Data names none.
std::optional<StoreEra> decodeRefusal(ByteView Data);

//! Fails with ErrorCode::Invalid. Source is the relay's name, for error
//! messages.
Expected<RelayedChanges> decodeChanges(ByteView Data,
                                       const std::string &Source);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_RELAYEDCHANGES_H
