#include "buckthorndeck/entryhost/HealthCheck.h"

#include "FullListener.h"
#include "RunTask.h"
#include "buckthorndeck/net/TcpListener.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::entryhost;
using forwarding::HealthCheckOutcome;

namespace {

Task<> checkInto(TcpEndpoint Target, std::optional<TcpEndpoint> Reference,
                 HealthCheckOutcome &Outcome) {
  Outcome = co_await checkHealth(Target, Reference);
}

HealthCheckOutcome check(boost::asio::io_context &Context,
                         const TcpEndpoint &Target,
                         std::optional<TcpEndpoint> Reference) {
  HealthCheckOutcome Outcome = HealthCheckOutcome::TimedOut;
  runTask(Context, checkInto(Target, Reference, Outcome));
  return Outcome;
}

} // namespace

TEST_CASE("A health check distinguishes a listening server from a closed port",
          "[health]") {
  boost::asio::io_context Context;
  auto Listener = listenTcp(Context.get_executor(), loopbackTcp());
  REQUIRE(Listener);
  const TcpEndpoint Where = Listener->local_endpoint();
  CHECK(check(Context, Where, std::nullopt) == HealthCheckOutcome::Connected);
  Listener->close();
  CHECK(check(Context, Where, std::nullopt) == HealthCheckOutcome::Refused);
}

TEST_CASE("A timeout without a reference server is inconclusive", "[health]") {
  // Guards against a server that is marked unresponsive because this host has
  // lost its network: with one known server the two cases look the same.
  boost::asio::io_context Context;
  const FullListener Silent(Context);
  CHECK(check(Context, Silent.endpoint(), std::nullopt) ==
        HealthCheckOutcome::Inconclusive);
}

TEST_CASE(
    "A timeout counts only if a reference server answers at the same time",
    "[health]") {
  // Guards against servers that are marked unresponsive while this host cannot
  // reach any server.
  boost::asio::io_context Context;
  const FullListener Silent(Context);
  const FullListener SecondSilent(Context);
  auto Listener = listenTcp(Context.get_executor(), loopbackTcp());
  REQUIRE(Listener);
  CHECK(check(Context, Silent.endpoint(), SecondSilent.endpoint()) ==
        HealthCheckOutcome::Inconclusive);
  // On a machine short of processor time a late timer also makes a check
  // inconclusive.
  HealthCheckOutcome Outcome = HealthCheckOutcome::Inconclusive;
  while (Outcome == HealthCheckOutcome::Inconclusive)
    Outcome = check(Context, Silent.endpoint(), Listener->local_endpoint());
  CHECK(Outcome == HealthCheckOutcome::TimedOut);
}
