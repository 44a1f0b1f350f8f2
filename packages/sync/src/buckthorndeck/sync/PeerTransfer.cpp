#include "buckthorndeck/sync/PeerTransfer.h"

#include "buckthorndeck/net/Notifier.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <gsl/gsl_util>

namespace buckthorndeck::sync {

namespace {

//! State that a pull shares with the task that enforces its page timeout.
struct PullState {
  explicit PullState(const Executor &Where) : Progress(Where) {}

  Notifier Progress; //!< Notified for each page and at the end.
  bool Done = false;
};

//! Closes the connection when no page was received for PageTimeout.
Task<> closeIfStalled(std::shared_ptr<PullState> State, WebSocket::Pointer Link,
                      Milliseconds PageTimeout) {
  while (!State->Done) {
    const bool PageReceived =
        co_await State->Progress.waitUntil(Clock::now() + PageTimeout);
    if (!PageReceived) {
      Link->close();
      co_return;
    }
  }
}

} // namespace

Milliseconds takeBytes(TokenBucket &Bucket, std::size_t Size, TimePoint Now) {
  const auto Rate = static_cast<double>(Bucket.Options.BytesPerSecond);
  const auto Burst = static_cast<double>(Bucket.Options.BurstBytes);
  if (Bucket.Updated != TimePoint()) {
    const std::chrono::duration<double> Passed = Now - Bucket.Updated;
    Bucket.AvailableBytes =
        std::min(Burst, Bucket.AvailableBytes + Passed.count() * Rate);
  }
  Bucket.Updated = Now;
  Bucket.AvailableBytes -= static_cast<double>(Size);
  if (Bucket.AvailableBytes >= 0)
    return Milliseconds(0);
  return Milliseconds(
      static_cast<std::int64_t>(-Bucket.AvailableBytes / Rate * 1000));
}

Task<bool> sendAnswer(WebSocket::Pointer Link, SyncAnswer Answer,
                      SendRateOptions Options, TimeSource Time) {
  TokenBucket Bucket(Options);
  const ByteView Body(Answer.Body);
  std::size_t Sent = 0;
  do {
    const std::size_t Size = std::min(Options.PageBytes, Body.size() - Sent);
    const TimePoint Now = Time.Now();
    const Milliseconds Delay = takeBytes(Bucket, Size, Now);
    if (Delay > Milliseconds(0))
      co_await Time.SleepUntil(Now + Delay);
    const bool Last = Sent + Size == Body.size();
    if (!Link->send(encodePage(Answer, Body.subspan(Sent, Size), Last)))
      co_return false;
    Sent += Size;
  } while (Sent < Body.size());
  co_return true;
}

Task<Expected<SyncAnswer>> pullFrom(TcpEndpoint Peer, SyncRequest Request,
                                    Milliseconds PageTimeout) {
  const Executor Where = co_await boost::asio::this_coro::executor;
  const WebSocketOptions Options;
  auto Connected = co_await WebSocket::connect(Peer, Options);
  if (!Connected)
    co_return Unexpected(Connected.error());
  const WebSocket::Pointer Link = *Connected;
  auto State = std::make_shared<PullState>(Where);
  spawn(Where, "sync_pull_watch", closeIfStalled(State, Link, PageTimeout));
  auto Finish = gsl::finally([&] {
    State->Done = true;
    State->Progress.notifyAll();
    Link->close();
  });
  Link->send(encode(Request));
  SyncAnswerReader Reader;
  while (true) {
    const auto Page = co_await Link->receive();
    if (!Page)
      co_return Unexpected(Page.error());
    State->Progress.notifyAll();
    const auto Complete = Reader.add(*Page, Link->peer());
    if (!Complete)
      co_return Unexpected(Complete.error());
    if (*Complete)
      co_return Reader.take();
  }
}

} // namespace buckthorndeck::sync
