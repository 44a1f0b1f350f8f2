#ifndef BUCKTHORNDECK_NET_TCPLISTENER_H
#define BUCKTHORNDECK_NET_TCPLISTENER_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <boost/asio/ip/tcp.hpp>

namespace buckthorndeck {

//! A socket bound to Local that listens.
Expected<boost::asio::ip::tcp::acceptor> listenTcp(const Executor &Where,
                                                   const TcpEndpoint &Local);

//! Next connection, with Nagle's algorithm off because every message is
//! written whole. Unavailable after the acceptor was closed.
Task<Expected<boost::asio::ip::tcp::socket>>
acceptTcp(boost::asio::ip::tcp::acceptor &Acceptor);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_TCPLISTENER_H
