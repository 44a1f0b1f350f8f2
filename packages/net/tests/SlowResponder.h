#ifndef BUCKTHORNDECK_NET_TESTS_SLOWRESPONDER_H
#define BUCKTHORNDECK_NET_TESTS_SLOWRESPONDER_H

#include "RunTask.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace buckthorndeck {

/**
 * Answers each HTTP request with one body, in equal parts with a pause before
 * each, as a slow link delivers it. Sends only the first part if it Stalls.
 */
class SlowResponder {
public:
  static constexpr std::size_t Parts = 5;

  SlowResponder(boost::asio::io_context &Context, std::string Body,
                Milliseconds Pause, bool Stalls = false)
      : Acceptor(Context, loopbackTcp()), Body(std::move(Body)), Pause(Pause),
        Stalls(Stalls) {
    spawn(Context.get_executor(), "slow_responder", serve());
  }

  TcpEndpoint endpoint() const { return Acceptor.local_endpoint(); }

private:
  Task<> serve() {
    while (true) {
      auto Socket = co_await Acceptor.async_accept(boost::asio::use_awaitable);
      spawn(Acceptor.get_executor(), "slow_response",
            respond(std::move(Socket)));
    }
  }

  Task<> respond(boost::asio::ip::tcp::socket Socket) {
    std::string Request;
    co_await boost::asio::async_read_until(
        Socket, boost::asio::dynamic_buffer(Request), "\r\n\r\n",
        boost::asio::use_awaitable);
    const std::string Head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
        "\r\n\r\n";
    const std::string Whole = Head + Body;
    const std::size_t PartBytes = Whole.size() / Parts + 1;
    for (std::size_t Sent = 0; Sent < Whole.size(); Sent += PartBytes) {
      if (Sent > 0 && Stalls)
        Pause = std::chrono::hours(1);
      co_await sleepFor(Pause);
      const std::string Part = Whole.substr(Sent, PartBytes);
      co_await boost::asio::async_write(Socket, boost::asio::buffer(Part),
                                        boost::asio::use_awaitable);
    }
  }

  boost::asio::ip::tcp::acceptor Acceptor;
  std::string Body;
  Milliseconds Pause;
  bool Stalls;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_TESTS_SLOWRESPONDER_H
