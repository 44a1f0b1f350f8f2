#ifndef BUCKTHORNDECK_ROUTING_RETRYBUDGET_H
#define BUCKTHORNDECK_ROUTING_RETRYBUDGET_H

#include "buckthorndeck/net/Task.h"

namespace buckthorndeck::routing {

/**
 * Limits retries after lost connections to 10 % of the requests of a service,
 * so that retries cannot keep an overload going. A small reserve lets a
 * service with few requests retry too.
 */
struct RetryBudget {
  double Earned = 0;  //!< Retries that requests paid for.
  double Reserve = 3; //!< As of ReserveAt.
  TimePoint ReserveAt;
};

void recordRequest(RetryBudget &Budget);

//! Takes one retry; false if there is none left.
bool takeRetry(RetryBudget &Budget, TimePoint Now);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_RETRYBUDGET_H
