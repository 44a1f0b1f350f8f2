#include "buckthorndeck/forwarding/RelaySelection.h"

#include "Samples.h"

#include <catch2/catch.hpp>
#include <set>

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

std::set<std::string> relaysOf(unsigned Count) {
  std::set<std::string> Result;
  for (unsigned Self = 0; Self < Count; ++Self) {
    const PeerDirectory Known = knownTo(Self, Count);
    if (const auto Chosen = RelaySelection(Known).choose(Start))
      Result.insert(Chosen->Name.value());
  }
  return Result;
}

} // namespace

TEST_CASE("A small failure domain has no relays", "[relay_selection]") {
  // Each of three hosts makes fewer calls than a relay would.
  CHECK(relaysOf(3).empty());
  CHECK(relaysOf(7).empty());
  CHECK(relaysOf(8).size() == 1);
}

TEST_CASE("The hosts with the largest share of a processor are the relays, one "
          "for forty hosts",
          "[relay_selection]") {
  // Load pattern: hosts of 0.09 and 0.5 of a core get the same share of flows,
  // so that work that can be moved belongs to the larger ones.
  const std::set<std::string> Large{"host-0", "host-1", "host-2"};
  CHECK(relaysOf(39).size() == 1);
  const std::set<std::string> Chosen = relaysOf(100);
  CHECK(Chosen == Large);
}

TEST_CASE("Relays follow no other host", "[relay_selection]") {
  // Two hosts that follow each other would both wait for changes.
  const std::set<std::string> Relays = relaysOf(100);
  for (unsigned Self = 0; Self < 3; ++Self) {
    const PeerDirectory Known = knownTo(Self, 100);
    CHECK(Relays.contains(makeHost(Self).Name.value()));
    CHECK_FALSE(RelaySelection(Known).choose(Start));
    CHECK(RelaySelection(Known).isRelay());
  }
  const PeerDirectory Follower = knownTo(3, 100);
  CHECK_FALSE(RelaySelection(Follower).isRelay());
  const PeerDirectory SmallDomain = knownTo(0, 3);
  CHECK_FALSE(RelaySelection(SmallDomain).isRelay());
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
