#include "buckthorndeck/entryhost/HealthCheck.h"

#include "buckthorndeck/net/TcpProbe.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace buckthorndeck::entryhost {

using forwarding::HealthCheckOutcome;

namespace {

//! A connection takes one round trip of a few ms.
constexpr Milliseconds HealthCheckTimeout{60};
//! A timeout that is noticed later than this was delayed by this host, which
//! had no processor time, and says nothing about the server.
constexpr Milliseconds LateTimer{20};

//! Whether a connection attempt ended by its timeout, and did so in time.
bool isLate(TimePoint Due) { return Clock::now() - Due > LateTimer; }

//! Connects to Target and, at the same time, to a server that shows whether
//! this host reaches servers at all.
Task<HealthCheckOutcome> probeWithControl(TcpEndpoint Target,
                                          std::optional<TcpEndpoint> Control) {
  using namespace boost::asio::experimental::awaitable_operators;
  const TimePoint Due = Clock::now() + HealthCheckTimeout;
  // Without another server nothing shows on which side the fault is.
  const TcpEndpoint Other = Control.value_or(Target);
  const auto [TargetResult, ControlResult] =
      co_await (probeTcp(Target, HealthCheckTimeout) &&
                probeTcp(Other, HealthCheckTimeout));
  if (TargetResult == ProbeResult::Connected)
    co_return HealthCheckOutcome::Connected;
  if (TargetResult == ProbeResult::Refused)
    co_return HealthCheckOutcome::Refused;
  if (ControlResult == ProbeResult::TimedOut || isLate(Due))
    co_return HealthCheckOutcome::Inconclusive;
  co_return HealthCheckOutcome::TimedOut;
}

} // namespace

Task<HealthCheckOutcome> checkHealth(TcpEndpoint Target,
                                     std::optional<TcpEndpoint> Control) {
  const ProbeResult First = co_await probeTcp(Target, HealthCheckTimeout);
  if (First == ProbeResult::Connected)
    co_return HealthCheckOutcome::Connected;
  if (First == ProbeResult::Refused)
    co_return HealthCheckOutcome::Refused;
  co_return co_await probeWithControl(Target, Control);
}

} // namespace buckthorndeck::entryhost
