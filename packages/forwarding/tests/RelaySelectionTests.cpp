#include "buckthorndeck/forwarding/RelaySelection.h"

#include "Samples.h"

#include <catch2/catch.hpp>
#include <map>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

//! Host number Number; the first three have five times the processor of the
//! others.
Peer makeHost(unsigned Number) {
  const boost::asio::ip::address_v4 Ip(0x0a020000 + Number);
  return {.Name = EntryHostName("host-" + std::to_string(Number)),
          .Domain = FailureDomainName("north"),
          .Heartbeat = UdpEndpoint(Ip, 7720),
          .Snapshot = TcpEndpoint(Ip, 8166),
          .ProcessorPermille = Number < 3 ? 500U : 90U};
}

//! What host number Self knows of a failure domain with Count hosts.
PeerDirectory knownTo(unsigned Self, unsigned Count) {
  PeerDirectory Known(makeHost(Self), {});
  for (unsigned Number = 0; Number < Count; ++Number)
    Known.update({.Sender = makeHost(Number)}, Start);
  return Known;
}

//! How many hosts follow each relay of a failure domain with Count hosts.
std::map<std::string, unsigned> followersByRelay(unsigned Count) {
  std::map<std::string, unsigned> Result;
  for (unsigned Self = 0; Self < Count; ++Self) {
    const PeerDirectory Known = knownTo(Self, Count);
    if (const auto Chosen = RelaySelection(Known).choose(Start))
      ++Result[Chosen->Name.value()];
  }
  return Result;
}

//! Relays between a host and the store.
unsigned levelOf(unsigned Self, unsigned Count) {
  unsigned Level = 0;
  while (true) {
    const PeerDirectory Known = knownTo(Self, Count);
    const auto Chosen = RelaySelection(Known).choose(Start);
    if (!Chosen)
      return Level;
    ++Level;
    Self = static_cast<unsigned>(std::stoul(Chosen->Name.value().substr(5)));
  }
}

} // namespace

TEST_CASE("A small failure domain has no relays", "[relay_selection]") {
  // Each of three hosts makes fewer calls than a relay would.
  CHECK(followersByRelay(3).empty());
  CHECK(followersByRelay(7).empty());
  CHECK(followersByRelay(8).size() == 1);
}

TEST_CASE(
    "One host reads the store, and no relay has more than eight followers",
    "[relay_selection]") {
  // Load pattern: changes of thousands of servers on a large fleet. A relay
  // that sends them to a whole failure domain sent 719 KB/s.
  for (const unsigned Count : {8U, 39U, 80U, 100U}) {
    unsigned Followers = 0;
    for (const auto &[Relay, Own] : followersByRelay(Count)) {
      CHECK(Own <= 8);
      Followers += Own;
    }
    CHECK(Followers == Count - 1);
  }
}

TEST_CASE("No host of eighty is more than three relays away from the store",
          "[relay_selection]") {
  // Each relay adds to the age of a view, which must not exceed the limit.
  for (unsigned Self = 0; Self < 80; ++Self)
    CHECK(levelOf(Self, 80) <= 3);
}

TEST_CASE(
    "The hosts with the largest share of a processor serve the most hosts",
    "[relay_selection]") {
  // Load pattern: hosts of 0.09 and 0.5 of a core get the same share of flows,
  // so that work that can be moved belongs to the larger ones.
  const auto Followers = followersByRelay(39);
  for (unsigned Number = 0; Number < 3; ++Number)
    CHECK(Followers.at(makeHost(Number).Name.value()) == 8);
  unsigned Roots = 0;
  for (unsigned Self = 0; Self < 39; ++Self) {
    const PeerDirectory Known = knownTo(Self, 39);
    const bool IsRoot = RelaySelection(Known).isRoot();
    CHECK(IsRoot == !RelaySelection(Known).choose(Start).has_value());
    Roots += IsRoot ? 1 : 0;
    CHECK((!IsRoot || Self < 3));
  }
  CHECK(Roots == 1);
}

TEST_CASE("A relay that failed is replaced by the next host for some time",
          "[relay_selection]") {
  const PeerDirectory Known = knownTo(20, 30);
  RelaySelection Relays(Known);
  const auto First = Relays.choose(Start);
  REQUIRE(First);
  Relays.markFailed(First->Name, Start);
  const auto Second = Relays.choose(Start);
  REQUIRE(Second);
  CHECK(Second->Name != First->Name);
  CHECK(Relays.choose(Start + std::chrono::seconds(10))->Name == First->Name);
}

TEST_CASE("A host whose relays have all failed reads the store",
          "[relay_selection]") {
  const PeerDirectory Known = knownTo(20, 30);
  RelaySelection Relays(Known);
  // At most all hosts that come before it fail.
  unsigned Failures = 0;
  while (const auto Relay = Relays.choose(Start)) {
    Relays.markFailed(Relay->Name, Start);
    REQUIRE(++Failures < 30);
  }
  CHECK(Failures >= 3);
}
