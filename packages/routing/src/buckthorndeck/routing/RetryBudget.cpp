#include "buckthorndeck/routing/RetryBudget.h"

#include <algorithm>
#include <chrono>

namespace buckthorndeck::routing {

namespace {

constexpr double RetriesPerRequest = 0.1;
//! Limits a burst of retries after a long time without retries.
constexpr double MaxEarned = 100;
constexpr double MaxReserve = 3;
constexpr double ReservePerSecond = 0.5;

} // namespace

void recordRequest(RetryBudget &Budget) {
  Budget.Earned = std::min(MaxEarned, Budget.Earned + RetriesPerRequest);
}

bool takeRetry(RetryBudget &Budget, TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - Budget.ReserveAt;
  Budget.Reserve =
      std::min(MaxReserve, Budget.Reserve + Passed.count() * ReservePerSecond);
  Budget.ReserveAt = Now;
  double &Source = Budget.Earned >= 1 ? Budget.Earned : Budget.Reserve;
  if (Source < 1)
    return false;
  Source -= 1;
  return true;
}

} // namespace buckthorndeck::routing
