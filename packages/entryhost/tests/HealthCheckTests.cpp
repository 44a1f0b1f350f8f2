#include "buckthorndeck/entryhost/HealthCheck.h"

#include "FullListener.h"
#include "RunTask.h"
#include "buckthorndeck/net/TcpListener.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::entryhost;
using forwarding::HealthCheckOutcome;

namespace {

Task<> checkInto(TcpEndpoint Target, std::optional<TcpEndpoint> Control,
                 HealthCheckOutcome &Outcome) {
  Outcome = co_await checkHealth(Target, Control);
}

HealthCheckOutcome check(boost::asio::io_context &Context,
                         const TcpEndpoint &Target,
                         std::optional<TcpEndpoint> Control) {
  HealthCheckOutcome Outcome = HealthCheckOutcome::TimedOut;
  runTask(Context, checkInto(Target, Control, Outcome));
  return Outcome;
}

} // namespace

TEST_CASE("A health check tells a server that listens from one that does not",
          "[health]") {
  boost::asio::io_context Context;
  auto Listener = listenTcp(Context.get_executor(), loopbackTcp());
  REQUIRE(Listener);
  const TcpEndpoint Where = Listener->local_endpoint();
  CHECK(check(Context, Where, std::nullopt) == HealthCheckOutcome::Connected);
  Listener->close();
  CHECK(check(Context, Where, std::nullopt) == HealthCheckOutcome::Refused);
}

TEST_CASE("A timeout without a control server says nothing", "[health]") {
  // With one server in sight, a cut link of this host looks like its end.
  boost::asio::io_context Context;
  const FullListener Silent(Context);
  CHECK(check(Context, Silent.endpoint(), std::nullopt) ==
        HealthCheckOutcome::Inconclusive);
}

TEST_CASE("A timeout counts only while another server answers", "[health]") {
  boost::asio::io_context Context;
  const FullListener Silent(Context);
  const FullListener AlsoSilent(Context);
  auto Listener = listenTcp(Context.get_executor(), loopbackTcp());
  REQUIRE(Listener);
  CHECK(check(Context, Silent.endpoint(), AlsoSilent.endpoint()) ==
        HealthCheckOutcome::Inconclusive);
  // A late timer also makes a check inconclusive, on a machine without time.
  HealthCheckOutcome Outcome = HealthCheckOutcome::Inconclusive;
  while (Outcome == HealthCheckOutcome::Inconclusive)
    Outcome = check(Context, Silent.endpoint(), Listener->local_endpoint());
  CHECK(Outcome == HealthCheckOutcome::TimedOut);
}
