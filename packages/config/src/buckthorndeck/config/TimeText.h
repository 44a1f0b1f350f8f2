#ifndef BUCKTHORNDECK_CONFIG_TIMETEXT_H
#define BUCKTHORNDECK_CONFIG_TIMETEXT_H

#include <cstdint>
#include <string>

namespace buckthorndeck::config {

//! "2026-12-04T05:22:19Z" for a time in ms since the Unix epoch.
std::string formatTime(std::uint64_t TimeMs);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_TIMETEXT_H
