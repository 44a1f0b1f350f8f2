#ifndef BUCKTHORNDECK_CONFIG_INTERNAL_KINDS_H
#define BUCKTHORNDECK_CONFIG_INTERNAL_KINDS_H

#include "buckthorndeck/config/Objects.h"

namespace buckthorndeck::config {

//! How a kind is called in messages and in files.
struct KindName {
  const char *Singular;
  const char *Plural;
};

//! Calls Visit(KindName, map of that kind) for every kind, in a fixed order.
template <typename Set, typename Visitor>
void forEachKind(Set &Objects, Visitor &&Visit) {
  Visit(KindName{"place", "places"}, Objects.Places);
  Visit(KindName{"service", "services"}, Objects.Services);
  Visit(KindName{"backend_server", "backend_servers"}, Objects.BackendServers);
  Visit(KindName{"rule", "rules"}, Objects.Rules);
  Visit(KindName{"entry_host_drain", "entry_host_drains"},
        Objects.EntryHostDrains);
}

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_INTERNAL_KINDS_H
