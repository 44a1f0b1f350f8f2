#include "buckthorndeck/net/DatagramBatch.h"

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>

namespace buckthorndeck {

struct DatagramBatch::Messages {
  explicit Messages(std::size_t Count)
      : Headers(Count), Vectors(Count), Addresses(Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Headers[Index].msg_hdr.msg_iov = &Vectors[Index];
      Headers[Index].msg_hdr.msg_iovlen = 1;
    }
  }

  std::vector<mmsghdr> Headers;
  std::vector<iovec> Vectors;
  std::vector<sockaddr_in> Addresses;
};

DatagramBatch::DatagramBatch(const DatagramBatchOptions &Options)
    : Options(Options), Buffer(Options.Capacity *
                               (Options.HeadroomBytes + Options.DatagramBytes)),
      Received(std::make_unique<Messages>(Options.Capacity)),
      Queued(std::make_unique<Messages>(Options.Capacity)) {}

DatagramBatch::~DatagramBatch() = default;

std::size_t DatagramBatch::receive(UdpSocket &Socket) {
  const std::size_t Stride = Options.HeadroomBytes + Options.DatagramBytes;
  for (std::size_t Index = 0; Index < Options.Capacity; ++Index)
    Received->Vectors[Index] = {.iov_base = Buffer.data() + Index * Stride +
                                            Options.HeadroomBytes,
                                .iov_len = Options.DatagramBytes};
  const int Count =
      recvmmsg(Socket.nativeHandle(), Received->Headers.data(),
               static_cast<unsigned>(Options.Capacity), MSG_DONTWAIT, nullptr);
  return Count < 0 ? 0 : static_cast<std::size_t>(Count);
}

std::span<std::uint8_t> DatagramBatch::datagram(std::size_t Index) {
  return withHeadroom(Index, 0);
}

std::span<std::uint8_t> DatagramBatch::withHeadroom(std::size_t Index,
                                                    std::size_t Bytes) {
  auto *Start = static_cast<std::uint8_t *>(Received->Vectors[Index].iov_base);
  return {Start - Bytes, Received->Headers[Index].msg_len + Bytes};
}

void DatagramBatch::queue(UdpSocket &Socket, ByteView Payload,
                          const UdpEndpoint &Receiver) {
  if (QueuedCount == Options.Capacity)
    flush(Socket);
  sockaddr_in &Address = Queued->Addresses[QueuedCount];
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Receiver.port());
  Address.sin_addr.s_addr = htonl(Receiver.address().to_v4().to_uint());
  msghdr &Header = Queued->Headers[QueuedCount].msg_hdr;
  Header.msg_name = &Address;
  Header.msg_namelen = sizeof(Address);
  // The interface is shared with receiving; sending does not write.
  Queued->Vectors[QueuedCount] = {
      .iov_base = const_cast<std::uint8_t *>(Payload.data()),
      .iov_len = Payload.size()};
  ++QueuedCount;
}

std::size_t DatagramBatch::flush(UdpSocket &Socket) {
  std::size_t Failed = 0;
  std::size_t Next = 0;
  while (Next < QueuedCount) {
    const int Count =
        sendmmsg(Socket.nativeHandle(), Queued->Headers.data() + Next,
                 static_cast<unsigned>(QueuedCount - Next), MSG_DONTWAIT);
    if (Count > 0) {
      Next += static_cast<std::size_t>(Count);
      continue;
    }
    if (errno == EINTR)
      continue;
    // The first datagram of the rest failed; the others may still go.
    ++Next;
    ++Failed;
  }
  QueuedCount = 0;
  Dropped += Failed;
  return Failed;
}

} // namespace buckthorndeck
