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

TEST_CASE("A heartbeat survives encoding", "[peers]") {
  const PeerHeartbeat Sent{.Sender = makePeer(1),
                           .Others = {makePeer(2), makePeer(3)}};
  const auto Received = decodeHeartbeat(encodeHeartbeat(Sent), "test");
  REQUIRE(Received);
  CHECK(Received->Sender.Name == Sent.Sender.Name);
  CHECK(Received->Sender.Heartbeat == Sent.Sender.Heartbeat);
  REQUIRE(Received->Others.size() == 2);
  CHECK(Received->Others[1].Snapshot == Sent.Others[1].Snapshot);
  CHECK(encodeHeartbeat(Sent).size() < 1024);
}

TEST_CASE("Every cut and every changed byte of a heartbeat is survived",
          "[peers]") {
  const Bytes Good =
      encodeHeartbeat({.Sender = makePeer(1), .Others = {makePeer(2)}});
  for (std::size_t Length = 0; Length < Good.size(); ++Length)
    CHECK_FALSE(decodeHeartbeat(ByteView(Good).first(Length), "test"));
  for (std::size_t Index = 0; Index < Good.size(); ++Index) {
    Bytes Bad = Good;
    Bad[Index] ^= 0xff;
    decodeHeartbeat(Bad, "test");
  }
}

TEST_CASE("A host that knows nobody asks its seeds, but not itself",
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
  // Its only peer falls silent.
  CHECK(Peers.heartbeatReceivers(Start + std::chrono::seconds(6), Random)
            .size() == 2);
}

TEST_CASE("A seed of another failure domain tells a host of its own domain",
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

TEST_CASE("A dead peer is neither passed on nor kept", "[peers]") {
  RandomEngine Random(1);
  PeerDirectory Peers(makePeer(1), {});
  Peers.update(heartbeatOf(makePeer(2)), Start);
  const TimePoint Later = Start + std::chrono::seconds(11);
  CHECK(Peers.heartbeatFor(Peers.self().Domain, Later, Random).Others.empty());
  Peers.removeStale(Start + std::chrono::seconds(61));
  CHECK(Peers.size() == 0);
}
