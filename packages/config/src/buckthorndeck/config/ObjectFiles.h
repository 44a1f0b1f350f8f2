#ifndef BUCKTHORNDECK_CONFIG_OBJECTFILES_H
#define BUCKTHORNDECK_CONFIG_OBJECTFILES_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/config/Validation.h"

#include <string>
#include <vector>

namespace buckthorndeck::config {

//! One file as an operator wrote it.
struct ObjectFile {
  std::string Name;
  Json Document;
};

//! A set read from files. Objects is complete only if Errors is empty.
struct DeclaredSet {
  ObjectSet Objects;
  ObjectSources Sources;
  std::vector<ConfigError> Errors;
};

//! Reads files as one set and checks it as a whole. Unread names parts that
//! the caller could not read.
DeclaredSet check(const std::vector<ObjectFile> &Files,
                  UnreadParts Unread = {});

//! The same for paths of files and of directories, whose *.json files are
//! read in the order of their names, directories below them included.
DeclaredSet checkPaths(const std::vector<std::string> &Paths);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_OBJECTFILES_H
