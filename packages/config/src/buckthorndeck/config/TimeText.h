#ifndef BUCKTHORNDECK_CONFIG_TIMETEXT_H
#define BUCKTHORNDECK_CONFIG_TIMETEXT_H

#include <cstdint>
#include <string>

namespace buckthorndeck::config {

//! UTC text such as "2026-12-04T05:22:19Z" for ms since the Unix epoch.
std::string formatTime(std::uint64_t TimeMs);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_TIMETEXT_H
