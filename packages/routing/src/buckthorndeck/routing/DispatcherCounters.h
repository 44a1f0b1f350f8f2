#ifndef BUCKTHORNDECK_ROUTING_DISPATCHERCOUNTERS_H
#define BUCKTHORNDECK_ROUTING_DISPATCHERCOUNTERS_H

#include <cstdint>

namespace buckthorndeck::routing {

//! Counts of events since the start of the process.
struct DispatcherCounters {
  std::uint64_t Jobs = 0;
  std::uint64_t Refusals = 0; //!< Servers answered `refused`.
  //! Requests sent again after an attempt ended without a result.
  std::uint64_t Retries = 0;
  std::uint64_t RetriesDenied = 0; //!< The retry budget was empty.
  //! Jobs that could not meet their deadline in the queue.
  std::uint64_t JobsShed = 0;
  std::uint64_t JobsRefusedQueueFull = 0;
  //! All servers of the service are in evacuated failure domains.
  std::uint64_t JobsRefusedEvacuated = 0;
  //! The deadline passed while a server ran the request.
  std::uint64_t DeadlineOverruns = 0;
  //! Answers of servers that match no request in progress.
  std::uint64_t UnmatchedAnswers = 0;
  std::uint64_t ServerMismatches = 0;
  std::uint64_t Ejections = 0;
  std::uint64_t SubscriptionMoves = 0;
  std::uint64_t EventGaps = 0;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_DISPATCHERCOUNTERS_H
