#ifndef BUCKTHORNDECK_SYNC_PEERTRANSFER_H
#define BUCKTHORNDECK_SYNC_PEERTRANSFER_H

#include "buckthorndeck/membership/TimeSource.h"
#include "buckthorndeck/net/WebSocket.h"
#include "buckthorndeck/sync/SyncMessage.h"

namespace buckthorndeck::sync {

//! Rate at which answers are sent. A small configuration is sent without delay,
//! a large one at the rate that the control budget of 4 KB/s leaves beside
//! heartbeats.
struct SendRateOptions {
  std::size_t BurstBytes = 64 * 1024;
  std::size_t BytesPerSecond = 3000;
  std::size_t PageBytes = 8 * 1024;
};

//! Token bucket that limits the bytes sent on one connection.
struct TokenBucket {
  explicit TokenBucket(SendRateOptions Options)
      : Options(Options),
        AvailableBytes(static_cast<double>(Options.BurstBytes)) {}

  SendRateOptions Options;
  double AvailableBytes;
  TimePoint Updated{};
};

//! Takes Size bytes from the bucket and returns how long to wait before sending
//! them.
Milliseconds takeBytes(TokenBucket &Bucket, std::size_t Size, TimePoint Now);

//! Sends an answer in pages, at the given rate. Returns false if the connection
//! was closed.
Task<bool> sendAnswer(WebSocket::Pointer Link, SyncAnswer Answer,
                      SendRateOptions Options, TimeSource Time);

//! Sends a request to the host at Peer and reads its answer. Closes the
//! connection and fails if the peer sends no page for PageTimeout.
Task<Expected<SyncAnswer>> pullFrom(TcpEndpoint Peer, SyncRequest Request,
                                    Milliseconds PageTimeout);

} // namespace buckthorndeck::sync

#endif // BUCKTHORNDECK_SYNC_PEERTRANSFER_H
