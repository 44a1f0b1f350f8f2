#ifndef BUCKTHORNDECK_ENTRYHOST_SERVICETABLE_H
#define BUCKTHORNDECK_ENTRYHOST_SERVICETABLE_H

#include "buckthorndeck/base/Ids.h"

#include <string>
#include <unordered_map>

namespace buckthorndeck::config {
struct ObjectSet;
} // namespace buckthorndeck::config

namespace buckthorndeck::entryhost {

//! A service and the operations that its rules declare.
struct ServiceEntry {
  ObjectName Service;
  //! Whether each operation is idempotent, by the name of the operation.
  std::unordered_map<std::string, bool> Operations;
};

using ServiceTable = std::unordered_map<ServiceAddress, ServiceEntry>;

//! The services of a configuration, by the address that callers use.
ServiceTable makeServiceTable(const config::ObjectSet &Objects);

//! The service at an address; null if there is none.
const ServiceEntry *findService(const ServiceTable &Table,
                                const ServiceAddress &Address);

//! Whether the operation is declared for the service.
bool accepts(const ServiceEntry &Entry, const std::string &Operation);

//! Whether a request may be repeated: only if both the caller and the service's
//! rule declare it idempotent.
bool mayRepeat(const ServiceEntry *Entry, const std::string &Operation,
               bool CallerSaysIdempotent);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_SERVICETABLE_H
