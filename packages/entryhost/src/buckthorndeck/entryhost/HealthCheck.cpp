#include "buckthorndeck/entryhost/HealthCheck.h"

#include "buckthorndeck/net/TcpProbe.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace buckthorndeck::entryhost {

using forwarding::HealthCheckKind;
using forwarding::HealthCheckOutcome;

namespace {

//! A connection takes one round trip of a few ms.
constexpr Milliseconds HealthCheckTimeout{60};
//! Four times HealthCheckTimeout, which the reference server has.
constexpr Milliseconds ConfirmationTimeout{240};
//! A timer that fires later than this shows that this host was short of
//! processor time; the timeout then says nothing about the server.
constexpr Milliseconds MaxTimerDelay{20};

//! Whether the timer due at Due fired too late for its timeout to count.
bool timerFiredLate(TimePoint Due) {
  return Clock::now() - Due > MaxTimerDelay;
}

//! Connects to Target and, at the same time, to a reference server, which shows
//! whether this host can reach any server.
Task<HealthCheckOutcome>
probeWithReference(TcpEndpoint Target, Milliseconds Timeout,
                   std::optional<TcpEndpoint> Reference) {
  using namespace boost::asio::experimental::awaitable_operators;
  const TimePoint Due = Clock::now() + Timeout;
  // Without a reference server nothing shows whether the fault is on this host;
  // probing Target twice makes its timeout inconclusive.
  const TcpEndpoint ReferenceTarget = Reference.value_or(Target);
  const auto [TargetResult, ReferenceResult] =
      co_await (probeTcp(Target, Timeout) &&
                probeTcp(ReferenceTarget, HealthCheckTimeout));
  if (TargetResult == ProbeResult::Connected)
    co_return HealthCheckOutcome::Connected;
  if (TargetResult == ProbeResult::Refused)
    co_return HealthCheckOutcome::Refused;
  const bool ReferenceAnswered = ReferenceResult == ProbeResult::Connected ||
                                 ReferenceResult == ProbeResult::Refused;
  if (TargetResult == ProbeResult::Failed || !ReferenceAnswered ||
      timerFiredLate(Due))
    co_return HealthCheckOutcome::Inconclusive;
  co_return HealthCheckOutcome::TimedOut;
}

} // namespace

Task<HealthCheckOutcome> checkHealth(TcpEndpoint Target,
                                     std::optional<TcpEndpoint> Reference,
                                     HealthCheckKind Kind) {
  if (Kind == HealthCheckKind::Confirmation)
    co_return co_await probeWithReference(Target, ConfirmationTimeout,
                                          Reference);
  const ProbeResult First = co_await probeTcp(Target, HealthCheckTimeout);
  if (First == ProbeResult::Connected)
    co_return HealthCheckOutcome::Connected;
  if (First == ProbeResult::Refused)
    co_return HealthCheckOutcome::Refused;
  if (First == ProbeResult::Failed)
    co_return HealthCheckOutcome::Inconclusive;
  co_return co_await probeWithReference(Target, HealthCheckTimeout, Reference);
}

} // namespace buckthorndeck::entryhost
