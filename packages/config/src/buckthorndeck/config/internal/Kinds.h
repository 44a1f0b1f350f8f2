#ifndef BUCKTHORNDECK_CONFIG_INTERNAL_KINDS_H
#define BUCKTHORNDECK_CONFIG_INTERNAL_KINDS_H

#include "buckthorndeck/config/Objects.h"

namespace buckthorndeck::config {

//! Name of a kind of object: singular in messages, plural as a key in files.
struct KindName {
  const char *Singular;
  const char *Plural;
  //! The stored form leaves the kind out while it has no objects. True for
  //! kinds that earlier versions do not know, so that they compute the same
  //! digest of a set without such objects.
  bool OmittedIfEmpty = false;
};

//! Calls Visit(KindName, map of First, map of Second) for every kind, always in
//! the same order.
template <typename FirstSet, typename SecondSet, typename Visitor>
void forEachKindPair(FirstSet &First, SecondSet &Second, Visitor &&Visit) {
  Visit(KindName{"place", "places"}, First.Places, Second.Places);
  Visit(KindName{"service", "services"}, First.Services, Second.Services);
  Visit(KindName{"backend_server", "backend_servers"}, First.BackendServers,
        Second.BackendServers);
  Visit(KindName{"rule", "rules"}, First.Rules, Second.Rules);
  Visit(KindName{"entry_host_drain", "entry_host_drains"},
        First.EntryHostDrains, Second.EntryHostDrains);
  Visit(KindName{.Singular = "evacuation",
                 .Plural = "evacuations",
                 .OmittedIfEmpty = true},
        First.Evacuations, Second.Evacuations);
}

//! Calls Visit(KindName, map) for every kind, in the order of
//! forEachKindPair().
template <typename Set, typename Visitor>
void forEachKind(Set &Objects, Visitor &&Visit) {
  forEachKindPair(
      Objects, Objects,
      [&](const KindName &Kind, auto &Map, auto &) { Visit(Kind, Map); });
}

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_INTERNAL_KINDS_H
