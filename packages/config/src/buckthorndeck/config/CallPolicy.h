#ifndef BUCKTHORNDECK_CONFIG_CALLPOLICY_H
#define BUCKTHORNDECK_CONFIG_CALLPOLICY_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/Task.h"

#include <cstdint>

//! How calls to the store are repeated. All functions take the time as an
//! argument and wait for nothing.
namespace buckthorndeck::config {

struct BackoffOptions {
  Milliseconds First{50};
  Milliseconds Max{2000};
};

//! Delay before retry number Attempt (from 0): half of the exponential value
//! plus a random half, so that clients that failed together spread out.
Milliseconds backoffDelay(const BackoffOptions &Options, unsigned Attempt,
                          RandomEngine &Engine);

struct RetryBudgetOptions {
  double PerCall = 0.1;   //!< Retries earned by each call.
  double PerSecond = 1.0; //!< Keeps single calls retrying in an outage.
  double Max = 10.0;
};

//! Bounds the share of retries, so that an overloaded store is not loaded
//! further by them.
struct RetryBudget {
  explicit RetryBudget(RetryBudgetOptions Options)
      : Options(Options), Left(Options.Max) {}

  RetryBudgetOptions Options;
  double Left;
  TimePoint Updated{};
};

void recordCall(RetryBudget &Budget);
//! Takes one retry from the budget; false if there is none.
bool takeRetry(RetryBudget &Budget, TimePoint Now);

struct CircuitBreakerOptions {
  unsigned Failures = 5; //!< Consecutive failures that open it.
  Milliseconds Open{1000};
};

/**
 * Stops calls to a store that keeps failing.
 *
 * After Options.Open it admits a single call, whose result closes it or opens
 * it again.
 */
struct CircuitBreaker {
  explicit CircuitBreaker(CircuitBreakerOptions Options) : Options(Options) {}

  CircuitBreakerOptions Options;
  unsigned Failures = 0;
  TimePoint OpenUntil{};
  bool Probing = false;
};

bool isOpen(const CircuitBreaker &Breaker);
//! Whether a call may be made now. A true result must be followed by one of
//! the record functions.
bool admitCall(CircuitBreaker &Breaker, TimePoint Now);
void recordSuccess(CircuitBreaker &Breaker);
void recordFailure(CircuitBreaker &Breaker, TimePoint Now);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_CALLPOLICY_H
