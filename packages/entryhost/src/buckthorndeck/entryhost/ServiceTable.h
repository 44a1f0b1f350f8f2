#ifndef BUCKTHORNDECK_ENTRYHOST_SERVICETABLE_H
#define BUCKTHORNDECK_ENTRYHOST_SERVICETABLE_H

#include "buckthorndeck/base/Ids.h"

#include <string>
#include <unordered_map>

namespace buckthorndeck::config {
struct ObjectSet;
} // namespace buckthorndeck::config

namespace buckthorndeck::entryhost {

//! What a host needs to know of one service to accept its requests.
struct ServiceEntry {
  ObjectName Service;
  //! Operation to whether it is idempotent.
  std::unordered_map<std::string, bool> Operations;
};

using ServiceTable = std::unordered_map<ServiceAddress, ServiceEntry>;

//! Index of a configuration's services by the address that callers use.
ServiceTable makeServiceTable(const config::ObjectSet &Objects);

//! The entry of an address; null if there is none.
const ServiceEntry *findService(const ServiceTable &Table,
                                const ServiceAddress &Address);

//! Whether the operation is declared for the service.
bool accepts(const ServiceEntry &Entry, const std::string &Operation);

//! Whether a request may be repeated: only if both the caller and the
//! service's rule say so.
bool mayRepeat(const ServiceEntry *Entry, const std::string &Operation,
               bool CallerSaysIdempotent);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_SERVICETABLE_H
