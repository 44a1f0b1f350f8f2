#include "buckthorndeck/net/UdpSocket.h"

#include "RunTask.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace buckthorndeck;
namespace asio = boost::asio;

namespace {

UdpSocket bound(asio::io_context &Context) {
  auto Socket = UdpSocket::bind(Context.get_executor(), loopbackUdp());
  REQUIRE(Socket);
  return std::move(*Socket);
}

Task<> receiveInto(UdpSocket &Socket, Bytes &Payload, UdpEndpoint &Sender) {
  auto Received = co_await Socket.receive();
  REQUIRE(Received);
  Payload.assign(Received->Payload.begin(), Received->Payload.end());
  Sender = Received->Sender;
}

Task<> expectClosed(UdpSocket &Socket, bool &Failed) {
  auto Received = co_await Socket.receive();
  Failed = !Received && Received.error().Code == ErrorCode::Unavailable;
}

} // namespace

TEST_CASE("A datagram arrives with its sender", "[udp]") {
  asio::io_context Context;
  UdpSocket Left = bound(Context);
  UdpSocket Right = bound(Context);
  for (std::size_t Size : {0, 1, 1472}) {
    const Bytes Sent(Size, 7);
    Bytes Payload(1);
    UdpEndpoint Sender;
    REQUIRE(Left.send(Sent, Right.localEndpoint()));
    runTask(Context, receiveInto(Right, Payload, Sender));
    CHECK(Payload == Sent);
    CHECK(Sender == Left.localEndpoint());
  }
}

TEST_CASE("An over-long datagram arrives cut and the next one whole", "[udp]") {
  asio::io_context Context;
  UdpSocket Left = bound(Context);
  UdpSocket Right = bound(Context);
  CHECK_FALSE(Left.send(Bytes(70000), Right.localEndpoint()));
  REQUIRE(Left.send(Bytes(9000, 1), Right.localEndpoint()));
  REQUIRE(Left.send(Bytes(5, 2), Right.localEndpoint()));
  Bytes Payload;
  UdpEndpoint Sender;
  runTask(Context, receiveInto(Right, Payload, Sender));
  CHECK(Payload == Bytes(DatagramBufferBytes, 1));
  runTask(Context, receiveInto(Right, Payload, Sender));
  CHECK(Payload == Bytes(5, 2));
}

TEST_CASE("A refused destination does not disturb the socket", "[udp]") {
  // Guards against a dead peer's port-unreachable message that ends the
  // receive loop of every other peer.
  asio::io_context Context;
  UdpSocket Left = bound(Context);
  UdpSocket Right = bound(Context);
  UdpEndpoint Closed;
  {
    const UdpSocket Gone = bound(Context);
    Closed = Gone.localEndpoint();
  }
  for (int Round = 0; Round < 10; ++Round)
    Left.send(Bytes(5, 1), Closed);
  REQUIRE(Right.send(Bytes(5, 2), Left.localEndpoint()));
  Bytes Payload;
  UdpEndpoint Sender;
  runTask(Context, receiveInto(Left, Payload, Sender));
  CHECK(Payload == Bytes(5, 2));
}

TEST_CASE("Closing a socket ends its receive", "[udp]") {
  asio::io_context Context;
  UdpSocket Socket = bound(Context);
  bool Failed = false;
  spawn(Context.get_executor(), "receive", expectClosed(Socket, Failed));
  Context.poll();
  CHECK_FALSE(Failed);
  Socket.close();
  Context.run();
  CHECK(Failed);
  Failed = false;
  runTask(Context, expectClosed(Socket, Failed));
  CHECK(Failed);
}

TEST_CASE("Destroying a socket ends its receive", "[udp]") {
  // Guards against a use of the socket after its end, which the sanitized
  // build reports.
  asio::io_context Context;
  auto Socket = std::make_unique<UdpSocket>(bound(Context));
  bool Failed = false;
  spawn(Context.get_executor(), "receive", expectClosed(*Socket, Failed));
  Context.poll();
  Socket.reset();
  Context.run();
  CHECK(Failed);
}

TEST_CASE("An address in use is reported with its name", "[udp]") {
  asio::io_context Context;
  UdpSocket Socket = bound(Context);
  const auto Second =
      UdpSocket::bind(Context.get_executor(), Socket.localEndpoint());
  REQUIRE_FALSE(Second);
  CHECK(Second.error().Peer == toString(Socket.localEndpoint()));
}

TEST_CASE("Only an IPv4 address with a port is an endpoint", "[endpoint]") {
  const auto Parsed = parseUdpEndpoint("10.1.2.3:65535", "read");
  REQUIRE(Parsed);
  CHECK(toString(*Parsed) == "10.1.2.3:65535");
  const std::string WithNul("10.0.0.1\0x:1", 12);
  for (const std::string &Bad :
       {std::string(), std::string("10.0.0.1"), std::string("10.0.0.1:"),
        std::string("10.0.0.1:65536"), std::string("10.0.0.1:-1"),
        std::string("10.0.0.1:1x"), std::string(":1"), std::string("::1:1"),
        std::string("localhost:1"), std::string("10.0.0:1"),
        std::string(" 10.0.0.1:1"), std::string("10.0.0.1 :1"), WithNul}) {
    INFO(Bad);
    CHECK_FALSE(parseUdpEndpoint(Bad, "read"));
    CHECK_FALSE(parseTcpEndpoint(Bad, "read"));
  }
}
