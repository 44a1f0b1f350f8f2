#ifndef BUCKTHORNDECK_ENTRYHOST_PACKETMETRICS_H
#define BUCKTHORNDECK_ENTRYHOST_PACKETMETRICS_H

#include "buckthorndeck/forwarding/Forwarder.h"

#include <string>

namespace buckthorndeck::entryhost {

//! What the metrics show besides the forwarder's own counters.
struct PacketHostState {
  std::uint64_t Undecodable = 0; //!< Datagrams that are no packets.
  std::uint64_t SendsDropped = 0;
  std::uint64_t StoreCalls = 0;
  double StoreAnswerAgeSeconds = 0;
  bool Ready = false;
};

//! All metrics in the Prometheus text format.
std::string formatMetrics(forwarding::Forwarder &Source,
                          const PacketHostState &State);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_PACKETMETRICS_H
