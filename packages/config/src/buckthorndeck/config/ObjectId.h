#ifndef BUCKTHORNDECK_CONFIG_OBJECTID_H
#define BUCKTHORNDECK_CONFIG_OBJECTID_H

#include "buckthorndeck/base/Ids.h"

#include <string>
#include <tuple>

namespace buckthorndeck::config {

//! Kind and name of a declared object. Names are unique only within a kind.
struct ObjectId {
  std::string Kind; //!< For example "backend_server".
  ObjectName Name;

  friend bool operator==(const ObjectId &, const ObjectId &) = default;
  friend bool operator<(const ObjectId &First, const ObjectId &Second) {
    return std::tie(First.Kind, First.Name) <
           std::tie(Second.Kind, Second.Name);
  }
};

//! "kind namespace/name".
std::string describe(const ObjectId &Id);

//! The part of a name before the slash; empty if there is no slash.
std::string namespaceOf(const ObjectName &Name);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_OBJECTID_H
