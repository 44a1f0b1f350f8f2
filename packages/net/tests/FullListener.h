#ifndef BUCKTHORNDECK_NET_TESTS_FULLLISTENER_H
#define BUCKTHORNDECK_NET_TESTS_FULLLISTENER_H

#include "RunTask.h"

#include <boost/asio/ip/tcp.hpp>

namespace buckthorndeck {

//! A listener whose queue is full and is never emptied: the kernel drops
//! further attempts to connect, as a host without power would.
class FullListener {
public:
  explicit FullListener(boost::asio::io_context &Context)
      : Acceptor(Context, loopbackTcp()), Queued(Context) {
    // A backlog of 0 holds one connection.
    Acceptor.listen(0);
    Queued.connect(Acceptor.local_endpoint());
  }

  TcpEndpoint endpoint() const { return Acceptor.local_endpoint(); }

private:
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::ip::tcp::socket Queued;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_TESTS_FULLLISTENER_H
