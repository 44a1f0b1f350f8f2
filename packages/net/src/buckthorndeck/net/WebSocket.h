#ifndef BUCKTHORNDECK_NET_WEBSOCKET_H
#define BUCKTHORNDECK_NET_WEBSOCKET_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <functional>
#include <memory>
#include <string>

namespace buckthorndeck {

struct WebSocketOptions {
  //! Limit on connecting and on the handshake.
  Milliseconds HandshakeTimeout{2000};
  //! A peer that sends nothing, not even a pong, for this long is lost.
  Milliseconds IdleTimeout{4000};
  //! Largest message accepted or sent.
  std::size_t MaxMessageBytes = 2 * 1024 * 1024;
  //! Queued bytes beyond which send() refuses; bounds memory per peer.
  std::size_t MaxQueuedBytes = 16 * 1024 * 1024;
};

/**
 * A WebSocket connection that carries one CBOR item per binary message.
 *
 * One coroutine receives; any code on the same thread may send. A writer task
 * inside the connection keeps messages in order.
 */
class WebSocket {
public:
  using Pointer = std::shared_ptr<WebSocket>;

  static Task<Expected<Pointer>> connect(TcpEndpoint Peer,
                                         WebSocketOptions Options = {});
  //! Completes the handshake on an accepted TCP connection.
  static Task<Expected<Pointer>> accept(boost::asio::ip::tcp::socket Socket,
                                        WebSocketOptions Options = {});
  ~WebSocket();

  //! Next message. Unavailable once the connection has ended, or Timeout if
  //! it ended by the idle timeout; Invalid for a text message or one that is
  //! not one CBOR item, after which the connection goes on.
  Task<Expected<Json>> receive();

  //! Queues Message. Returns false, having sent nothing, when the connection
  //! has ended or its queue is full.
  bool send(const Json &Message);

  //! Ends the connection at once; a pending receive() fails.
  void close();

  //! "address:port" of the other side.
  const std::string &peer() const;

private:
  struct Connection;
  explicit WebSocket(std::shared_ptr<Connection> Link);

  std::shared_ptr<Connection> Link;
};

//! Serves one connection; the connection ends when the task returns.
using WebSocketHandler = std::function<Task<>(WebSocket::Pointer)>;

//! A listening TCP socket for WebSocket connections.
class WebSocketListener {
public:
  //! Binds and listens; port 0 lets the kernel choose.
  static Expected<WebSocketListener> bind(const Executor &Where,
                                          const TcpEndpoint &Local);

  TcpEndpoint localEndpoint() const { return Local; }
  //! Accepts until close(), one task per connection.
  Task<> serve(WebSocketHandler Handler, WebSocketOptions Options = {});
  void close();

private:
  explicit WebSocketListener(boost::asio::ip::tcp::acceptor Acceptor);

  boost::asio::ip::tcp::acceptor Acceptor;
  TcpEndpoint Local;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_WEBSOCKET_H
