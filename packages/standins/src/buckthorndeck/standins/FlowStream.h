#ifndef BUCKTHORNDECK_STANDINS_FLOWSTREAM_H
#define BUCKTHORNDECK_STANDINS_FLOWSTREAM_H

#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/standins/FlowPacket.h"

#include <functional>

namespace buckthorndeck::standins {

struct FlowStreamOptions {
  forwarding::SocketAddress Local;
  forwarding::SocketAddress Remote;
  std::uint32_t FirstSequence = 0; //!< Of the first byte that is written.
  std::uint32_t FirstExpected = 0; //!< Of the first byte of the other end.
  std::function<void(const FlowPacket &)> Send;
};

/**
 * One end of an open flow: bytes in order, acknowledged and sent again until
 * the other end has them.
 */
class FlowStream {
public:
  explicit FlowStream(FlowStreamOptions Options);

  void write(ByteView Data, TimePoint Now);
  //! Ends this direction after what was written.
  void finish(TimePoint Now);
  void receive(const FlowPacket &Packet, TimePoint Now);
  //! Sends again what is due. To be called every few ms.
  void tick(TimePoint Now);

  //! Bytes received and not yet taken; the caller removes what it takes.
  Bytes &received() { return Incoming; }
  bool finishedByPeer() const { return PeerFinished; }
  //! Both ends have finished and this end's bytes are acknowledged.
  bool closed() const { return PeerFinished && Finishing && Outgoing.empty(); }
  //! The other end has acknowledged nothing for the whole series of repeats.
  bool gaveUp() const;

  forwarding::ServerToken Token; //!< For the next packets.

private:
  void sendSegment(std::uint32_t Offset, std::size_t Length, bool Finish);
  void sendAcknowledgement();
  void pump(TimePoint Now);
  void acknowledge(std::uint32_t Acknowledged, TimePoint Now);
  //! Sequence numbers in use: the bytes, and one for the end.
  std::uint32_t span() const;

  FlowStreamOptions Options;
  Bytes Outgoing; //!< Written and not yet acknowledged.
  Bytes Incoming;
  std::uint32_t Base;     //!< Sequence number of Outgoing's first byte.
  std::uint32_t Sent = 0; //!< Sequence numbers sent after Base.
  std::uint32_t Expected; //!< Next sequence number of the other end.
  TimePoint ResendAt = TimePoint::max();
  Milliseconds Interval;
  unsigned Resends = 0; //!< Since the last acknowledgement.
  bool Finishing = false;
  bool FinishAcknowledged = false;
  bool PeerFinished = false;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_FLOWSTREAM_H
