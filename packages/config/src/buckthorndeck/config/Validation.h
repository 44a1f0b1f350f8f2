#ifndef BUCKTHORNDECK_CONFIG_VALIDATION_H
#define BUCKTHORNDECK_CONFIG_VALIDATION_H

#include "buckthorndeck/config/ObjectId.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace buckthorndeck::config {

struct ObjectSet;

//! One error in a declared configuration.
struct ConfigError {
  std::string File;   //!< Empty if the set did not come from files.
  std::string Object; //!< "kind namespace/name"; empty for a whole file.
  std::string Field;  //!< Empty if the object as a whole is wrong.
  std::string Message;
};

//! "file: object: field: message"; empty parts are omitted.
std::string describe(const ConfigError &Mistake);

//! The file in which each object is declared.
using ObjectSources = std::map<ObjectId, std::string>;

//! Declared objects and files that could not be read. Validation reports no
//! object as missing that may be among them.
struct UnreadParts {
  std::set<ObjectId> Objects;
  bool WholeFiles = false; //!< Some files were not read at all.
};

/**
 * Checks a whole set and returns all errors, ordered by kind of object.
 *
 * Does not search for cycles: only servers, rules and evacuations hold
 * references, and only to places and services.
 */
std::vector<ConfigError> validate(const ObjectSet &Objects,
                                  const ObjectSources &Sources = {},
                                  const UnreadParts &Unread = {});

//! Whether Name has 1 to 63 lower-case letters, digits and hyphens, and no
//! hyphen at either end.
bool isValidName(const std::string &Name);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_VALIDATION_H
