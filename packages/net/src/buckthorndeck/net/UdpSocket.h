#ifndef BUCKTHORNDECK_NET_UDPSOCKET_H
#define BUCKTHORNDECK_NET_UDPSOCKET_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <array>
#include <boost/asio/ip/udp.hpp>

namespace buckthorndeck {

//! Room for one datagram; longer ones arrive cut to this size and are then
//! refused by the decoders, whose limit is lower.
inline constexpr std::size_t DatagramBufferBytes = 2048;

//! A received datagram. Payload is valid until the next receive.
struct ReceivedDatagram {
  UdpEndpoint Sender;
  ByteView Payload;
};

class UdpSocket {
public:
  //! Binds to Local; port 0 lets the kernel choose.
  static Expected<UdpSocket> bind(const Executor &Where,
                                  const UdpEndpoint &Local);

  UdpEndpoint localEndpoint() const { return Local; }

  //! Waits for one datagram. Fails with Unavailable after close().
  Task<Expected<ReceivedDatagram>> receive();

  //! Sends without waiting. Returns false when the kernel took nothing, which
  //! the protocol treats like a datagram lost on the way.
  bool send(ByteView Payload, const UdpEndpoint &Receiver);

  //! Waits until a datagram can be received. False after close().
  Task<bool> waitReadable();

  bool isOpen() const { return Socket.is_open(); }
  //! For DatagramBatch.
  int nativeHandle() { return Socket.native_handle(); }

  void close();

private:
  explicit UdpSocket(boost::asio::ip::udp::socket Socket);

  boost::asio::ip::udp::socket Socket;
  UdpEndpoint Local;
  std::array<std::uint8_t, DatagramBufferBytes> Buffer{};
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_UDPSOCKET_H
