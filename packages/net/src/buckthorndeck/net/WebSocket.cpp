#include "buckthorndeck/net/WebSocket.h"

#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/TcpListener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/websocket.hpp>
#include <deque>

namespace buckthorndeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace websocket = boost::beast::websocket;
using asio::ip::tcp;

struct WebSocket::Connection {
  Connection(tcp::socket Socket, const WebSocketOptions &Options)
      : Stream(std::move(Socket)), QueueChanged(Stream.get_executor()),
        Options(Options) {
    boost::system::error_code Ignored;
    PeerName = toString(
        beast::get_lowest_layer(Stream).socket().remote_endpoint(Ignored));
    websocket::stream_base::timeout Limits{};
    Limits.handshake_timeout = Options.HandshakeTimeout;
    Limits.idle_timeout = Options.IdleTimeout;
    Limits.keep_alive_pings = true;
    Stream.set_option(Limits);
    Stream.read_message_max(Options.MaxMessageBytes);
    Stream.binary(true);
  }

  Error failure(const char *Step, const boost::system::error_code &Code) const {
    const bool TimedOut = Code == beast::error::timeout;
    return Error{.Code = TimedOut ? ErrorCode::Timeout : ErrorCode::Unavailable,
                 .Step = Step,
                 .Peer = PeerName,
                 .Message = Code.message()};
  }

  void close() {
    if (Closed)
      return;
    Closed = true;
    Queue.clear();
    QueuedBytes = 0;
    // Without this the idle timer keeps the connection for one more period.
    Stream.set_option(websocket::stream_base::timeout{
        .handshake_timeout = websocket::stream_base::none(),
        .idle_timeout = websocket::stream_base::none(),
        .keep_alive_pings = false});
    beast::get_lowest_layer(Stream).close();
    QueueChanged.notifyAll();
  }

  websocket::stream<beast::tcp_stream> Stream;
  Notifier QueueChanged;
  WebSocketOptions Options;
  std::string PeerName;
  std::deque<Bytes> Queue;
  std::size_t QueuedBytes = 0;
  beast::flat_buffer Received;
  bool Closed = false;

  //! Writes queued messages until the connection ends.
  static Task<> writeLoop(std::shared_ptr<Connection> Self) {
    while (true) {
      while (!Self->Closed && Self->Queue.empty())
        co_await Self->QueueChanged.wait();
      if (Self->Closed)
        co_return;
      const Bytes Message = std::move(Self->Queue.front());
      Self->Queue.pop_front();
      auto [Code, Written] = co_await Self->Stream.async_write(
          asio::buffer(Message), asio::as_tuple(asio::use_awaitable));
      if (Code) {
        Self->close();
        co_return;
      }
      if (!Self->Closed)
        Self->QueuedBytes -= Message.size();
    }
  }
};

WebSocket::WebSocket(std::shared_ptr<Connection> Link) : Link(std::move(Link)) {
  spawn(this->Link->Stream.get_executor(), "websocket_writer",
        Connection::writeLoop(this->Link));
}

WebSocket::~WebSocket() { close(); }

Task<Expected<WebSocket::Pointer>>
WebSocket::connect(TcpEndpoint Peer, WebSocketOptions Options) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(Options.HandshakeTimeout);
  auto [ConnectCode] =
      co_await Stream.async_connect(Peer, asio::as_tuple(asio::use_awaitable));
  if (ConnectCode)
    co_return Unexpected(Error{.Code = ErrorCode::Unavailable,
                               .Step = "connect",
                               .Peer = toString(Peer),
                               .Message = ConnectCode.message()});
  Stream.expires_never();
  boost::system::error_code Ignored;
  Stream.socket().set_option(tcp::no_delay(true), Ignored);
  auto Link = std::make_shared<Connection>(Stream.release_socket(), Options);
  const std::string Host = toString(Peer);
  auto [Code] = co_await Link->Stream.async_handshake(
      Host, "/", asio::as_tuple(asio::use_awaitable));
  if (Code)
    co_return Unexpected(Link->failure("WebSocket handshake", Code));
  co_return Pointer(new WebSocket(std::move(Link)));
}

Task<Expected<WebSocket::Pointer>> WebSocket::accept(tcp::socket Socket,
                                                     WebSocketOptions Options) {
  auto Link = std::make_shared<Connection>(std::move(Socket), Options);
  auto [Code] =
      co_await Link->Stream.async_accept(asio::as_tuple(asio::use_awaitable));
  if (Code)
    co_return Unexpected(Link->failure("WebSocket handshake", Code));
  co_return Pointer(new WebSocket(std::move(Link)));
}

Task<Expected<Json>> WebSocket::receive() {
  std::shared_ptr<Connection> Self = Link;
  Self->Received.clear();
  auto [Code, Length] = co_await Self->Stream.async_read(
      Self->Received, asio::as_tuple(asio::use_awaitable));
  if (Code) {
    Self->close();
    co_return Unexpected(Self->failure("receive message", Code));
  }
  if (!Self->Stream.got_binary())
    co_return Unexpected(Error{.Code = ErrorCode::Invalid,
                               .Step = "receive message",
                               .Peer = Self->PeerName,
                               .Message = "a text message"});
  const auto Data = Self->Received.cdata();
  co_return decodeCbor(
      ByteView(static_cast<const std::uint8_t *>(Data.data()), Data.size()),
      "receive message", Self->PeerName);
}

bool WebSocket::send(const Json &Message) {
  if (Link->Closed)
    return false;
  Bytes Encoded = encodeCbor(Message);
  if (Encoded.size() > Link->Options.MaxMessageBytes ||
      Link->QueuedBytes + Encoded.size() > Link->Options.MaxQueuedBytes)
    return false;
  Link->QueuedBytes += Encoded.size();
  Link->Queue.push_back(std::move(Encoded));
  Link->QueueChanged.notifyAll();
  return true;
}

void WebSocket::close() { Link->close(); }

const std::string &WebSocket::peer() const { return Link->PeerName; }

WebSocketListener::WebSocketListener(tcp::acceptor Acceptor)
    : Acceptor(std::move(Acceptor)), Local(this->Acceptor.local_endpoint()) {}

Expected<WebSocketListener> WebSocketListener::bind(const Executor &Where,
                                                    const TcpEndpoint &Local) {
  auto Acceptor = listenTcp(Where, Local);
  if (!Acceptor)
    return Unexpected(Acceptor.error());
  return WebSocketListener(std::move(*Acceptor));
}

namespace {
Task<> serveOne(tcp::socket Socket, WebSocketHandler Handler,
                WebSocketOptions Options) {
  auto Accepted = co_await WebSocket::accept(std::move(Socket), Options);
  if (!Accepted)
    co_return;
  co_await Handler(*Accepted);
  (*Accepted)->close();
}
} // namespace

Task<> WebSocketListener::serve(WebSocketHandler Handler,
                                WebSocketOptions Options) {
  while (true) {
    auto Socket = co_await acceptTcp(Acceptor);
    if (!Socket)
      co_return;
    spawn(Acceptor.get_executor(), "websocket_connection",
          serveOne(std::move(*Socket), Handler, Options));
  }
}

void WebSocketListener::close() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
}

} // namespace buckthorndeck
