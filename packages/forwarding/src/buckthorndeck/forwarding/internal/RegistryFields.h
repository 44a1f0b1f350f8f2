#ifndef BUCKTHORNDECK_FORWARDING_INTERNAL_REGISTRYFIELDS_H
#define BUCKTHORNDECK_FORWARDING_INTERNAL_REGISTRYFIELDS_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/forwarding/Registry.h"

//! Encoding of servers and routes in messages between entry hosts.
//!
//! Decoders fail with ErrorCode::Invalid. Step and Source, the name of the host
//! that encoded the message, appear in the error.
namespace buckthorndeck::forwarding {

Json encodeServer(const Server &Backend, TimePoint Now);
Expected<ServerChange> decodeServer(const Json &Value, const std::string &Step,
                                    const std::string &Source);

Json encodeRoutes(const RouteTable &Routes);
Expected<RouteSet> decodeRoutes(const Json &Value, const std::string &Step,
                                const std::string &Source);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_INTERNAL_REGISTRYFIELDS_H
