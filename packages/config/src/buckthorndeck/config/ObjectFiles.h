#ifndef BUCKTHORNDECK_CONFIG_OBJECTFILES_H
#define BUCKTHORNDECK_CONFIG_OBJECTFILES_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/config/Validation.h"

#include <string>
#include <vector>

namespace buckthorndeck::config {

//! An object file, parsed as JSON but not yet checked.
struct ObjectFile {
  std::string Name;
  Json Document;
};

//! The set declared in files. Objects is complete only if Errors is empty.
struct DeclaredSet {
  ObjectSet Objects;
  ObjectSources Sources;
  std::vector<ConfigError> Errors;
};

//! Reads files as one set and validates the whole set. Unread names objects and
//! files that the caller could not read.
DeclaredSet checkFiles(const std::vector<ObjectFile> &Files,
                       UnreadParts Unread = {});

//! Reads and checks the files named by Paths. Of a directory, its *.json files
//! and those of its subdirectories are read, in the order of their paths.
DeclaredSet checkPaths(const std::vector<std::string> &Paths);

//! The objects of one namespace as an object file, with names without the
//! namespace.
Json namespaceToJson(const ObjectSet &Objects, const std::string &Namespace);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_OBJECTFILES_H
