#include "FakePeers.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::membership;

namespace {

//! Required limit on all control traffic of a host, in bytes per second.
constexpr std::uint64_t BudgetBytes = 4096;

//! Highest mean of bytes per second over any Window consecutive seconds.
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

//! Waits until the node has read the whole table. Returns the peak rate
//! meanwhile.
std::uint64_t join(FakePeers &Peers) {
  const std::uint64_t Peak = peakRate(Peers, 80, 10);
  REQUIRE(Peers.Node->isTableComplete());
  REQUIRE(Peers.Node->reachable().size() == Peers.PeerTable.Others.size());
  return Peak;
}

} // namespace

TEST_CASE("The traffic of an idle host does not depend on the number of hosts",
          "[bounds]") {
  // Guards against traffic that grows with the fleet: while nothing changes,
  // while a host joins, and while every message that it receives carries as
  // many updates as fit.
  for (const unsigned Hosts : {3U, 9U, 80U, 1200U}) {
    CAPTURE(Hosts);
    FakePeers Peers(Hosts, Hosts);
    const std::uint64_t JoinPeak = join(Peers);
    CHECK(JoinPeak <= BudgetBytes);
    // Updates from the join are still being sent.
    peakRate(Peers, 60, 10);

    const std::uint64_t Messages = Peers.Node->counters().MessagesSent;
    const std::uint64_t IdlePeak = peakRate(Peers, 300, 60);
    CHECK(IdlePeak <= 1000);
    CHECK(Peers.Node->counters().MessagesSent - Messages <= 300 * 3);
    CHECK(Peers.Node->reachable().size() == Hosts - 1);

    // Random peers raise their refutation over and over.
    Peers.MakeUpdates = [&] {
      std::vector<Member> Result;
      for (std::size_t I = 0; I < MaxUpdates; ++I) {
        auto Entry = Peers.randomPeerEntry();
        ++Entry->second.Info.Refutation;
        Result.push_back(Entry->second.Info);
      }
      return Result;
    };
    const std::uint64_t UpdatePeak = peakRate(Peers, 120, 10);
    CHECK(UpdatePeak <= BudgetBytes);
    CHECK(Peers.LongestMessage <= MaxMessageBytes);
    CHECK(Peers.MostUpdates <= MaxUpdates);
    CHECK(Peers.Node->reachable().size() == Hosts - 1);
  }
}

TEST_CASE("A host that many others read from sends two pages a period",
          "[bounds]") {
  // Guards against a seed that exceeds its byte budget when all hosts of a rack
  // start at once and read its table.
  FakePeers Peers(200, 1);
  join(Peers);
  const std::uint64_t Before = Peers.totalBytes();
  constexpr int Seconds = 10;
  for (int Second = 0; Second < Seconds; ++Second) {
    for (int Reader = 0; Reader < 40; ++Reader)
      Peers.sendToNode([&] {
        const Member From = Peers.randomLivePeer();
        return Heartbeat{.From = From, .PageAfter = From.Name};
      });
    Peers.advanceOneSecond();
  }
  // Each request and each answer without a page has under 200 bytes.
  CHECK(Peers.totalBytes() - Before <= Seconds * (40 * 2 * 200 + BudgetBytes));
}

TEST_CASE("The loss of a rack stays within the byte budget", "[bounds]") {
  // Guards against indirect probes and updates that together exceed the budget
  // when many hosts fail at once.
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
