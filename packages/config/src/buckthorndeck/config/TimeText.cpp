#include "buckthorndeck/config/TimeText.h"

#include <array>
#include <ctime>

namespace buckthorndeck::config {

std::string formatTime(std::uint64_t TimeMs) {
  const auto Seconds = static_cast<std::time_t>(TimeMs / 1000);
  std::tm Parts{};
  std::array<char, 32> Text{};
  if (!gmtime_r(&Seconds, &Parts))
    return std::to_string(TimeMs) + " ms";
  const std::size_t Length =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return {Text.data(), Length};
}

} // namespace buckthorndeck::config
