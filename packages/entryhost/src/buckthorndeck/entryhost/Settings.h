#ifndef BUCKTHORNDECK_ENTRYHOST_SETTINGS_H
#define BUCKTHORNDECK_ENTRYHOST_SETTINGS_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/base/Mac.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <string>
#include <vector>

namespace buckthorndeck::entryhost {

//! Settings of one entry host process, from one JSON file.
struct Settings {
  EntryHostName Name;
  RegionName Region;
  FailureDomainName FailureDomain;
  UdpEndpoint CallerListen;  //!< Callers' datagrams.
  UdpEndpoint PeerListen;    //!< Heartbeats and relayed datagrams.
  TcpEndpoint SyncListen;    //!< Configuration sync and status.
  TcpEndpoint MetricsListen; //!< Prometheus text format over HTTP.
  MacKey FleetKey;
  TcpEndpoint Platform;           //!< Key-value service.
  std::vector<UdpEndpoint> Seeds; //!< Peer addresses to join through.
  LogLevel LogThreshold = LogLevel::Info;
  Milliseconds TokenLifetime{15'000};
  std::uint32_t MaxRequestRecords = 200'000;
  std::uint32_t MaxSubscriptions = 100'000;
  std::uint64_t RandomSeed = 0; //!< loadSettings() replaces 0 by a random seed.
  std::string PortsFile; //!< Receives the addresses in use; empty for none.
};

//! The JSON Schema of the file; its descriptions are the documentation.
const Json &settingsSchema();

//! Reads and checks a settings file as a whole.
tl::expected<Settings, std::vector<SchemaError>>
loadSettings(const std::string &File);

//! Table of all settings with type, range, default and meaning, in Markdown.
std::string describeSettings();

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_SETTINGS_H
