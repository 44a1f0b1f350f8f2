#ifndef BUCKTHORNDECK_ENTRYHOST_PACKETSETTINGS_H
#define BUCKTHORNDECK_ENTRYHOST_PACKETSETTINGS_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <map>
#include <string>
#include <vector>

namespace buckthorndeck::entryhost {

//! Settings of an entry host that forwards packets.
struct PacketSettings {
  EntryHostName Name;
  FailureDomainName FailureDomain;
  std::size_t FailureDomainCount = 1;
  UdpEndpoint PacketListen;
  TcpEndpoint ReadyListen;
  std::string ReadyPath;
  TcpEndpoint MetricsListen;
  UdpEndpoint HeartbeatListen;
  std::vector<UdpEndpoint> Seeds; //!< Heartbeat addresses of other hosts.
  TcpEndpoint Store;
  Milliseconds StopGrace{};
  std::chrono::seconds FlowLifetime{};
  Milliseconds StoreTimeout{};
  Milliseconds WatchWait{};   //!< Time that a watch waits for a change.
  Milliseconds ChangePause{}; //!< Pause between a change and the next watch.
  //! Age of this host's view of the store at which it stops relying on relays.
  Milliseconds FreshnessLimit{};
  //! Age of the view above which SYNs that waited during a pause are dropped:
  //! an evacuation must be in force after this time.
  Milliseconds EvacuateWithin{600'000};
  Milliseconds RelayWait{};  //!< WatchWait of a relay.
  Milliseconds RelayPause{}; //!< ChangePause of a relay.
  //! After the store removed a server's entry, it gets no new flows from then
  //! on.
  Milliseconds RemovalLimit{};
  std::uint32_t ProcessorPermille = 0; //!< Share of a processor; 0 if unknown.
  //! Bound of what all hosts together send to a cold server in a second: the
  //! service's rate times WarmupOverage plus WarmupSlack.
  double WarmupOverage = 1;
  double WarmupSlack = 0;
  //! Region of each failure domain.
  std::map<std::string, RegionName> Regions;
  bool OutlierDetection = true;
  bool OverloadControl = true;
  bool AdaptiveSlowStart = true;
  LogLevel LogThreshold = LogLevel::Info;
  unsigned LogLinesPerSecond = 0;
  std::uint64_t RandomSeed = 0;
};

//! JSON Schema of the settings file. Unknown fields are ignored, since the
//! platform that writes the file may add some.
const Json &packetSettingsSchema();

//! Reads and checks a settings file; each error names its field.
tl::expected<PacketSettings, std::vector<SchemaError>>
loadPacketSettings(const std::string &File);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_PACKETSETTINGS_H
