#include "buckthorndeck/config/ObjectId.h"

namespace buckthorndeck::config {

std::string describe(const ObjectId &Id) {
  return Id.Kind + " " + Id.Name.value();
}

std::string namespaceOf(const ObjectName &Name) {
  const std::size_t Slash = Name.value().find('/');
  return Slash == std::string::npos ? "" : Name.value().substr(0, Slash);
}

} // namespace buckthorndeck::config
