#ifndef BUCKTHORNDECK_CONFIG_CALLPOLICY_H
#define BUCKTHORNDECK_CONFIG_CALLPOLICY_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/Task.h"

#include <cstdint>

//! Retry back-off, retry budget and circuit breaker for calls to the store. The
//! functions do not block: they get the current time as an argument.
namespace buckthorndeck::config {

struct BackoffOptions {
  Milliseconds First{50}; //!< Delay before the first retry.
  Milliseconds Max{2000}; //!< Upper bound on the delay.
};

//! Delay before retry number Attempt (from 0). Half of the exponential delay is
//! random, so that clients that failed at the same time do not retry together.
Milliseconds backoffDelay(const BackoffOptions &Options, unsigned Attempt,
                          RandomEngine &Engine);

struct RetryBudgetOptions {
  double PerCall = 0.1; //!< Retries added to the budget by each call.
  //! Retries added per second, so that infrequent calls are still retried in an
  //! outage.
  double PerSecond = 1.0;
  double Max = 10.0; //!< Most retries that the budget holds.
};

//! Limits the ratio of retries to calls, so that retries do not add to the load
//! of an overloaded store.
struct RetryBudget {
  explicit RetryBudget(RetryBudgetOptions Options)
      : Options(Options), AvailableRetries(Options.Max) {}

  RetryBudgetOptions Options;
  double AvailableRetries;
  TimePoint Updated{}; //!< When PerSecond was last added.
};

void recordCall(RetryBudget &Budget);
//! Takes one retry from the budget; false if less than one is available.
bool takeRetry(RetryBudget &Budget, TimePoint Now);

struct CircuitBreakerOptions {
  unsigned FailureThreshold = 5; //!< Consecutive failures that open it.
  Milliseconds OpenDuration{1000};
};

/**
 * Rejects calls to a store after consecutive failures.
 *
 * After OpenDuration it admits a single trial call. Success closes the breaker,
 * failure opens it again.
 */
struct CircuitBreaker {
  explicit CircuitBreaker(CircuitBreakerOptions Options) : Options(Options) {}

  CircuitBreakerOptions Options;
  unsigned ConsecutiveFailures = 0;
  TimePoint OpenUntil{};
  bool Probing = false; //!< The trial call is in progress.
};

bool isOpen(const CircuitBreaker &Breaker);
//! Whether a call may be made now. A true result must be followed by one of
//! the record functions.
bool admitCall(CircuitBreaker &Breaker, TimePoint Now);
void recordSuccess(CircuitBreaker &Breaker);
void recordFailure(CircuitBreaker &Breaker, TimePoint Now);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_CALLPOLICY_H
