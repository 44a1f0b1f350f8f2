#include "FakePeers.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::membership;

namespace {

//! All control traffic of a host, from the requirements.
constexpr std::uint64_t BudgetBytes = 4096;

//! Most bytes in any Window seconds in a row, per second.
std::uint64_t peakRate(FakePeers &Peers, int Seconds, int Window) {
  std::vector<std::uint64_t> Totals{Peers.totalBytes()};
  std::uint64_t Peak = 0;
  for (int I = 0; I < Seconds; ++I) {
    Peers.advanceOneSecond();
    Totals.push_back(Peers.totalBytes());
    if (I + 1 >= Window)
      Peak = std::max(Peak, (Totals.back() - Totals[I + 1 - Window]) / Window);
  }
  return Peak;
}

//! Fills the node's table. Returns the peak rate meanwhile.
std::uint64_t join(FakePeers &Peers) {
  const std::uint64_t Peak = peakRate(Peers, 80, 10);
  REQUIRE(Peers.Node->complete());
  REQUIRE(Peers.Node->reachable().size() == Peers.PeerTable.Others.size());
  return Peak;
}

} // namespace

TEST_CASE("The traffic of a host at rest does not depend on their number",
          "[bounds]") {
  // Guards against costs that grow with the fleet: at rest, while a host
  // joins, and while every message that it receives is full of news.
  for (const unsigned Hosts : {3U, 9U, 80U, 1200U}) {
    CAPTURE(Hosts);
    FakePeers Peers(Hosts, Hosts);
    const std::uint64_t Joining = join(Peers);
    CHECK(Joining <= BudgetBytes);
    // What was news during the join is still on its way.
    peakRate(Peers, 60, 10);

    const std::uint64_t Messages = Peers.Node->counters().MessagesSent;
    const std::uint64_t Rest = peakRate(Peers, 300, 60);
    CHECK(Rest <= 1000);
    CHECK(Peers.Node->counters().MessagesSent - Messages <= 300 * 3);
    CHECK(Peers.Node->reachable().size() == Hosts - 1);

    // Every peer raises its refutation again and again.
    Peers.MakeUpdates = [&] {
      std::vector<Member> Result;
      for (std::size_t I = 0; I < MaxUpdates; ++I) {
        auto Entry = Peers.randomPeerEntry();
        ++Entry->second.Info.Refutation;
        Result.push_back(Entry->second.Info);
      }
      return Result;
    };
    const std::uint64_t Churn = peakRate(Peers, 120, 10);
    CHECK(Churn <= BudgetBytes);
    CHECK(Peers.LongestMessage <= MaxMessageBytes);
    CHECK(Peers.MostUpdates <= MaxUpdates);
    CHECK(Peers.Node->reachable().size() == Hosts - 1);
  }
}

TEST_CASE("A host that many others read from serves two pages a period",
          "[bounds]") {
  // Guards against a seed that exceeds its budget when a rack starts at once.
  FakePeers Peers(200, 1);
  join(Peers);
  const std::uint64_t Before = Peers.totalBytes();
  constexpr int Seconds = 10;
  for (int Second = 0; Second < Seconds; ++Second) {
    for (int Reader = 0; Reader < 40; ++Reader)
      Peers.toNode([&] {
        const Member From = Peers.randomLivePeer();
        return Heartbeat{.From = From, .PageAfter = From.Name};
      });
    Peers.advanceOneSecond();
  }
  // Each request and each short answer has under 200 bytes.
  CHECK(Peers.totalBytes() - Before <= Seconds * (40 * 2 * 200 + BudgetBytes));
}

TEST_CASE("The loss of a rack stays within the byte budget", "[bounds]") {
  // Guards against indirect probes and news that add up when many hosts fail
  // at once.
  for (const unsigned Hosts : {80U, 1200U}) {
    CAPTURE(Hosts);
    FakePeers Peers(Hosts, Hosts);
    join(Peers);
    for (unsigned I = 2; I < 42; ++I)
      Peers.FailedPeers.insert(makeMember(I).Name);
    CHECK(peakRate(Peers, 120, 10) <= BudgetBytes);
    CHECK(Peers.LongestMessage <= MaxMessageBytes);
  }
}
