#ifndef BUCKTHORNDECK_BASE_FUZZ_INPUTFILES_H
#define BUCKTHORNDECK_BASE_FUZZ_INPUTFILES_H

#include "buckthorndeck/base/Bytes.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

namespace buckthorndeck {

//! Writes first inputs of fuzz targets, one file each.
class InputFiles {
public:
  explicit InputFiles(const std::string &Path) : Directory(Path) {
    std::filesystem::create_directories(Directory);
  }

  void write(ByteView Input) {
    std::ofstream(Directory / std::to_string(Count++), std::ios::binary)
        << toText(Input);
  }

private:
  std::filesystem::path Directory;
  int Count = 0;
};

//! Directory from the command line; ends the program with a usage line if
//! there is none.
inline InputFiles inputFilesFrom(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: " << Arguments[0] << " DIRECTORY\n";
    std::exit(2);
  }
  return InputFiles(Arguments[1]);
}

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_FUZZ_INPUTFILES_H
