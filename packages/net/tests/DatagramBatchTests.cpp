#include "buckthorndeck/net/DatagramBatch.h"

#include "RunTask.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;

namespace {

class BatchFixture {
public:
  BatchFixture()
      : First(*UdpSocket::bind(Context.get_executor(), loopbackUdp())),
        Second(*UdpSocket::bind(Context.get_executor(), loopbackUdp())) {}

  std::size_t receive(DatagramBatch &Batch, UdpSocket &Socket) {
    runTask(Context, wait(Socket));
    return Batch.receive(Socket);
  }

  boost::asio::io_context Context;
  UdpSocket First;
  UdpSocket Second;

private:
  static Task<> wait(UdpSocket &Socket) { co_await Socket.waitReadable(); }
};

} // namespace

TEST_CASE("Datagrams are received together and each keeps its length",
          "[batch]") {
  BatchFixture Site;
  DatagramBatch Batch({.Capacity = 4});
  for (const char *Text : {"one", "three", ""})
    REQUIRE(Site.First.send(toBytes(Text), Site.Second.localEndpoint()));
  std::size_t Count = 0;
  std::vector<std::string> Received;
  while (Received.size() < 3) {
    Count = Site.receive(Batch, Site.Second);
    for (std::size_t Index = 0; Index < Count; ++Index)
      Received.emplace_back(toText(Batch.datagram(Index)));
  }
  CHECK(Received == std::vector<std::string>{"one", "three", ""});
  CHECK(Batch.receive(Site.Second) == 0);
}

TEST_CASE("A received datagram is sent on with a prefix in its headroom",
          "[batch]") {
  BatchFixture Site;
  DatagramBatch Batch({.Capacity = 2, .HeadroomBytes = 4});
  DatagramBatch Target({.Capacity = 8});
  for (const char *Text : {"aa", "bbb"})
    REQUIRE(Site.First.send(toBytes(Text), Site.Second.localEndpoint()));
  std::size_t Forwarded = 0;
  while (Forwarded < 2) {
    const std::size_t Count = Site.receive(Batch, Site.Second);
    for (std::size_t Index = 0; Index < Count; ++Index) {
      const auto Whole = Batch.withHeadroom(Index, 4);
      std::fill_n(Whole.begin(), 4, std::uint8_t{'#'});
      Batch.queue(Site.Second, Whole, Site.First.localEndpoint());
    }
    CHECK(Batch.flush(Site.Second) == 0);
    Forwarded += Count;
  }
  std::vector<std::string> Received;
  while (Received.size() < 2) {
    const std::size_t Count = Site.receive(Target, Site.First);
    for (std::size_t Index = 0; Index < Count; ++Index)
      Received.emplace_back(toText(Target.datagram(Index)));
  }
  CHECK(Received == std::vector<std::string>{"####aa", "####bbb"});
}

TEST_CASE("A datagram that cannot be sent is counted and holds back no other",
          "[batch]") {
  BatchFixture Site;
  DatagramBatch Batch({.Capacity = 4});
  DatagramBatch Target({.Capacity = 4});
  const Bytes Good = toBytes("good");
  const Bytes TooLong(100'000, 0);
  const UdpEndpoint Receiver = Site.Second.localEndpoint();
  Batch.queue(Site.First, TooLong, Receiver);
  Batch.queue(Site.First, Good, Receiver);
  CHECK(Batch.flush(Site.First) == 1);
  CHECK(Batch.dropped() == 1);
  CHECK(Site.receive(Target, Site.Second) == 1);
  CHECK(toText(Target.datagram(0)) == "good");
}

TEST_CASE("A full queue is sent before it grows", "[batch]") {
  BatchFixture Site;
  DatagramBatch Batch({.Capacity = 2});
  DatagramBatch Target({.Capacity = 8});
  const Bytes Payload = toBytes("x");
  for (int Count = 0; Count < 5; ++Count)
    Batch.queue(Site.First, Payload, Site.Second.localEndpoint());
  Batch.flush(Site.First);
  std::size_t Received = 0;
  while (Received < 5)
    Received += Site.receive(Target, Site.Second);
  CHECK(Received == 5);
}
