#ifndef BUCKTHORNDECK_ENTRYHOST_TESTS_SETTINGSFILE_H
#define BUCKTHORNDECK_ENTRYHOST_TESTS_SETTINGSFILE_H

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

namespace buckthorndeck::entryhost {

//! A settings file that is removed at the end of the test.
class SettingsFile {
public:
  explicit SettingsFile(const std::string &Text) {
    char Pattern[] = "/tmp/buckthorndeck-settings-XXXXXX";
    const int File = ::mkstemp(Pattern);
    REQUIRE(File >= 0);
    ::close(File);
    Path = Pattern;
    std::ofstream(Path) << Text;
  }
  SettingsFile(const SettingsFile &) = delete;
  SettingsFile &operator=(const SettingsFile &) = delete;
  ~SettingsFile() { std::remove(Path.c_str()); }

  std::string Path;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_TESTS_SETTINGSFILE_H
