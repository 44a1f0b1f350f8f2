#ifndef BUCKTHORNDECK_NET_TESTS_RUNTASK_H
#define BUCKTHORNDECK_NET_TESTS_RUNTASK_H

#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>

namespace buckthorndeck {

//! Runs Context until Work has ended and rethrows what left it. Other tasks
//! may still be pending then, and are destroyed with Context.
inline void runTask(boost::asio::io_context &Context, Task<> Work) {
  bool Done = false;
  std::exception_ptr Failure;
  boost::asio::co_spawn(Context, std::move(Work),
                        [&](const std::exception_ptr &Caught) {
                          Failure = Caught;
                          Done = true;
                        });
  Context.restart();
  while (!Done)
    Context.run_one();
  Context.restart();
  if (Failure)
    std::rethrow_exception(Failure);
}

inline TcpEndpoint loopbackTcp() {
  return {boost::asio::ip::address_v4::loopback(), 0};
}

inline UdpEndpoint loopbackUdp() {
  return {boost::asio::ip::address_v4::loopback(), 0};
}

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_TESTS_RUNTASK_H
