#ifndef BUCKTHORNDECK_ENTRYHOST_PEERLINK_H
#define BUCKTHORNDECK_ENTRYHOST_PEERLINK_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Mac.h"
#include "buckthorndeck/net/Endpoint.h"

#include <cstdint>

namespace buckthorndeck {
class UdpSocket;
} // namespace buckthorndeck

namespace buckthorndeck::entryhost {

//! Sends sealed datagrams to other entry hosts.
class PeerLink {
public:
  PeerLink(UdpSocket &Socket, const MacKey &Key) : Socket(Socket), Key(Key) {}

  //! Seals and sends an encoded envelope of the control protocols.
  void sendControl(const Bytes &Envelope, const UdpEndpoint &Peer);

  //! Relays a caller's datagram to another host. Its bytes do not count as
  //! control traffic. Takeover: the peer shall become the flow's owner.
  void relay(const UdpEndpoint &Peer, const UdpEndpoint &Caller,
             ByteView Datagram, bool Takeover);

  //! Bytes of control messages sent since the start.
  std::uint64_t controlBytesSent() const { return ControlBytesSent; }

private:
  UdpSocket &Socket;
  MacKey Key;
  std::uint64_t ControlBytesSent = 0;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_PEERLINK_H
