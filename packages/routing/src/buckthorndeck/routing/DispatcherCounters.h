#ifndef BUCKTHORNDECK_ROUTING_DISPATCHERCOUNTERS_H
#define BUCKTHORNDECK_ROUTING_DISPATCHERCOUNTERS_H

#include <cstdint>

namespace buckthorndeck::routing {

//! Events since the start of the process, for metrics.
struct DispatcherCounters {
  std::uint64_t Jobs = 0;
  std::uint64_t Refusals = 0;      //!< `refused` answers of servers.
  std::uint64_t Retries = 0;       //!< Sent again after a lost connection.
  std::uint64_t RetriesDenied = 0; //!< The retry budget was empty.
  std::uint64_t Shed = 0;          //!< The deadline could not be met.
  std::uint64_t QueueFull = 0;
  std::uint64_t Overruns = 0;     //!< The deadline passed at a server.
  std::uint64_t StrayAnswers = 0; //!< Answers that belong to no request.
  std::uint64_t ServerMismatches = 0;
  std::uint64_t Ejections = 0;
  std::uint64_t SubscriptionMoves = 0;
  std::uint64_t EventGaps = 0;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_DISPATCHERCOUNTERS_H
