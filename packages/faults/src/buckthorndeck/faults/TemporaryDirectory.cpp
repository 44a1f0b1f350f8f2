#include "buckthorndeck/faults/TemporaryDirectory.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace buckthorndeck::faults {

std::string makeTemporaryDirectory() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "buckthorndeck-XXXXXX")
          .string();
  if (!::mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot make a directory in " + Pattern);
  return Pattern;
}

} // namespace buckthorndeck::faults
