#include "buckthorndeck/entryhost/PacketHost.h"

#include "RunTask.h"
#include "buckthorndeck/forwarding/RegistryReader.h"
#include "buckthorndeck/net/HttpClient.h"
#include "buckthorndeck/net/UdpSocket.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::entryhost;
using namespace buckthorndeck::forwarding;

namespace {

// A packet format for this test: caller port, token, kind.
constexpr std::size_t TestPacketBytes = 7;
constexpr SocketAddress ServiceAddressOfTest{.Ip = 0xc6120001, .Port = 443};
const ServiceName Floor("floor");

std::optional<PacketHeader> decode(ByteView Packet) {
  if (Packet.size() != TestPacketBytes)
    return std::nullopt;
  const std::uint32_t Loopback = 0x7f000001;
  return PacketHeader{
      .Flow = {.Caller = {.Ip = Loopback,
                          .Port = boost::endian::load_big_u16(Packet.data())},
               .Service = ServiceAddressOfTest},
      .Token = ServerToken(boost::endian::load_big_u32(Packet.data() + 2)),
      .Syn = Packet[6] == 'o'};
}

void writeToken(std::span<std::uint8_t> Packet, ServerToken Token) {
  boost::endian::store_big_u32(Packet.data() + 2, Token.value());
}

Bytes encodeReset(const FlowKey &, std::uint32_t) { return toBytes("reset"); }

void writeServerPrefix(std::span<std::uint8_t> Prefix, std::uint64_t Id) {
  boost::endian::store_big_u64(Prefix.data(), Id);
}

PacketFormat testFormat() {
  return {.Decode = decode,
          .WriteToken = writeToken,
          .EncodeReset = encodeReset,
          .ServerPrefixBytes = 8,
          .WriteServerPrefix = writeServerPrefix};
}

Bytes makePacket(std::uint16_t Port, ServerToken Token, char Kind) {
  Bytes Packet(TestPacketBytes);
  boost::endian::store_big_u16(Packet.data(), Port);
  writeToken(Packet, Token);
  Packet[6] = static_cast<std::uint8_t>(Kind);
  return Packet;
}

//! A store with one server and one route that never changes.
RegistrySource fixedSource(const ServerRecord &Only) {
  RegistrySource Source;
  Source.ReadServers = [Only](std::string) -> Task<Expected<RegistryPage>> {
    RegistryPage Page;
    Page.Changes.AsOf = StoreRevision(1);
    ServerChange Entry{.Name = Only.Name, .Revision = StoreRevision(1)};
    Entry.Record = Only;
    Page.Changes.Servers.push_back(Entry);
    co_return Page;
  };
  Source.ReadRoutes = []() -> Task<Expected<RegistryChanges>> {
    RegistryChanges Changes;
    RouteSet Routes;
    Routes.Version = ConfigVersion(1);
    Route Entry;
    Entry.Address = ServiceAddressOfTest;
    Entry.Services.resize(1);
    Entry.Services[0].Service = Floor;
    Routes.Routes.push_back(Entry);
    Changes.Routes = Routes;
    co_return Changes;
  };
  Source.Watch = [](StoreRevision,
                    Milliseconds Wait) -> Task<Expected<RegistryChanges>> {
    co_await sleepFor(Wait);
    co_return RegistryChanges();
  };
  return Source;
}

class HostFixture {
public:
  HostFixture()
      : ServerSocket(*UdpSocket::bind(Context.get_executor(), loopbackUdp())),
        CallerSocket(*UdpSocket::bind(Context.get_executor(), loopbackUdp())) {
    Record = {.Name = "i-1",
              .Id = ServerId(0x77),
              .Service = Floor,
              .Address = ServerSocket.localEndpoint(),
              .Domain = FailureDomainName("north")};
    const PacketSettings Settings{.Name = EntryHostName("front-1"),
                                  .FailureDomain = FailureDomainName("north"),
                                  .PacketListen = loopbackUdp(),
                                  .ReadyListen = loopbackTcp(),
                                  .ReadyPath = "/ready",
                                  .MetricsListen = loopbackTcp(),
                                  .HeartbeatListen = loopbackUdp(),
                                  .StopGrace = Milliseconds(50),
                                  .FlowLifetime = std::chrono::seconds(60),
                                  .StoreTimeout = Milliseconds(1000),
                                  .WatchWait = Milliseconds(60'000),
                                  .ChangePause = Milliseconds(1000)};
    auto Started = PacketHost::start(Context.get_executor(), Settings,
                                     testFormat(), fixedSource(Record));
    REQUIRE(Started);
    Host = std::move(*Started);
    spawn(Context.get_executor(), "host", Host->run());
  }

  Bytes receive(UdpSocket &Socket) {
    Bytes Result;
    runTask(Context, receiveInto(Socket, Result));
    return Result;
  }

  HttpResponse call(const TcpEndpoint &Where, const std::string &Target) {
    HttpResponse Result;
    runTask(Context, callInto(Where, Target, Result));
    return Result;
  }

  boost::asio::io_context Context;
  UdpSocket ServerSocket;
  UdpSocket CallerSocket;
  ServerRecord Record;
  std::unique_ptr<PacketHost> Host;

private:
  static Task<> receiveInto(UdpSocket &Socket, Bytes &Result) {
    const auto Received = co_await Socket.receive();
    REQUIRE(Received);
    Result.assign(Received->Payload.begin(), Received->Payload.end());
  }

  static Task<> callInto(TcpEndpoint Where, std::string Target,
                         HttpResponse &Result) {
    HttpRequest Request;
    Request.Target = std::move(Target);
    const auto Answer =
        co_await callHttp(Where, std::move(Request), Milliseconds(60'000));
    REQUIRE(Answer);
    Result = *Answer;
  }
};

} // namespace

TEST_CASE("An open reaches a server with its token, and later packets follow "
          "it unchanged",
          "[packets]") {
  HostFixture Site;
  const UdpEndpoint Entry = Site.Host->endpoints().Packets;
  const ServerToken Token = tokenOf(Site.Record);
  Site.CallerSocket.send(makePacket(40001, ServerToken(), 'o'), Entry);
  Bytes Expected = {0, 0, 0, 0, 0, 0, 0, 0x77};
  const Bytes Opened = makePacket(40001, Token, 'o');
  Expected.insert(Expected.end(), Opened.begin(), Opened.end());
  CHECK(Site.receive(Site.ServerSocket) == Expected);

  const Bytes Data = makePacket(40001, Token, 'd');
  Site.CallerSocket.send(Data, Entry);
  Expected.resize(8);
  Expected.insert(Expected.end(), Data.begin(), Data.end());
  CHECK(Site.receive(Site.ServerSocket) == Expected);
}

TEST_CASE("A host is ready with servers and routes, until it stops",
          "[packets]") {
  HostFixture Site;
  const auto Endpoints = Site.Host->endpoints();
  // The open is held until the host has loaded.
  Site.CallerSocket.send(makePacket(1, ServerToken(), 'o'), Endpoints.Packets);
  Site.receive(Site.ServerSocket);
  CHECK(Site.call(Endpoints.Ready, "/ready").Status == 200);
  CHECK(Site.call(Endpoints.Ready, "/else").Status == 404);
  spawn(Site.Context.get_executor(), "stop", Site.Host->stop());
  CHECK(Site.call(Endpoints.Ready, "/ready").Status == 503);
  // Routers still send packets for a while.
  Site.CallerSocket.send(makePacket(2, ServerToken(), 'o'), Endpoints.Packets);
  CHECK_FALSE(Site.receive(Site.ServerSocket).empty());
}

TEST_CASE("Metrics count packets, also those that cannot be read",
          "[packets]") {
  HostFixture Site;
  const auto Endpoints = Site.Host->endpoints();
  Site.CallerSocket.send(toBytes("nonsense"), Endpoints.Packets);
  Site.CallerSocket.send(makePacket(1, ServerToken(), 'o'), Endpoints.Packets);
  Site.receive(Site.ServerSocket);
  const std::string Text = Site.call(Endpoints.Metrics, "/metrics").Body;
  CHECK(Text.find("buckthorndeck_flows_opened_total 1") != std::string::npos);
  CHECK(Text.find("reason=\"undecodable\"} 1") != std::string::npos);
  CHECK(Text.find("buckthorndeck_response_seconds_count") != std::string::npos);
  CHECK(Text.find("buckthorndeck_ready 1") != std::string::npos);
  CHECK(Site.call(Endpoints.Metrics, SnapshotPath).Status == 200);
}
