#ifndef BUCKTHORNDECK_NET_HTTPSERVER_H
#define BUCKTHORNDECK_NET_HTTPSERVER_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/HttpMessage.h"
#include "buckthorndeck/net/Task.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>

namespace buckthorndeck {

//! Answers one request; no value closes the connection without an answer.
using HttpHandler =
    std::function<Task<std::optional<HttpResponse>>(HttpRequest)>;

//! A minimal HTTP/1.1 server: one task per connection, keep-alive.
class HttpServer {
public:
  //! Binds and listens; port 0 lets the kernel choose.
  static Expected<HttpServer> bind(const Executor &Where,
                                   const TcpEndpoint &Local);

  TcpEndpoint localEndpoint() const { return Local; }
  //! Accepts until close().
  Task<> serve(HttpHandler Handler);
  void close();

private:
  explicit HttpServer(boost::asio::ip::tcp::acceptor Acceptor);

  boost::asio::ip::tcp::acceptor Acceptor;
  TcpEndpoint Local;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_HTTPSERVER_H
