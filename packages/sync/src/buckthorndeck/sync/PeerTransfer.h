#ifndef BUCKTHORNDECK_SYNC_PEERTRANSFER_H
#define BUCKTHORNDECK_SYNC_PEERTRANSFER_H

#include "buckthorndeck/membership/TimeSource.h"
#include "buckthorndeck/net/WebSocket.h"
#include "buckthorndeck/sync/SyncMessage.h"

namespace buckthorndeck::sync {

//! How fast answers are sent. A small configuration goes out at once; a large
//! one at the rate that the control budget of 4 KB/s leaves beside heartbeats.
struct PaceOptions {
  std::size_t BurstBytes = 64 * 1024;
  std::size_t BytesPerSecond = 3000;
  std::size_t PageBytes = 8 * 1024;
};

//! Tokens of one connection, in bytes.
struct Pace {
  explicit Pace(PaceOptions Options)
      : Options(Options), Left(static_cast<double>(Options.BurstBytes)) {}

  PaceOptions Options;
  double Left;
  TimePoint Updated{};
};

//! Takes Size bytes and returns how long to wait before sending them.
Milliseconds takeBytes(Pace &Limit, std::size_t Size, TimePoint Now);

//! Sends an answer in pages. Returns false if the connection ended.
Task<bool> sendAnswer(WebSocket::Pointer Link, SyncAnswer Answer,
                      PaceOptions Options, TimeSource Time);

//! Asks the host at Peer and reads its answer. A peer that sends no page for
//! PageTimeout is given up.
Task<Expected<SyncAnswer>> pullFrom(TcpEndpoint Peer, SyncRequest Request,
                                    Milliseconds PageTimeout);

} // namespace buckthorndeck::sync

#endif // BUCKTHORNDECK_SYNC_PEERTRANSFER_H
