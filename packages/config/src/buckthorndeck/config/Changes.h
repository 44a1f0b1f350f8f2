#ifndef BUCKTHORNDECK_CONFIG_CHANGES_H
#define BUCKTHORNDECK_CONFIG_CHANGES_H

#include "buckthorndeck/config/ObjectId.h"

#include <vector>

namespace buckthorndeck::config {

struct ObjectSet;

enum class ChangeAction { Added, Changed, Removed };

const char *toString(ChangeAction Action);

struct ObjectChange {
  ObjectId Object;
  ChangeAction Action = ChangeAction::Changed;

  friend bool operator==(const ObjectChange &, const ObjectChange &) = default;
};

//! The changes that turn Before into After, by kind. Within a kind, added and
//! changed objects come before removed ones, each in the order of their names.
std::vector<ObjectChange> changesBetween(const ObjectSet &Before,
                                         const ObjectSet &After);

//! Objects that are in both lists, in the order of First.
std::vector<ObjectId> changedInBoth(const std::vector<ObjectChange> &First,
                                    const std::vector<ObjectChange> &Second);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_CHANGES_H
