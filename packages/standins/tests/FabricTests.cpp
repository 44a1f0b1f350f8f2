#include "Harness.h"
#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/standins/Fabric.h"
#include "buckthorndeck/standins/FabricSettings.h"

#include <filesystem>
#include <fstream>
#include <gsl/util>
#include <set>
#include <unistd.h>

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

//! A socket that keeps what it receives.
struct Peer {
  explicit Peer(World &In)
      : Shared(std::make_shared<State>(
            State{UdpSocket::bind(In.where(), anyUdp()).value()})) {
    spawn(In.where(), "peer", receive(Shared));
  }
  Peer(const Peer &) = delete;
  Peer &operator=(const Peer &) = delete;
  ~Peer() { Shared->Socket.close(); }

  struct State {
    UdpSocket Socket;
    std::vector<std::string> Texts;
    std::vector<UdpEndpoint> Senders;
  };

  static Task<> receive(std::shared_ptr<State> Self) {
    while (true) {
      const auto Received = co_await Self->Socket.receive();
      if (!Received)
        co_return;
      Self->Texts.emplace_back(toText(Received->Payload));
      Self->Senders.push_back(Received->Sender);
    }
  }

  UdpEndpoint endpoint() const { return Shared->Socket.localEndpoint(); }
  void send(const std::string &Text, const UdpEndpoint &To) {
    Shared->Socket.send(toBytes(Text), To);
  }
  const std::vector<std::string> &texts() const { return Shared->Texts; }
  const std::vector<UdpEndpoint> &senders() const { return Shared->Senders; }

  std::shared_ptr<State> Shared;
};

Fabric startFabric(World &In, FabricOptions Options) {
  return Fabric::start(In.where(), std::move(Options)).value();
}

//! Sends numbered packets one after another, each once the one before was
//! received by the fabric, and waits until the fabric has settled them.
void sendNumbered(World &In, Fabric &Through, Peer &From, int Count) {
  for (int Number = 0; Number < Count; ++Number) {
    const std::uint64_t Before = Through.stats().Received;
    From.send(std::to_string(Number), Through.endpoint());
    In.runUntil([&] { return Through.stats().Received > Before; });
  }
}

} // namespace

TEST_CASE("Every caller has its own address and gets its own answers",
          "[fabric]") {
  // Guards against answers that reach the wrong caller, or none, when another
  // entry host sends them.
  World In;
  Peer Host(In);
  Peer OtherHost(In);
  Peer A(In);
  Peer B(In);
  auto Middle = startFabric(In, {.Hosts = {Host.endpoint()}});
  A.send("a", Middle.endpoint());
  In.runUntil([&] { return Host.texts().size() == 1; });
  B.send("b", Middle.endpoint());
  In.runUntil([&] { return Host.texts().size() == 2; });
  CHECK(Host.senders()[0] != Host.senders()[1]);
  CHECK(Middle.callers() == 2);
  OtherHost.send("for a", Host.senders()[0]);
  OtherHost.send("for b", Host.senders()[1]);
  In.runUntil([&] { return A.texts().size() + B.texts().size() == 2; });
  CHECK(A.texts() == std::vector<std::string>{"for a"});
  CHECK(B.texts() == std::vector<std::string>{"for b"});
  CHECK(A.senders()[0] == Middle.endpoint());
}

TEST_CASE("Packets are sprayed over the hosts of the moment", "[fabric]") {
  World In;
  Peer First(In);
  Peer Second(In);
  Peer From(In);
  auto Middle = startFabric(In, {});
  sendNumbered(In, Middle, From, 3);
  CHECK(Middle.stats().Unroutable == 3);
  Middle.setHosts({First.endpoint(), Second.endpoint()});
  sendNumbered(In, Middle, From, 40);
  In.runUntil(
      [&] { return First.texts().size() + Second.texts().size() == 40; });
  CHECK(First.texts().size() >= 10);
  CHECK(Second.texts().size() >= 10);
  const std::size_t Before = First.texts().size();
  Middle.setHosts({Second.endpoint()});
  sendNumbered(In, Middle, From, 10);
  In.runUntil([&] { return Second.texts().size() + Before == 50; });
  CHECK(First.texts().size() == Before);
}

TEST_CASE("Faults hit packets in the direction that they are set for",
          "[fabric]") {
  struct Row {
    const char *Name;
    PacketFaults Faults;
    std::size_t Arriving; //!< Of ten packets.
    std::uint64_t FabricStats::*Counter;
  };
  const std::vector<Row> Rows = {
      {"drop", {.Drop = 1}, 0, &FabricStats::Dropped},
      {"duplicate", {.Duplicate = 1}, 20, &FabricStats::Duplicated},
      {"delay", {.Delay = 1}, 10, &FabricStats::Delayed},
      {"none", {}, 10, nullptr}};
  for (const Row &Next : Rows) {
    for (const bool ToHosts : {true, false}) {
      INFO(Next.Name << (ToHosts ? " to hosts" : " to callers"));
      World In;
      Peer Host(In);
      Peer From(In);
      auto Middle = startFabric(In, {.Hosts = {Host.endpoint()}});
      From.send("first", Middle.endpoint());
      In.runUntil([&] { return Host.texts().size() == 1; });
      Middle.setFaults(ToHosts ? Next.Faults : PacketFaults{},
                       ToHosts ? PacketFaults{} : Next.Faults);
      for (int Number = 0; Number < 10; ++Number) {
        From.send("to host", Middle.endpoint());
        Host.send("to caller", Host.senders()[0]);
      }
      const std::size_t AtHost = 1 + (ToHosts ? Next.Arriving : 10);
      const std::size_t AtCaller = ToHosts ? 10 : Next.Arriving;
      In.runUntil([&] {
        return Middle.stats().Received == 21 && Host.texts().size() >= AtHost &&
               From.texts().size() >= AtCaller;
      });
      CHECK(Host.texts().size() == AtHost);
      CHECK(From.texts().size() == AtCaller);
      CHECK(Middle.stats().Sent == AtHost + AtCaller);
      if (Next.Counter)
        CHECK(Middle.stats().*Next.Counter == 10);
    }
  }
}

TEST_CASE("A reordered packet arrives after the next one", "[fabric]") {
  World In;
  Peer Host(In);
  Peer From(In);
  // The limit is longer than the test, so only the next packet releases one.
  auto Middle = startFabric(
      In, {.Hosts = {Host.endpoint()},
           .ToHosts = {.MaxDelay = Milliseconds(3'600'000), .Reorder = 1}});
  sendNumbered(In, Middle, From, 4);
  In.runUntil([&] { return Host.texts().size() == 4; });
  CHECK(Host.texts() == std::vector<std::string>{"1", "0", "3", "2"});
  // The last packet of a burst has no next one and must not stay for good.
  Middle.setFaults({.MaxDelay = Milliseconds(1), .Reorder = 1}, {});
  sendNumbered(In, Middle, From, 1);
  In.runUntil([&] { return Host.texts().size() == 5; });
}

TEST_CASE("The same seed decides the same way", "[fabric]") {
  const auto Arrived = [](std::uint64_t Seed) {
    World In;
    Peer First(In);
    Peer Second(In);
    Peer From(In);
    auto Middle =
        startFabric(In, {.RandomSeed = Seed,
                         .Hosts = {First.endpoint(), Second.endpoint()},
                         .ToHosts = {.Drop = 0.3, .Duplicate = 0.3}});
    sendNumbered(In, Middle, From, 30);
    const std::uint64_t Sent = Middle.stats().Sent;
    In.runUntil(
        [&] { return First.texts().size() + Second.texts().size() == Sent; });
    return std::pair(First.texts(), Second.texts());
  };
  CHECK(Arrived(7) == Arrived(7));
  CHECK(Arrived(7) != Arrived(8));
}

TEST_CASE("An idle caller's socket is closed", "[fabric]") {
  World In;
  Peer Host(In);
  Peer From(In);
  auto Middle = startFabric(
      In, {.Hosts = {Host.endpoint()}, .IdleTimeout = Milliseconds(1)});
  From.send("a", Middle.endpoint());
  In.runUntil([&] { return Host.texts().size() == 1; });
  In.runUntil([&] { return Middle.callers() == 0; });
  From.send("b", Middle.endpoint());
  In.runUntil([&] { return Host.texts().size() == 2; });
}

TEST_CASE("Hosts are read from a file and from the platform's list",
          "[fabric]") {
  const std::string File = std::filesystem::temp_directory_path() /
                           ("standins-hosts-" + std::to_string(getpid()));
  const auto Remove = gsl::finally([&] { std::filesystem::remove(File); });
  std::ofstream(File) << R"(["127.0.0.1:5", "127.0.0.1:6"])";
  const auto Read = readHostsFile(File);
  REQUIRE(Read);
  CHECK(Read->size() == 2);
  CHECK((*Read)[1].port() == 6);
  std::ofstream(File) << R"(["127.0.0.1"])";
  CHECK_FALSE(readHostsFile(File));
  CHECK_FALSE(readHostsFile(File + ".missing"));

  const std::string List = R"({"hosts": [
    {"caller_address": "127.0.0.1:5", "state": "live"},
    {"caller_address": "127.0.0.1:6", "state": "leaving"}]})";
  CHECK(readHostList(List, /*WithLeaving=*/false).value().size() == 1);
  CHECK(readHostList(List, /*WithLeaving=*/true).value().size() == 2);
  for (const char *Bad : {"", "[]", R"({"hosts": [{}]})",
                          R"({"hosts": [{"caller_address": "x"}]})"})
    CHECK_FALSE(readHostList(Bad, true));
}

TEST_CASE("The fabric's settings are checked and read", "[fabric]") {
  const Json Good = Json::parse(R"({
    "hosts": ["127.0.0.1:5"], "random_seed": 3,
    "to_hosts": {"drop": 0.1, "max_delay_ms": 9},
    "platform": {"address": "127.0.0.1:4", "poll_ms": 50}})");
  CHECK(checkSchema("f", Good, fabricSchema()).empty());
  const FabricOptions Options = readFabricOptions(Good);
  CHECK(Options.Hosts.size() == 1);
  CHECK(Options.ToHosts.Drop == 0.1);
  CHECK(Options.ToHosts.MaxDelay == Milliseconds(9));
  CHECK(Options.ToCallers.Drop == 0);
  const Json Bad = {{"hosts", {"x"}}, {"to_callers", {{"drop", 2}}}};
  CHECK(checkSchema("f", Bad, fabricSchema()).size() == 2);
}
