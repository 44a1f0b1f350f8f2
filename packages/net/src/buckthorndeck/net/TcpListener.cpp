#include "buckthorndeck/net/TcpListener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndeck {

namespace asio = boost::asio;
using asio::ip::tcp;

Expected<tcp::acceptor> listenTcp(const Executor &Where,
                                  const TcpEndpoint &Local) {
  boost::system::error_code Code;
  tcp::acceptor Acceptor(Where);
  Acceptor.open(tcp::v4(), Code);
  if (!Code)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind(Local, Code);
  if (!Code)
    Acceptor.listen(asio::socket_base::max_listen_connections, Code);
  if (Code)
    return Unexpected(Error{.Code = ErrorCode::Unavailable,
                            .Step = "listen on TCP socket",
                            .Peer = toString(Local),
                            .Message = Code.message()});
  return Acceptor;
}

Task<Expected<tcp::socket>> acceptTcp(tcp::acceptor &Acceptor) {
  while (Acceptor.is_open()) {
    auto [Code, Socket] =
        co_await Acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (!Code) {
      boost::system::error_code Ignored;
      Socket.set_option(tcp::no_delay(true), Ignored);
      co_return std::move(Socket);
    }
    if (Code == asio::error::operation_aborted ||
        Code == asio::error::bad_descriptor)
      break;
    // Out of descriptors, or the peer left before it was accepted: wait, so
    // that the loop does not spin.
    co_await sleepFor(Milliseconds(10));
  }
  co_return Unexpected(Error{.Code = ErrorCode::Unavailable,
                             .Step = "accept TCP connection",
                             .Message = "listener closed"});
}

} // namespace buckthorndeck
