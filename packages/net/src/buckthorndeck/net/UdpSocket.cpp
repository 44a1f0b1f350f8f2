#include "buckthorndeck/net/UdpSocket.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndeck {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {
//! Holds about 2,000 full datagrams, so that a burst survives a scheduling
//! delay of the process. The kernel may grant less.
constexpr int SocketBufferBytes = 4 * 1024 * 1024;
} // namespace

UdpSocket::UdpSocket(udp::socket Socket)
    : Socket(std::move(Socket)), Local(this->Socket.local_endpoint()) {}

Expected<UdpSocket> UdpSocket::bind(const Executor &Where,
                                    const UdpEndpoint &Local) {
  boost::system::error_code Code;
  udp::socket Socket(Where);
  Socket.open(udp::v4(), Code);
  if (!Code)
    Socket.bind(Local, Code);
  if (!Code)
    Socket.non_blocking(true, Code);
  if (Code)
    return Unexpected(Error{.Code = ErrorCode::Unavailable,
                            .Step = "bind UDP socket",
                            .Peer = toString(Local),
                            .Message = Code.message()});
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::receive_buffer_size(SocketBufferBytes),
                    Ignored);
  Socket.set_option(asio::socket_base::send_buffer_size(SocketBufferBytes),
                    Ignored);
  return UdpSocket(std::move(Socket));
}

Task<Expected<ReceivedDatagram>> UdpSocket::receive() {
  // The socket may be destroyed while this waits, so that nothing after the
  // wait but a received datagram may use it.
  const std::string LocalName = toString(Local);
  UdpEndpoint Sender;
  while (Socket.is_open()) {
    auto [Code, Length] = co_await Socket.async_receive_from(
        asio::buffer(Buffer), Sender, asio::as_tuple(asio::use_awaitable));
    // A refused datagram of our own is reported on the next receive; it says
    // nothing about this socket.
    if (Code == asio::error::connection_refused)
      continue;
    if (Code)
      break;
    co_return ReceivedDatagram{.Sender = Sender,
                               .Payload = ByteView(Buffer.data(), Length)};
  }
  co_return Unexpected(Error{.Code = ErrorCode::Unavailable,
                             .Step = "receive datagram",
                             .Peer = LocalName,
                             .Message = "socket closed"});
}

Task<bool> UdpSocket::waitReadable() {
  const auto [Code] = co_await Socket.async_wait(
      udp::socket::wait_read, asio::as_tuple(asio::use_awaitable));
  co_return !Code;
}

bool UdpSocket::send(ByteView Payload, const UdpEndpoint &Receiver) {
  boost::system::error_code Code;
  Socket.send_to(asio::buffer(Payload.data(), Payload.size()), Receiver, 0,
                 Code);
  return !Code;
}

void UdpSocket::close() {
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

} // namespace buckthorndeck
