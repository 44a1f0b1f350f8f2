#ifndef BUCKTHORNDECK_BASE_IDS_H
#define BUCKTHORNDECK_BASE_IDS_H

#include "buckthorndeck/base/StrongType.h"

#include <cstdint>
#include <string>

namespace buckthorndeck {

//! Name of an entry host, unique in the fleet.
using EntryHostName = StrongType<struct EntryHostNameTag, std::string>;
//! Name of a failure domain, unique in the fleet.
using FailureDomainName = StrongType<struct FailureDomainNameTag, std::string>;
//! Name of a region, unique in the fleet.
using RegionName = StrongType<struct RegionNameTag, std::string>;
//! Full name of a declared object: "namespace/name".
using ObjectName = StrongType<struct ObjectNameTag, std::string>;
//! Address that callers send to: "a.b.c.d:port".
using ServiceAddress = StrongType<struct ServiceAddressTag, std::string>;
//! Flow of one caller, chosen at random by the caller.
using FlowId = StrongType<struct FlowIdTag, std::uint64_t>;
//! Number of a request or an event within its flow.
using Sequence = StrongType<struct SequenceTag, std::uint64_t>;
//! Start time of an entry host process, in ms since the Unix epoch. A restart
//! at the same address has a higher incarnation.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
//! Generation of a backend server, raised by operators when its address is
//! given to another server.
using Generation = StrongType<struct GenerationTag, std::uint64_t>;
//! Version of the published configuration; 0 stands for none.
using ConfigVersion = StrongType<struct ConfigVersionTag, std::uint64_t>;
//! XXH3-64 digest.
using Digest = StrongType<struct DigestTag, std::uint64_t>;

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_IDS_H
