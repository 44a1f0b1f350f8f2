#include "buckthorndeck/forwarding/Forwarder.h"

#include "Samples.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

//! Ends the health check of Target that is under way.
void finishCheck(ForwarderFixture &Site, const Server &Target,
                 HealthCheckOutcome Outcome) {
  const TimePoint Started = Site.Now;
  Site.Now += Milliseconds(1);
  Site.Host.recordHealthCheck(Target.Token, Outcome, Started, Site.Now);
}

//! Makes Target silent by an unanswered request.
void silenceServer(ForwarderFixture &Site, Server &Target,
                   const FlowKey &Flow) {
  const PacketHeader Request = makeData(Flow, Target.Token, 1001, 5000);
  Site.handle(Request);
  Site.Now += Milliseconds(200);
  Site.handle(Request);
  REQUIRE(Target.State == Reachability::Suspected);
  finishCheck(Site, Target, HealthCheckOutcome::TimedOut);
  REQUIRE(Target.State == Reachability::Unresponsive);
}

} // namespace

TEST_CASE("Nothing is decided before the first configuration", "[forwarder]") {
  Forwarder Host({.Domain = FailureDomainName("north")});
  const PacketDecision Result =
      Host.handle(Bytes(34, 0), makeOpen(makeFlow(1)), Start);
  CHECK(Result.Action == PacketAction::Drop);
  CHECK(Result.Reason == PacketRefusal::NotReady);
  CHECK_FALSE(Host.ready(Start));
}

TEST_CASE("An open without a route is reset at once", "[forwarder]") {
  ForwarderFixture Site;
  FlowKey Flow = makeFlow(1);
  Flow.Service.Port = 9;
  const PacketDecision Result = Site.handle(makeOpen(Flow));
  CHECK(Result.Action == PacketAction::Reset);
  CHECK(Result.Reason == PacketRefusal::NoRoute);
}

TEST_CASE("An open of a service without servers is reset at once",
          "[forwarder]") {
  ForwarderFixture Site;
  FlowKey Flow = makeFlow(1);
  Flow.Service = PressAddress;
  const PacketDecision Result = Site.handle(makeOpen(Flow));
  CHECK(Result.Action == PacketAction::Reset);
  CHECK(Result.Reason == PacketRefusal::NoServer);
}

TEST_CASE("Packets follow their token on a host that never saw the flow",
          "[forwarder]") {
  ForwarderFixture Site;
  for (unsigned Number = 0; Number < 3; ++Number) {
    const ServerToken Token = tokenOf(makeServer(Number));
    const PacketDecision Result = Site.handle(
        makeData(makeFlow(static_cast<std::uint16_t>(Number)), Token, 1, 1));
    REQUIRE(Result.Action == PacketAction::Forward);
    CHECK(Result.Target->Token == Token);
  }
}

TEST_CASE("An open flow survives the loss of its server's registry entry",
          "[forwarder]") {
  ForwarderFixture Site;
  Server &Target = Site.openFlow(makeFlow(1));
  Site.Host.removeServer(Target.Record.Name, StoreRevision(50), Site.Now);
  Site.advance(Milliseconds(5000));
  const PacketDecision Result =
      Site.handle(makeData(makeFlow(1), Target.Token, 1001, 5000));
  REQUIRE(Result.Action == PacketAction::Forward);
  CHECK(Result.Target == &Target);
  CHECK(Site.handle(makeOpen(makeFlow(2))).Target != &Target);
}

TEST_CASE("A new configuration leaves open flows alone unless it drops their "
          "route",
          "[forwarder]") {
  ForwarderFixture Site;
  const Server &Target = Site.openFlow(makeFlow(1));
  const PacketHeader Request = makeData(makeFlow(1), Target.Token, 1001, 5000);
  Site.Host.applyRoutes(makeRoutes(2));
  CHECK(Site.handle(Request).Action == PacketAction::Forward);
  RouteSet Dropped = makeRoutes(3);
  Dropped.Routes.erase(Dropped.Routes.begin());
  Site.Host.applyRoutes(Dropped);
  CHECK(Site.handle(Request).Reason == PacketRefusal::RouteRemoved);
}

TEST_CASE("A packet with an unknown token is dropped and asks for a refresh",
          "[forwarder]") {
  // A reset would break a flow whose server is newer than this host's view.
  ForwarderFixture Site;
  const PacketDecision Result =
      Site.handle(makeData(makeFlow(1), ServerToken(99), 1, 1));
  CHECK(Result.Action == PacketAction::Drop);
  CHECK(Site.Host.takeRefreshRequest());
  CHECK_FALSE(Site.Host.takeRefreshRequest());
  Site.handle(makeData(makeFlow(1), ServerToken(), 1, 1));
  CHECK_FALSE(Site.Host.takeRefreshRequest());
}

TEST_CASE("The first copy of an open goes to the first choice again",
          "[forwarder]") {
  // Two servers that answer one open would leave the caller with the number of
  // one and the token of the other.
  ForwarderFixture Site;
  const Server *First = Site.handle(makeOpen(makeFlow(1))).Target;
  Site.Now += Milliseconds(20);
  CHECK(Site.handle(makeOpen(makeFlow(1), 1)).Target == First);
}

TEST_CASE("An open that its server does not answer goes to another server "
          "before the caller repeats it",
          "[forwarder]") {
  ForwarderFixture Site;
  Server &First = *Site.handle(makeOpen(makeFlow(1))).Target;
  CHECK(Site.advance(Milliseconds(39)).Packets.empty());
  const DueActions Work = Site.advance(Milliseconds(1));
  REQUIRE(Work.Packets.size() == 1);
  CHECK(Work.Packets[0].Packet == Site.Packet);
  CHECK(Work.Packets[0].Target != First.Token);
  REQUIRE(Work.HealthChecks.size() == 1);
  CHECK(Work.HealthChecks[0] == First.Token);
  CHECK(First.State == Reachability::Suspected);
}

TEST_CASE("An open that its server answers is sent to no other",
          "[forwarder]") {
  ForwarderFixture Site;
  Site.openFlow(makeFlow(1));
  CHECK(Site.advance(Milliseconds(45)).Packets.empty());
  CHECK(Site.Host.counters().FlowsEstablished == 1);
}

TEST_CASE("A host that was frozen does not repeat opens that it held itself",
          "[forwarder]") {
  ForwarderFixture Site;
  Site.handle(makeOpen(makeFlow(1)));
  const DueActions Work = Site.advance(Milliseconds(3000));
  CHECK(Work.Packets.empty());
  CHECK(Work.HealthChecks.empty());
}

TEST_CASE("Repeated opens are bounded by a budget", "[forwarder]") {
  // All servers of a service are gone: each open would otherwise go out three
  // times.
  ForwarderFixture Site(10);
  std::size_t Sent = 0;
  for (std::uint16_t Port = 1; Port <= 500; ++Port) {
    Site.handle(makeOpen(makeFlow(Port)));
    Sent += Site.advance(Milliseconds(2)).Packets.size();
  }
  // A tenth of the opens and a reserve of three with half of one a second.
  CHECK(Sent >= 40);
  CHECK(Sent <= 54);
}

TEST_CASE("Flows of a server that does not answer are reset at once",
          "[forwarder]") {
  ForwarderFixture Site;
  Server &Target = Site.openFlow(makeFlow(1));
  std::vector<FlowKey> Idle;
  for (std::uint16_t Port = 2; Port < 20; ++Port)
    if (&Site.openFlow(makeFlow(Port)) == &Target)
      Idle.push_back(makeFlow(Port));
  REQUIRE_FALSE(Idle.empty());
  silenceServer(Site, Target, makeFlow(1));
  const DueActions Work = Site.advance(Milliseconds(0));
  // Also the idle flows, before their callers send what cannot be repeated.
  REQUIRE(Work.Resets.size() == Idle.size() + 1);
  for (const OutgoingReset &Reset : Work.Resets)
    CHECK(Reset.Sequence == 5000);
  const PacketDecision Late =
      Site.handle(makeData(makeFlow(1), Target.Token, 1001, 5000));
  CHECK(Late.Action == PacketAction::Reset);
  CHECK(Late.Reason == PacketRefusal::ServerUnresponsive);
}

TEST_CASE("A server that refuses health checks keeps its flows while it serves",
          "[forwarder]") {
  // A health check can be wrong: a reset would break flows of a live server.
  ForwarderFixture Site;
  Server &Target = Site.openFlow(makeFlow(1));
  const PacketHeader Request = makeData(makeFlow(1), Target.Token, 1001, 5000);
  Site.handle(Request);
  const DueActions Due = Site.advance(Milliseconds(100));
  REQUIRE(Due.HealthChecks.size() == 1);
  finishCheck(Site, Target, HealthCheckOutcome::Refused);
  CHECK(Target.State == Reachability::Unhealthy);
  CHECK(Site.advance(Milliseconds(0)).Resets.empty());
  CHECK(Site.handle(Request).Action == PacketAction::Forward);
  CHECK(Site.handle(makeOpen(makeFlow(2))).Target != &Target);
  // Its response arrives.
  Site.handle(makeData(makeFlow(1), Target.Token, 1101, 6200, 0));
  CHECK(Target.State == Reachability::Reachable);
}

TEST_CASE("A refusing server is silent once enough packets go unanswered",
          "[forwarder]") {
  ForwarderFixture Site;
  Server &Target = Site.openFlow(makeFlow(1));
  const PacketHeader Request = makeData(makeFlow(1), Target.Token, 1001, 5000);
  Site.handle(Request);
  Site.advance(Milliseconds(100));
  finishCheck(Site, Target, HealthCheckOutcome::Refused);
  for (int Count = 0; Count < 3; ++Count) {
    CHECK(Target.State == Reachability::Unhealthy);
    Site.Now += Milliseconds(200);
    Site.handle(Request);
  }
  CHECK(Target.State == Reachability::Unresponsive);
}

TEST_CASE("A host that reaches no server blames itself", "[forwarder]") {
  // A full or cut link of this host must not reset the flows of servers that
  // other hosts reach; the routers move the flows there.
  ForwarderFixture Site;
  Server &Target = Site.openFlow(makeFlow(1));
  const PacketHeader Request = makeData(makeFlow(1), Target.Token, 1001, 5000);
  Site.handle(Request);
  Site.Now += Milliseconds(600);
  Site.handle(Request);
  finishCheck(Site, Target, HealthCheckOutcome::Inconclusive);
  CHECK(Target.State == Reachability::Reachable);
  CHECK(Site.advance(Milliseconds(0)).Resets.empty());
  CHECK(Site.Host.ready(Site.Now));
  Site.Now += Milliseconds(600);
  CHECK_FALSE(Site.Host.ready(Site.Now));
  // Without packets, health checks find out when it can serve again.
  const DueActions Work = Site.advance(Milliseconds(10));
  REQUIRE(Work.HealthChecks.size() == 1);
  finishCheck(Site, *Site.Host.servers().find(Work.HealthChecks[0]),
              HealthCheckOutcome::Connected);
  CHECK(Site.Host.ready(Site.Now));
}

TEST_CASE("A server is not doubted for one lost packet", "[forwarder]") {
  ForwarderFixture Site(1);
  Server &Target = Site.openFlow(makeFlow(1));
  Site.openFlow(makeFlow(2));
  const PacketHeader Request = makeData(makeFlow(1), Target.Token, 1001, 5000);
  Site.handle(Request);
  Site.Now += Milliseconds(50);
  Site.handle(makeData(makeFlow(2), Target.Token, 1001, 6000, 0));
  Site.Now += Milliseconds(150);
  Site.handle(Request);
  CHECK(Target.State == Reachability::Reachable);
  CHECK(Site.advance(Milliseconds(0)).HealthChecks.empty());
}

TEST_CASE("Data that was overtaken on the way is no evidence against a server",
          "[forwarder]") {
  // A request of two packets that arrive in the wrong order looks like a
  // retransmission; three of them would silence a server that refuses checks.
  ForwarderFixture Site(1);
  Server &Target = Site.openFlow(makeFlow(1));
  Site.handle(makeData(makeFlow(1), Target.Token, 1101, 5000));
  Site.handle(makeData(makeFlow(1), Target.Token, 1001, 5000));
  CHECK(Target.State == Reachability::Reachable);
  CHECK(Target.Evidence == 0);
  CHECK(Site.advance(Milliseconds(0)).HealthChecks.empty());
}

TEST_CASE("A server whose address was given away never gets packets again",
          "[forwarder]") {
  // The health check of a dead server reaches its successor.
  ForwarderFixture Site;
  Server &Target = Site.openFlow(makeFlow(1));
  CHECK_FALSE(Site.Host.identityPath(Target.Token));
  silenceServer(Site, Target, makeFlow(1));
  CHECK(Site.Host.identityPath(Target.Token) == "/health");
  Site.advance(Milliseconds(1000));
  finishCheck(Site, Target, HealthCheckOutcome::Replaced);
  CHECK(Target.State == Reachability::Unresponsive);
  CHECK(Site.handle(makeData(makeFlow(1), Target.Token, 1001, 5000)).Reason ==
        PacketRefusal::ServerReplaced);
  for (int Second = 0; Second < 10; ++Second)
    CHECK(Site.advance(Milliseconds(1000)).HealthChecks.empty());
}

TEST_CASE("A silent server that answers again gets flows again",
          "[forwarder]") {
  ForwarderFixture Site;
  Server &Target = Site.openFlow(makeFlow(1));
  silenceServer(Site, Target, makeFlow(1));
  Site.advance(Milliseconds(0));
  CHECK(Site.advance(Milliseconds(900)).HealthChecks.empty());
  const DueActions Work = Site.advance(Milliseconds(200));
  REQUIRE(Work.HealthChecks.size() == 1);
  finishCheck(Site, Target, HealthCheckOutcome::Connected);
  CHECK(Target.State == Reachability::Reachable);
}

TEST_CASE("Handshakes and responses are timed from callers' packets",
          "[forwarder]") {
  ForwarderFixture Site(1);
  Server &Target = *Site.handle(makeOpen(makeFlow(1))).Target;
  Site.Now += Milliseconds(4);
  Site.handle(makeData(makeFlow(1), Target.Token, 1001, 5000));
  Site.Now += Milliseconds(30);
  Site.handle(makeData(makeFlow(1), Target.Token, 1101, 6200, 0));
  const auto Handshake = Site.Host.latencies().Handshake.Collect().histogram;
  CHECK(Handshake.sample_count == 1);
  CHECK(Handshake.sample_sum == Approx(0.004));
  const auto Response = Site.Host.latencies().Response.Collect().histogram;
  CHECK(Response.sample_count == 1);
  CHECK(Response.sample_sum == Approx(0.030));
  CHECK(Target.ResponseMs == Approx(30));
}

TEST_CASE("Flows that ended are forgotten and no longer counted",
          "[forwarder]") {
  ForwarderFixture Site(1);
  Server &Target = Site.openFlow(makeFlow(1));
  CHECK(Target.Flows == 1);
  PacketHeader Last = makeData(makeFlow(1), Target.Token, 1001, 5000);
  Last.Finish = true;
  Site.handle(Last);
  Site.advance(Milliseconds(3000));
  CHECK(Target.Flows == 0);
  CHECK(Site.Host.flowCount() == 0);
}
