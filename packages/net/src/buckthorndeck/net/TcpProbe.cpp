#include "buckthorndeck/net/TcpProbe.h"

#include "buckthorndeck/base/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace buckthorndeck {

namespace asio = boost::asio;

const char *toString(ProbeResult Result) {
  switch (Result) {
  case ProbeResult::Connected:
    return "connected";
  case ProbeResult::Refused:
    return "refused";
  case ProbeResult::TimedOut:
    return "timed_out";
  case ProbeResult::Failed:
    return "failed";
  }
  return "unknown";
}

Task<ProbeResult> probeTcp(TcpEndpoint Peer, Milliseconds Timeout) {
  boost::beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(Timeout);
  const auto [Code] =
      co_await Stream.async_connect(Peer, asio::as_tuple(asio::use_awaitable));
  if (!Code)
    co_return ProbeResult::Connected;
  if (Code == asio::error::connection_refused)
    co_return ProbeResult::Refused;
  if (Code == boost::beast::error::timeout || Code == asio::error::timed_out)
    co_return ProbeResult::TimedOut;
  log(LogLevel::Warn, "probe_failed",
      {{"peer", toString(Peer)}, {"error", Code.message()}});
  co_return ProbeResult::Failed;
}

} // namespace buckthorndeck
