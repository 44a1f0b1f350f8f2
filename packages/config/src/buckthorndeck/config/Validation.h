#ifndef BUCKTHORNDECK_CONFIG_VALIDATION_H
#define BUCKTHORNDECK_CONFIG_VALIDATION_H

#include "buckthorndeck/config/ObjectId.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace buckthorndeck::config {

struct ObjectSet;

//! One mistake in a declared configuration.
struct ConfigError {
  std::string File;   //!< Empty if the set did not come from files.
  std::string Object; //!< "kind namespace/name"; empty for a whole file.
  std::string Field;  //!< Empty if the object as a whole is wrong.
  std::string Message;
};

//! "file: object: field: message", without the parts that are empty.
std::string describe(const ConfigError &Mistake);

//! File that declares each object.
using ObjectSources = std::map<ObjectId, std::string>;

//! Parts of a declaration that are too malformed to be in the set. What only
//! seems to be missing because of them is not reported.
struct UnreadParts {
  std::set<ObjectId> Objects;
  bool WholeFiles = false; //!< Files whose objects are not known at all.
};

/**
 * Checks a whole set and returns every mistake, in the order of the kinds.
 *
 * References go from servers and rules to places and services and never back,
 * so they cannot form a cycle and none is searched for.
 */
std::vector<ConfigError> validate(const ObjectSet &Objects,
                                  const ObjectSources &Sources = {},
                                  const UnreadParts &Unread = {});

//! Lower-case letters, digits and hyphens, 1 to 63 characters, no hyphen at
//! either end.
bool isValidName(const std::string &Name);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_VALIDATION_H
