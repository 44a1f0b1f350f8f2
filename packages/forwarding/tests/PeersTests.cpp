#include "buckthorndeck/forwarding/Peers.h"

#include "Samples.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

Peer makePeer(unsigned Number, const std::string &Domain = "north") {
  const boost::asio::ip::address_v4 Ip(0x0a020000 + Number);
  return {.Name = EntryHostName("host-" + std::to_string(Number)),
          .Domain = FailureDomainName(Domain),
          .Heartbeat = UdpEndpoint(Ip, 7720),
          .Snapshot = TcpEndpoint(Ip, 8166)};
}

PeerHeartbeat heartbeatOf(const Peer &Sender) { return {.Sender = Sender}; }

} // namespace

TEST_CASE("A heartbeat is the same after encoding and decoding", "[peers]") {
  const PeerHeartbeat Sent{.Sender = makePeer(1),
                           .KnownPeers = {makePeer(2), makePeer(3)}};
  const auto Received = decodeHeartbeat(encodeHeartbeat(Sent), "test");
  REQUIRE(Received);
  CHECK(Received->Sender.Name == Sent.Sender.Name);
  CHECK(Received->Sender.Heartbeat == Sent.Sender.Heartbeat);
  REQUIRE(Received->KnownPeers.size() == 2);
  CHECK(Received->KnownPeers[1].Snapshot == Sent.KnownPeers[1].Snapshot);
  CHECK(encodeHeartbeat(Sent).size() < 1024);
}

TEST_CASE("A heartbeat tells what its sender knows of the store", "[peers]") {
  PeerHeartbeat Sent{.Sender = makePeer(1)};
  // A host of an earlier version says nothing.
  CHECK_FALSE(decodeHeartbeat(encodeHeartbeat(Sent), "test")->Knowledge);
  Sent.Knowledge = {
      .Era = StoreEra(3), .Config = ConfigVersion(17), .Confirming = true};
  const auto Received = decodeHeartbeat(encodeHeartbeat(Sent), "test");
  REQUIRE(Received);
  REQUIRE(Received->Knowledge);
  CHECK(Received->Knowledge->Era == StoreEra(3));
  CHECK(Received->Knowledge->Config == ConfigVersion(17));
  CHECK(Received->Knowledge->Confirming);
}

TEST_CASE("A peer is ahead if it may know what a read of the store lacks",
          "[peers]") {
  const RegistryKnowledge Own{.Era = StoreEra(2), .Config = ConfigVersion(5)};
  const auto IsAhead = [&](RegistryKnowledge Theirs) {
    PeerDirectory Peers(makePeer(1), {});
    Peers.update({.Sender = makePeer(2), .Knowledge = Theirs}, Start);
    return Peers.peerAheadOf(Own).has_value();
  };
  CHECK_FALSE(IsAhead(Own));
  CHECK_FALSE(IsAhead({.Era = StoreEra(2), .Config = ConfigVersion(4)}));
  CHECK(IsAhead({.Era = StoreEra(2), .Config = ConfigVersion(6)}));
  CHECK(IsAhead({.Era = StoreEra(1), .Config = ConfigVersion(5)}));
  CHECK(IsAhead(
      {.Era = StoreEra(2), .Config = ConfigVersion(5), .Confirming = true}));
  // It has not loaded anything.
  CHECK_FALSE(IsAhead({.Era = StoreEra(0)}));
  PeerDirectory Peers(makePeer(1), {});
  Peers.update({.Sender = makePeer(2)}, Start);
  CHECK_FALSE(Peers.peerAheadOf(Own));
}

TEST_CASE("Truncated heartbeats are rejected and corrupt ones do not crash",
          "[peers]") {
  const Bytes Valid =
      encodeHeartbeat({.Sender = makePeer(1), .KnownPeers = {makePeer(2)}});
  for (std::size_t Length = 0; Length < Valid.size(); ++Length)
    CHECK_FALSE(decodeHeartbeat(ByteView(Valid).first(Length), "test"));
  for (std::size_t Index = 0; Index < Valid.size(); ++Index) {
    Bytes Corrupt = Valid;
    Corrupt[Index] ^= 0xff;
    decodeHeartbeat(Corrupt, "test");
  }
}

TEST_CASE(
    "A host without peers sends heartbeats to its seeds, but not to itself",
    "[peers]") {
  RandomEngine Random(1);
  PeerDirectory Peers(makePeer(1),
                      {makePeer(1).Heartbeat, makePeer(2).Heartbeat});
  CHECK(Peers.heartbeatReceivers(Start, Random) ==
        std::vector<UdpEndpoint>{makePeer(2).Heartbeat});
  CHECK(Peers.update(heartbeatOf(makePeer(3)), Start));
  CHECK_FALSE(Peers.update(heartbeatOf(makePeer(3)), Start));
  CHECK(Peers.heartbeatReceivers(Start, Random) ==
        std::vector<UdpEndpoint>{makePeer(3).Heartbeat});
  // Its only peer stops sending heartbeats.
  CHECK(Peers.heartbeatReceivers(Start + std::chrono::seconds(6), Random)
            .size() == 2);
}

TEST_CASE("A seed in another failure domain tells a host its peers in its own "
          "domain",
          "[peers]") {
  RandomEngine Random(1);
  PeerDirectory Seed(makePeer(9, "south"), {});
  Seed.update(heartbeatOf(makePeer(1)), Start);
  PeerDirectory Newcomer(makePeer(2), {makePeer(9).Heartbeat});
  Newcomer.update(Seed.heartbeatFor(Newcomer.self().Domain, Start, Random),
                  Start);
  const auto Found = Newcomer.randomPeer(Random);
  REQUIRE(Found);
  CHECK(Found->Name == makePeer(1).Name);
}

TEST_CASE(
    "A peer that stopped sending heartbeats is no longer listed and is removed",
    "[peers]") {
  RandomEngine Random(1);
  PeerDirectory Peers(makePeer(1), {});
  Peers.update(heartbeatOf(makePeer(2)), Start);
  const TimePoint Later = Start + std::chrono::seconds(11);
  CHECK(Peers.heartbeatFor(Peers.self().Domain, Later, Random)
            .KnownPeers.empty());
  Peers.removeStale(Start + std::chrono::seconds(61));
  CHECK(Peers.size() == 0);
}
