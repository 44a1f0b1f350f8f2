#include "buckthorndeck/sync/PeerTransfer.h"

#include "buckthorndeck/net/Notifier.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <gsl/gsl_util>

namespace buckthorndeck::sync {

namespace {

//! State that a pull shares with the task that watches over it.
struct PullWatch {
  explicit PullWatch(const Executor &Where) : Progress(Where) {}

  Notifier Progress; //!< Notified for each page and at the end.
  bool Done = false;
};

//! Closes the connection when no page came for Limit.
Task<> closeIfSilent(std::shared_ptr<PullWatch> Watch, WebSocket::Pointer Link,
                     Milliseconds Limit) {
  while (!Watch->Done) {
    const bool Heard = co_await Watch->Progress.waitUntil(Clock::now() + Limit);
    if (!Heard) {
      Link->close();
      co_return;
    }
  }
}

} // namespace

Milliseconds takeBytes(Pace &Limit, std::size_t Size, TimePoint Now) {
  const auto Rate = static_cast<double>(Limit.Options.BytesPerSecond);
  const auto Burst = static_cast<double>(Limit.Options.BurstBytes);
  if (Limit.Updated != TimePoint()) {
    const std::chrono::duration<double> Passed = Now - Limit.Updated;
    Limit.Left = std::min(Burst, Limit.Left + Passed.count() * Rate);
  }
  Limit.Updated = Now;
  Limit.Left -= static_cast<double>(Size);
  if (Limit.Left >= 0)
    return Milliseconds(0);
  return Milliseconds(static_cast<std::int64_t>(-Limit.Left / Rate * 1000));
}

Task<bool> sendAnswer(WebSocket::Pointer Link, SyncAnswer Answer,
                      PaceOptions Options, TimeSource Time) {
  Pace Limit(Options);
  const ByteView Body(Answer.Body);
  std::size_t Sent = 0;
  do {
    const std::size_t Size = std::min(Options.PageBytes, Body.size() - Sent);
    const TimePoint Now = Time.Now();
    const Milliseconds Delay = takeBytes(Limit, Size, Now);
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
  auto Watch = std::make_shared<PullWatch>(Where);
  spawn(Where, "sync_pull_watch", closeIfSilent(Watch, Link, PageTimeout));
  auto Finish = gsl::finally([&] {
    Watch->Done = true;
    Watch->Progress.notifyAll();
    Link->close();
  });
  Link->send(encode(Request));
  SyncAnswerReader Reader;
  while (true) {
    const auto Page = co_await Link->receive();
    if (!Page)
      co_return Unexpected(Page.error());
    Watch->Progress.notifyAll();
    const auto Complete = Reader.add(*Page, Link->peer());
    if (!Complete)
      co_return Unexpected(Complete.error());
    if (*Complete)
      co_return Reader.take();
  }
}

} // namespace buckthorndeck::sync
