#include "buckthorndeck/entryhost/PeerLink.h"

#include "buckthorndeck/net/UdpSocket.h"
#include "buckthorndeck/wire/Relay.h"

namespace buckthorndeck::entryhost {

void PeerLink::sendControl(const Bytes &Envelope, const UdpEndpoint &Peer) {
  const Bytes Sealed = seal(Key, Envelope);
  ControlBytesSent += Sealed.size();
  Socket.send(Sealed, Peer);
}

void PeerLink::relay(const UdpEndpoint &Peer, const UdpEndpoint &Caller,
                     ByteView Datagram, bool Takeover) {
  const wire::Relay Message{.Caller = toString(Caller),
                            .Takeover = Takeover,
                            .Payload = Bytes(Datagram.begin(), Datagram.end())};
  Socket.send(wire::encodeRelay(Key, Message), Peer);
}

} // namespace buckthorndeck::entryhost
