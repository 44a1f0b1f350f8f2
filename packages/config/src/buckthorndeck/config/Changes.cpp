#include "buckthorndeck/config/Changes.h"

#include "buckthorndeck/config/internal/Kinds.h"

#include <set>

namespace buckthorndeck::config {

const char *toString(ChangeAction Action) {
  switch (Action) {
  case ChangeAction::Added:
    return "added";
  case ChangeAction::Changed:
    return "changed";
  case ChangeAction::Removed:
    return "removed";
  }
  return "changed";
}

std::vector<ObjectChange> changesBetween(const ObjectSet &Before,
                                         const ObjectSet &After) {
  std::vector<ObjectChange> Changes;
  forEachKindPair(
      Before, After,
      [&](const KindName &Kind, const auto &Old, const auto &New) {
        const auto Add = [&](const ObjectName &Name, ChangeAction Action) {
          Changes.push_back({.Object = {.Kind = Kind.Singular, .Name = Name},
                             .Action = Action});
        };
        for (const auto &[Name, Object] : New) {
          const auto Found = Old.find(Name);
          if (Found == Old.end())
            Add(Name, ChangeAction::Added);
          else if (!(Found->second == Object))
            Add(Name, ChangeAction::Changed);
        }
        for (const auto &[Name, Object] : Old)
          if (!New.contains(Name))
            Add(Name, ChangeAction::Removed);
      });
  return Changes;
}

std::vector<ObjectId> changedInBoth(const std::vector<ObjectChange> &First,
                                    const std::vector<ObjectChange> &Second) {
  std::set<ObjectId> InSecond;
  for (const ObjectChange &Change : Second)
    InSecond.insert(Change.Object);
  std::vector<ObjectId> Both;
  for (const ObjectChange &Change : First)
    if (InSecond.contains(Change.Object))
      Both.push_back(Change.Object);
  return Both;
}

} // namespace buckthorndeck::config
