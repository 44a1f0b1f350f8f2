#ifndef BUCKTHORNDECK_ROUTING_RETRYBUDGET_H
#define BUCKTHORNDECK_ROUTING_RETRYBUDGET_H

#include "buckthorndeck/net/Task.h"

namespace buckthorndeck::routing {

/**
 * Limits retries to 10 % of the requests of a service, so that retries cannot
 * prolong an overload. A small reserve allows retries for a service with few
 * requests.
 */
struct RetryBudget {
  double Earned = 0; //!< Retries earned by requests.
  //! Further retries, which grow with time; as of ReserveAt.
  double Reserve = 3;
  TimePoint ReserveAt;
};

void recordRequest(RetryBudget &Budget);

//! Uses up one retry; returns false if none is left.
bool takeRetry(RetryBudget &Budget, TimePoint Now);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_RETRYBUDGET_H
