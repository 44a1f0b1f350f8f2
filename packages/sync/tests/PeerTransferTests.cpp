#include "SampleVersions.h"

#include "buckthorndeck/sync/ConfigSync.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::sync;

namespace {

struct Loopback {
  boost::asio::io_context Context;
  std::optional<WebSocketListener> Listener;

  explicit Loopback(WebSocketHandler Handler) {
    auto Bound = WebSocketListener::bind(
        Context.get_executor(),
        {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
    REQUIRE(Bound);
    Listener.emplace(std::move(*Bound));
    spawn(Context.get_executor(), "listener",
          Listener->serve(std::move(Handler)));
  }

  Expected<SyncAnswer> pull(SyncRequest Request, Milliseconds Timeout) {
    std::optional<Expected<SyncAnswer>> Result;
    spawn(Context.get_executor(), "pull",
          store(Listener->localEndpoint(), Request, Timeout, &Result));
    while (!Result)
      Context.run_one();
    return std::move(*Result);
  }

  ~Loopback() {
    Listener->close();
    Context.poll();
  }

private:
  static Task<> store(TcpEndpoint Peer, SyncRequest Request,
                      Milliseconds Timeout,
                      std::optional<Expected<SyncAnswer>> *Result) {
    *Result = co_await pullFrom(Peer, Request, Timeout);
  }
};

Task<> serveFrom(ConfigSync *Server, WebSocket::Pointer Link) {
  auto First = co_await Link->receive();
  if (First)
    co_await Server->serve(Link, std::move(*First));
}

Task<> receiveAll(WebSocket::Pointer Link) {
  bool Open = true;
  while (Open) {
    const auto Message = co_await Link->receive();
    Open = Message.has_value();
  }
}

Task<> sendText(WebSocket::Pointer Link) {
  Link->send("no answer");
  co_await receiveAll(Link);
}

Task<Expected<std::optional<config::StoredManifest>>>
manifest(unsigned Version, std::uint64_t After) {
  if (After >= Version)
    co_await sleepFor(Milliseconds(3'600'000));
  co_return config::StoredManifest{
      .ManifestContent = {.Version = ConfigVersion(Version),
                          .ObjectsDigest = digestAt(Version)},
      .Revision = Version};
}

Task<Expected<config::PublishedSet>> published(unsigned Version) {
  co_return config::PublishedSet{
      .ManifestContent = {.Version = ConfigVersion(Version),
                          .ObjectsDigest = digestAt(Version)},
      .Revision = Version,
      .Objects = setAt(Version)};
}

PlatformCalls platformWithVersion(unsigned Version) {
  return PlatformCalls{
      .WaitForManifest =
          [Version](std::uint64_t After) { return manifest(Version, After); },
      .ReadPublished = [Version](std::uint64_t) { return published(Version); }};
}

} // namespace

TEST_CASE("A host pulls a configuration over a WebSocket in pages",
          "[transfer]") {
  // Guards against pages that are lost or joined wrongly on a real connection.
  ConfigSync *Server = nullptr;
  Loopback Net([&](WebSocket::Pointer Link) {
    return serveFrom(Server, std::move(Link));
  });
  bool Applied = false;
  SyncOptions Options{.ReadJitter = Milliseconds(0),
                      .SendRate = {.PageBytes = 64}};
  Options.OnApplied = [&](const VersionHistory &) { Applied = true; };
  ConfigSync Source(
      Net.Context.get_executor(), Options,
      PeerCalls{.Members =
                    [] {
                      return std::vector{
                          membership::Member{.Name = EntryHostName("source")}};
                    },
                .Send = [](const Bytes &, const UdpEndpoint &) {}},
      platformWithVersion(3));
  Server = &Source;
  spawn(Net.Context.get_executor(), "source", Source.run());
  while (!Applied)
    Net.Context.run_one();

  const auto Full = Net.pull(SyncRequest{}, Milliseconds(60'000));
  REQUIRE(Full);
  VersionHistory Reader;
  REQUIRE(applyAnswer(Reader, *Full, "source"));
  CHECK(*Reader.Set == setAt(3));
  const auto Again =
      Net.pull({.Version = Reader.Version}, Milliseconds(60'000));
  REQUIRE(Again);
  CHECK(Again->Kind == SyncAnswerKind::Current);
  CHECK(Source.counters().ServedBytes == Full->Body.size());
  Source.stop();
}

TEST_CASE("A pull from a peer that sends nothing or no valid answer fails",
          "[transfer]") {
  // Guards against a pull that never ends and so blocks all later ones, because
  // the peer accepts the connection but does not answer.
  Loopback NoAnswer(receiveAll);
  CHECK_FALSE(NoAnswer.pull(SyncRequest{}, Milliseconds(20)));
  Loopback InvalidAnswer(sendText);
  const auto Result = InvalidAnswer.pull(SyncRequest{}, Milliseconds(60'000));
  REQUIRE_FALSE(Result);
  CHECK(Result.error().Code == ErrorCode::Invalid);
}
