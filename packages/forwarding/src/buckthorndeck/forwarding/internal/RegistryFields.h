#ifndef BUCKTHORNDECK_FORWARDING_INTERNAL_REGISTRYFIELDS_H
#define BUCKTHORNDECK_FORWARDING_INTERNAL_REGISTRYFIELDS_H

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/forwarding/Registry.h"

#include <optional>
#include <utility>
#include <vector>

//! Encoding of servers and routes in messages between entry hosts.
//!
//! Decoders fail with ErrorCode::Invalid. Step and Source, the name of the host
//! that encoded the message, appear in the error.
namespace buckthorndeck::forwarding {

//! Decodes each element of List, and adds it to Result. Returns the first
//! error.
template <typename Element, typename Decoder>
std::optional<Error> decodeElements(const Json &List, Decoder Decode,
                                    std::vector<Element> &Result) {
  for (const Json &Value : List) {
    auto Decoded = Decode(Value);
    if (!Decoded)
      return Decoded.error();
    Result.push_back(std::move(*Decoded));
  }
  return std::nullopt;
}

//! The era in Value; no value if a host of an earlier version sent it. A bad
//! one is recorded as a failure of Fields.
std::optional<StoreEra> readEra(FieldReader &Fields, const Json &Value);

Json encodeEntry(const RegistryEntry &Entry, Milliseconds WarmupLeft);
Json encodeServer(const Server &Backend, TimePoint Now);
//! Decodes a list of servers and adds them to Result. A server that names no
//! era has an entry of Era. A server that this host can't use is logged and
//! hides no other: the host that sent it may have other rules for them.
void decodeServers(const Json &List, const std::string &Step,
                   const std::string &Source, StoreEra Era,
                   std::vector<ServerChange> &Result);

Json encodeEvacuation(const EvacuationChange &Known);
//! Decodes the evacuations in Message into Result, and whether it names any.
//! Returns an error if they can't be read: a host that left one out would send
//! flows there.
std::optional<Error> decodeEvacuations(const Json &Message,
                                       const std::string &Step,
                                       const std::string &Source,
                                       RegistryChanges &Result);

Json encodeRoutes(const RouteTable &Routes);
Expected<RouteSet> decodeRoutes(const Json &Value, const std::string &Step,
                                const std::string &Source);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_INTERNAL_REGISTRYFIELDS_H
