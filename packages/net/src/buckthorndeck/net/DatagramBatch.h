#ifndef BUCKTHORNDECK_NET_DATAGRAMBATCH_H
#define BUCKTHORNDECK_NET_DATAGRAMBATCH_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/net/UdpSocket.h"

#include <memory>
#include <span>

namespace buckthorndeck {

struct DatagramBatchOptions {
  std::size_t Capacity = 32;     //!< Datagrams received or sent by one call.
  std::size_t HeadroomBytes = 0; //!< Room before each received datagram.
  std::size_t DatagramBytes = DatagramBufferBytes; //!< Longer ones are cut.
};

/**
 * Receives and sends many datagrams with one system call each way.
 *
 * A received datagram may be changed in place, extended into its headroom and
 * queued for sending without being copied.
 */
class DatagramBatch {
public:
  explicit DatagramBatch(const DatagramBatchOptions &Options);
  ~DatagramBatch();

  //! Receives what has arrived, up to the capacity, without waiting.
  std::size_t receive(UdpSocket &Socket);
  //! A received datagram. Valid until the next receive.
  std::span<std::uint8_t> datagram(std::size_t Index);
  //! The last Bytes bytes of the headroom and the datagram.
  std::span<std::uint8_t> withHeadroom(std::size_t Index, std::size_t Bytes);

  //! Queues a datagram; Payload must stay unchanged until flush(). Flushes
  //! first if the queue is full.
  void queue(UdpSocket &Socket, ByteView Payload, const UdpEndpoint &Receiver);
  //! Sends what is queued. What the kernel does not take is dropped, like a
  //! datagram lost on the way; returns the number of those.
  std::size_t flush(UdpSocket &Socket);

  //! Datagrams that the kernel did not take since the start.
  std::size_t dropped() const { return Dropped; }

private:
  struct Messages;

  DatagramBatchOptions Options;
  Bytes Buffer;
  std::unique_ptr<Messages> Received;
  std::unique_ptr<Messages> Queued;
  std::size_t QueuedCount = 0;
  std::size_t Dropped = 0;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_DATAGRAMBATCH_H
