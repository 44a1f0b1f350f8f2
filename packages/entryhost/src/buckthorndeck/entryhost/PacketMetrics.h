#ifndef BUCKTHORNDECK_ENTRYHOST_PACKETMETRICS_H
#define BUCKTHORNDECK_ENTRYHOST_PACKETMETRICS_H

#include "buckthorndeck/forwarding/Forwarder.h"
#include "buckthorndeck/forwarding/RegistryReader.h"

#include <string>

namespace buckthorndeck::entryhost {

//! Metrics of the host that the forwarder does not count.
struct PacketHostState {
  //! Packets and heartbeats that did not decode.
  std::uint64_t MalformedMessages = 0;
  std::uint64_t SendsDropped = 0;
  std::uint64_t Pauses = 0; //!< Times that the host did not run for a while.
  forwarding::RegistryCounters Registry;
  double StoreAnswerAgeSeconds = 0;
  double RegistryAgeSeconds = 0;
  bool Ready = false;
};

//! All metrics in the Prometheus text format.
std::string formatMetrics(forwarding::Forwarder &Source,
                          const PacketHostState &State);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_PACKETMETRICS_H
