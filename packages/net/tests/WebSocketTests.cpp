#include "buckthorndeck/net/WebSocket.h"

#include "RunTask.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/TcpListener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/websocket.hpp>
#include <catch2/catch.hpp>

using namespace buckthorndeck;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace websocket = boost::beast::websocket;
using asio::ip::tcp;

namespace {

//! So long that a test which waits for it fails by its own time limit.
constexpr WebSocketOptions NeverIdle{.IdleTimeout = Milliseconds(3'600'000)};

using RawStream = websocket::stream<beast::tcp_stream>;

//! Sides of one connection.
struct Pair {
  WebSocket::Pointer Client;
  WebSocket::Pointer Server;
};

Task<> acceptInto(tcp::acceptor &Acceptor, WebSocketOptions Options,
                  Expected<WebSocket::Pointer> &Result, Notifier &Changed) {
  auto Socket = co_await acceptTcp(Acceptor);
  REQUIRE(Socket);
  Result = co_await WebSocket::accept(std::move(*Socket), Options);
  Changed.notifyAll();
}

Task<> connectPair(WebSocketOptions ClientOptions,
                   WebSocketOptions ServerOptions, Pair &Result) {
  const Executor Where = co_await asio::this_coro::executor;
  auto Acceptor = listenTcp(Where, loopbackTcp());
  REQUIRE(Acceptor);
  Notifier Changed(Where);
  Expected<WebSocket::Pointer> Server;
  spawn(Where, "accept", acceptInto(*Acceptor, ServerOptions, Server, Changed));
  auto Client =
      co_await WebSocket::connect(Acceptor->local_endpoint(), ClientOptions);
  REQUIRE(Client);
  while (Server && !*Server)
    co_await Changed.wait();
  REQUIRE(Server);
  Result = {.Client = *Client, .Server = *Server};
}

//! Connects a peer that is not our own WebSocket class.
Task<> connectRaw(WebSocketOptions ServerOptions, WebSocket::Pointer &Result,
                  std::unique_ptr<RawStream> &Raw) {
  const Executor Where = co_await asio::this_coro::executor;
  auto Acceptor = listenTcp(Where, loopbackTcp());
  REQUIRE(Acceptor);
  Notifier Changed(Where);
  Expected<WebSocket::Pointer> Server;
  spawn(Where, "accept", acceptInto(*Acceptor, ServerOptions, Server, Changed));
  Raw = std::make_unique<RawStream>(Where);
  co_await beast::get_lowest_layer(*Raw).async_connect(
      Acceptor->local_endpoint(), asio::use_awaitable);
  co_await Raw->async_handshake("test", "/", asio::use_awaitable);
  while (Server && !*Server)
    co_await Changed.wait();
  REQUIRE(Server);
  Result = *Server;
}

Task<> receiveInto(WebSocket::Pointer Link, Expected<Json> &Result) {
  Result = co_await Link->receive();
}

Expected<Json> receiveFrom(asio::io_context &Context,
                           const WebSocket::Pointer &Link) {
  Expected<Json> Result;
  runTask(Context, receiveInto(Link, Result));
  return Result;
}

Task<> writeRaw(RawStream &Raw, bool Text, Bytes Message) {
  Raw.text(Text);
  co_await Raw.async_write(asio::buffer(Message), asio::use_awaitable);
}

Task<> readRawUntilEnd(RawStream &Raw) {
  beast::flat_buffer Buffer;
  while (true) {
    auto [Code, Length] =
        co_await Raw.async_read(Buffer, asio::as_tuple(asio::use_awaitable));
    if (Code)
      co_return;
  }
}

Task<> expectOrder(WebSocket::Pointer Link, std::uint64_t Count) {
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    auto Message = co_await Link->receive();
    REQUIRE(Message);
    REQUIRE((*Message)["n"] == Index);
  }
}

Task<> waitFor(Notifier &Changed, const int &Value, int Wanted) {
  while (Value < Wanted)
    co_await Changed.wait();
}

Task<> connectInto(TcpEndpoint Peer, WebSocketOptions Options,
                   Expected<WebSocket::Pointer> &Result) {
  Result = co_await WebSocket::connect(Peer, Options);
}

Task<> echoOnce(WebSocket::Pointer Link) {
  auto Message = co_await Link->receive();
  if (Message)
    Link->send(*Message);
  // The handler's end closes the connection, so wait for the peer's end.
  co_await Link->receive();
}

} // namespace

TEST_CASE("Messages arrive in the order they were sent", "[websocket]") {
  asio::io_context Context;
  Pair Link;
  runTask(Context, connectPair({}, {}, Link));
  CHECK(Link.Client->peer().find("127.0.0.1:") == 0);
  // Sizes differ, so that a reordering of large and small writes would show.
  for (std::uint64_t Index = 0; Index < 500; ++Index) {
    const Json Message = {{"n", Index},
                          {"pad", binary(Bytes(Index % 7 * 3000))}};
    REQUIRE(Link.Client->send(Message));
    REQUIRE(Link.Server->send(Message));
  }
  runTask(Context, expectOrder(Link.Server, 500));
  runTask(Context, expectOrder(Link.Client, 500));
}

TEST_CASE("A full queue refuses messages until it has drained", "[websocket]") {
  asio::io_context Context;
  Pair Link;
  runTask(Context, connectPair({.MaxQueuedBytes = 100'000}, {}, Link));
  const auto Message = [](std::uint64_t Index) {
    return Json{{"n", Index}, {"pad", binary(Bytes(1000))}};
  };
  std::uint64_t Sent = 0;
  while (Link.Client->send(Message(Sent)))
    ++Sent;
  CHECK(Sent == 100'000 / encodeCbor(Message(50)).size());
  runTask(Context, expectOrder(Link.Server, Sent));
  // The last bytes are taken off the count once their write has completed.
  Context.poll();
  std::uint64_t Again = 0;
  while (Link.Client->send(Message(Again)))
    ++Again;
  CHECK(Again == Sent);
}

TEST_CASE("A message over the limit is not sent", "[websocket]") {
  asio::io_context Context;
  Pair Link;
  runTask(Context, connectPair({.MaxMessageBytes = 1000}, {}, Link));
  CHECK_FALSE(Link.Client->send(binary(Bytes(1000))));
  CHECK(Link.Client->send(binary(Bytes(997))));
  CHECK(receiveFrom(Context, Link.Server));
}

TEST_CASE("A peer that sends a message over the limit is cut off",
          "[websocket]") {
  asio::io_context Context;
  Pair Link;
  runTask(Context, connectPair({}, {.MaxMessageBytes = 1000}, Link));
  REQUIRE(Link.Client->send(binary(Bytes(1000))));
  // Both sides receive, so that neither waits for the other to close.
  Expected<Json> Other = Json();
  spawn(Context.get_executor(), "other", receiveInto(Link.Client, Other));
  const auto Message = receiveFrom(Context, Link.Server);
  REQUIRE_FALSE(Message);
  CHECK(Message.error().Code == ErrorCode::Unavailable);
  while (Other)
    Context.run_one();
  CHECK_FALSE(Link.Server->send(1));
  CHECK_FALSE(Link.Client->send(1));
}

TEST_CASE("Closing a connection ends a pending receive on both sides",
          "[websocket]") {
  asio::io_context Context;
  Pair Link;
  runTask(Context, connectPair(NeverIdle, NeverIdle, Link));
  Expected<Json> Own = Json();
  Expected<Json> Other = Json();
  spawn(Context.get_executor(), "own", receiveInto(Link.Client, Own));
  spawn(Context.get_executor(), "other", receiveInto(Link.Server, Other));
  Context.poll();
  Link.Client->close();
  Link.Client->close();
  CHECK_FALSE(Link.Client->send(1));
  // Guards against a closed connection that stays until its idle timeout:
  // nothing may be left to run.
  Context.run();
  REQUIRE((!Own && !Other));
  CHECK(Own.error().Code == ErrorCode::Unavailable);
  CHECK(Other.error().Code == ErrorCode::Unavailable);
  CHECK_FALSE(receiveFrom(Context, Link.Client));
}

TEST_CASE("Releasing a connection closes it", "[websocket]") {
  asio::io_context Context;
  Pair Link;
  runTask(Context, connectPair({}, {}, Link));
  REQUIRE(Link.Client->send(1));
  Link.Client.reset();
  CHECK_FALSE(receiveFrom(Context, Link.Server));
}

TEST_CASE("A message that is not one CBOR item in a binary frame is refused",
          "[websocket]") {
  asio::io_context Context;
  WebSocket::Pointer Link;
  std::unique_ptr<RawStream> Raw;
  runTask(Context, connectRaw({}, Link, Raw));
  // 0x01 is valid text and a valid CBOR item; the frame type decides.
  const std::pair<bool, Bytes> Rows[] = {{true, {0x01}},
                                         {false, {0x01, 0x02}},
                                         {false, {0x9b, 0x40}},
                                         {false, {}},
                                         {false, Bytes(100'000, 0x81)}};
  for (const auto &[Text, Message] : Rows) {
    runTask(Context, writeRaw(*Raw, Text, Message));
    const auto Received = receiveFrom(Context, Link);
    REQUIRE_FALSE(Received);
    CHECK(Received.error().Code == ErrorCode::Invalid);
  }
  runTask(Context, writeRaw(*Raw, false, {0x01}));
  const auto Received = receiveFrom(Context, Link);
  REQUIRE(Received);
  CHECK(*Received == 1);
}

TEST_CASE("A handshake that does not end in time fails", "[websocket]") {
  asio::io_context Context;
  tcp::acceptor Acceptor(Context, loopbackTcp());
  const WebSocketOptions Options{.HandshakeTimeout = Milliseconds(100)};
  Expected<WebSocket::Pointer> Result;
  SECTION("on the side that connects") {
    runTask(Context, connectInto(Acceptor.local_endpoint(), Options, Result));
  }
  SECTION("on the side that accepts") {
    Notifier Changed(Context.get_executor());
    tcp::socket Silent(Context);
    Silent.connect(Acceptor.local_endpoint());
    runTask(Context, acceptInto(Acceptor, Options, Result, Changed));
  }
  REQUIRE_FALSE(Result);
  CHECK(Result.error().Code == ErrorCode::Timeout);
  CHECK(Result.error().Step == "WebSocket handshake");
}

TEST_CASE("Connecting to a closed port fails as unavailable", "[websocket]") {
  asio::io_context Context;
  tcp::acceptor Acceptor(Context, loopbackTcp());
  const TcpEndpoint Peer = Acceptor.local_endpoint();
  Acceptor.close();
  Expected<WebSocket::Pointer> Result;
  runTask(Context, connectInto(Peer, {}, Result));
  REQUIRE_FALSE(Result);
  CHECK(Result.error().Code == ErrorCode::Unavailable);
  CHECK(Result.error().Peer == toString(Peer));
}

TEST_CASE("A peer that answers no ping is lost", "[websocket]") {
  asio::io_context Context;
  WebSocket::Pointer Link;
  std::unique_ptr<RawStream> Raw;
  runTask(Context, connectRaw({.IdleTimeout = Milliseconds(100)}, Link, Raw));
  // The raw peer does not read, so that it sends no pong.
  const auto Message = receiveFrom(Context, Link);
  REQUIRE_FALSE(Message);
  CHECK(Message.error().Code == ErrorCode::Timeout);
  CHECK_FALSE(Link->send(1));
}

TEST_CASE("A peer that only answers pings is kept", "[websocket]") {
  asio::io_context Context;
  WebSocket::Pointer Link;
  std::unique_ptr<RawStream> Raw;
  runTask(Context, connectRaw({.IdleTimeout = Milliseconds(400)}, Link, Raw));
  Notifier Changed(Context.get_executor());
  int Pings = 0;
  Raw->control_callback([&](websocket::frame_type Kind, beast::string_view) {
    if (Kind == websocket::frame_type::ping)
      ++Pings;
    Changed.notifyAll();
  });
  spawn(Context.get_executor(), "raw_peer", readRawUntilEnd(*Raw));
  Expected<Json> Message = Json();
  spawn(Context.get_executor(), "receive", receiveInto(Link, Message));
  // Pings come every half idle timeout: the third is later than the timeout.
  runTask(Context, waitFor(Changed, Pings, 3));
  runTask(Context, writeRaw(*Raw, false, {0x07}));
  while (Message && Message->is_null())
    Context.run_one();
  REQUIRE(Message);
  CHECK(*Message == 7);
}

TEST_CASE("A listener serves each connection until its handler ends",
          "[websocket]") {
  asio::io_context Context;
  auto Listener =
      WebSocketListener::bind(Context.get_executor(), loopbackTcp());
  REQUIRE(Listener);
  spawn(Context.get_executor(), "serve", Listener->serve(echoOnce, NeverIdle));
  Expected<WebSocket::Pointer> First;
  Expected<WebSocket::Pointer> Second;
  runTask(Context, connectInto(Listener->localEndpoint(), NeverIdle, First));
  runTask(Context, connectInto(Listener->localEndpoint(), NeverIdle, Second));
  REQUIRE((First && Second));
  (*Second)->send("b");
  (*First)->send("a");
  CHECK(receiveFrom(Context, *First).value_or(Json()) == "a");
  CHECK(receiveFrom(Context, *Second).value_or(Json()) == "b");
  (*First)->send("end");
  CHECK_FALSE(receiveFrom(Context, *First));
  Listener->close();
  (*Second)->close();
  // Nothing is left to run once the listener and both connections are closed.
  Context.run();
}

TEST_CASE("Connections may be pending when their context ends", "[websocket]") {
  // Guards against a use after free at exit, which the sanitized build
  // reports.
  auto Context = std::make_unique<asio::io_context>();
  Pair Link;
  runTask(*Context, connectPair({}, {}, Link));
  Expected<Json> Message = Json();
  spawn(Context->get_executor(), "receive", receiveInto(Link.Client, Message));
  Link.Server->send(1);
  Link = {};
  Context.reset();
  CHECK(Message);
}
