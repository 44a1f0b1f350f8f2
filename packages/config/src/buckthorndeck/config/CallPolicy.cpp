#include "buckthorndeck/config/CallPolicy.h"

#include <algorithm>

namespace buckthorndeck::config {

Milliseconds backoffDelay(const BackoffOptions &Options, unsigned Attempt,
                          RandomEngine &Engine) {
  // Limits the shift: 2^20 times any sensible first delay exceeds the maximum.
  const auto Factor = std::int64_t{1} << std::min(Attempt, 20U);
  const Milliseconds Full = std::min(Options.Max, Options.First * Factor);
  const auto Half = static_cast<double>(Full.count()) / 2;
  return Milliseconds(
      static_cast<std::int64_t>(Half + Half * randomUnit(Engine)));
}

void recordCall(RetryBudget &Budget) {
  Budget.AvailableRetries = std::min(
      Budget.Options.Max, Budget.AvailableRetries + Budget.Options.PerCall);
}

bool takeRetry(RetryBudget &Budget, TimePoint Now) {
  if (Budget.Updated != TimePoint{} && Now > Budget.Updated) {
    const std::chrono::duration<double> Elapsed = Now - Budget.Updated;
    Budget.AvailableRetries = std::min(
        Budget.Options.Max,
        Budget.AvailableRetries + Elapsed.count() * Budget.Options.PerSecond);
  }
  Budget.Updated = Now;
  if (Budget.AvailableRetries < 1.0)
    return false;
  Budget.AvailableRetries -= 1.0;
  return true;
}

bool isOpen(const CircuitBreaker &Breaker) {
  return Breaker.ConsecutiveFailures >= Breaker.Options.FailureThreshold;
}

bool admitCall(CircuitBreaker &Breaker, TimePoint Now) {
  if (!isOpen(Breaker))
    return true;
  if (Breaker.Probing || Now < Breaker.OpenUntil)
    return false;
  Breaker.Probing = true;
  return true;
}

void recordSuccess(CircuitBreaker &Breaker) {
  Breaker.ConsecutiveFailures = 0;
  Breaker.Probing = false;
}

void recordFailure(CircuitBreaker &Breaker, TimePoint Now) {
  ++Breaker.ConsecutiveFailures;
  Breaker.Probing = false;
  if (isOpen(Breaker))
    Breaker.OpenUntil = Now + Breaker.Options.OpenDuration;
}

} // namespace buckthorndeck::config
