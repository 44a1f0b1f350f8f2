#ifndef BUCKTHORNDECK_FORWARDING_FORWARDERCOUNTERS_H
#define BUCKTHORNDECK_FORWARDING_FORWARDERCOUNTERS_H

#include "buckthorndeck/forwarding/OutlierState.h"
#include "buckthorndeck/forwarding/PacketRefusal.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

#include <array>
#include <cstdint>

namespace buckthorndeck::forwarding {

struct ForwarderCounters {
  std::uint64_t Forwarded = 0;
  std::uint64_t FlowsOpened = 0;        //!< Flows that were assigned a server.
  std::uint64_t SynRetransmissions = 0; //!< SYNs retransmitted by callers.
  std::uint64_t SynsHedged = 0; //!< SYNs that this host sent to another server.
  std::uint64_t FlowsEstablished = 0; //!< Flows whose SYN was answered.
  std::uint64_t Retransmissions = 0;
  std::uint64_t FlowsReset = 0;        //!< Their server became unresponsive.
  std::uint64_t SynsToColdServers = 0; //!< Of services with a limit.
  //! Flows placed elsewhere while the limit excluded a cold server.
  std::uint64_t FlowsDivertedFromCold = 0;
  std::uint64_t HealthChecks = 0;
  std::uint64_t ServersMarkedUnresponsive = 0;
  std::array<std::uint64_t, PacketRefusalCount> PacketsRefused{};
  //! Resets by reason, in answer to a packet or of all flows of a server.
  std::array<std::uint64_t, PacketRefusalCount> Resets{};
  std::array<std::uint64_t, HealthCheckOutcomeCount> HealthCheckOutcomes{};
  //! Ejections of servers, by reason.
  std::array<std::uint64_t, EjectionReasonCount> Ejections{};
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_FORWARDERCOUNTERS_H
