#include "buckthorndeck/faults/PacketSite.h"

#include "buckthorndeck/platform/EndPacketCodec.h"
#include "buckthorndeck/platform/StoreCalls.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <fstream>
#include <set>
#include <stdexcept>

namespace buckthorndeck::faults {

using boost::asio::ip::address_v4;
using forwarding::Route;
using forwarding::RouteSet;
using forwarding::ServerId;
using forwarding::ServerRecord;
using forwarding::ServiceName;
using forwarding::SocketAddress;

namespace {

constexpr const char *ReadyPath = "/ready";
constexpr Milliseconds StartLimit{10'000};
constexpr Milliseconds PollInterval{20};
constexpr std::uint32_t SlotsPerServer = 4;
//! Start times of servers, in ms since the Unix epoch, rise from here.
constexpr std::uint64_t FirstStartTime = 1'700'000'000'000;
constexpr Milliseconds HostStopGrace{3000};
//! Bounds of the users' deployments.
constexpr Milliseconds DetectWithin{4000};
constexpr Milliseconds ApplyWithin{3000};

//! Addresses of hosts differ, since callers' packets arrive at one port.
address_v4 hostIp(unsigned Number) { return address_v4(0x7f010001U + Number); }

//! Apart from 127.0.0.1, from whose ports connections are made: one of them
//! could hold the port of a server that has ended when its address is reused.
address_v4 serverIp(std::uint64_t Number) {
  constexpr std::uint32_t First = 0x7f020001;
  return address_v4(First + static_cast<std::uint32_t>(Number));
}

template <typename T> T orThrow(Expected<T> Result) {
  if (!Result)
    throw std::runtime_error(describe(Result.error()));
  return std::move(*Result);
}

//! A loopback address whose port the kernel has chosen and nobody holds.
UdpEndpoint chooseCallerAddress(const Executor &Where) {
  const UdpEndpoint Any(address_v4::loopback(), 0);
  return orThrow(UdpSocket::bind(Where, Any)).localEndpoint();
}

std::string toHex(std::uint64_t Value) {
  std::string Text(16, '\0');
  const auto End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  Text.resize(static_cast<std::size_t>(End.ptr - Text.data()));
  return Text;
}

Route routeTo(const SocketAddress &Address, const std::string &Service) {
  return {.Address = Address, .Services = {{.Service = ServiceName(Service)}}};
}

std::string withPort(const address_v4 &Ip, std::uint16_t Port) {
  return Ip.to_string() + ":" + std::to_string(Port);
}

} // namespace

SocketAddress routeOfVersion(ConfigVersion Version) {
  return {.Ip = ServiceIp,
          .Port =
              static_cast<std::uint16_t>(FirstVersionPort + Version.value())};
}

PacketSite::PacketSite(Executor Given, PacketSiteOptions Wanted)
    : Where(std::move(Given)), Options(std::move(Wanted)), Random(Options.Seed),
      CallerAddress(chooseCallerAddress(Where)),
      HeartbeatPort(orThrow(
          UdpSocket::bind(Where, UdpEndpoint(address_v4::loopback(), 0)))),
      Store(orThrow(platform::RegistryStore::start(
          Where, {.RandomSeed = Options.Seed}))) {
  std::vector<standins::RoutedHost> Routed;
  for (unsigned Number = 0; Number < Options.Hosts; ++Number) {
    PacketSiteHost &Host = Hosts.emplace_back();
    Host.Name = "front-" + std::to_string(Number);
    Host.Domain = domains()[Number % Options.Domains];
    Host.Packets = {hostIp(Number), CallerAddress.port()};
    Host.StoreLink =
        orThrow(standins::TcpProxy::start(Where, Store->endpoint()));
    Host.Settings = hostSettings(Host, Number);
    Routed.push_back({.Domain = Host.Domain,
                      .Packets = Host.Packets,
                      .Ready = {hostIp(Number), CallerAddress.port()}});
  }
  Router = std::make_unique<standins::PacketRouter>(
      Where, standins::PacketRouterOptions{.ReadyPath = ReadyPath,
                                           .Hosts = std::move(Routed)});
}

PacketSite::~PacketSite() = default;

std::vector<FailureDomainName> PacketSite::domains() const {
  std::vector<FailureDomainName> Result;
  for (unsigned Number = 0; Number < Options.Domains; ++Number)
    Result.emplace_back("domain-" + std::to_string(Number));
  return Result;
}

Json PacketSite::hostSettings(const PacketSiteHost &Host,
                              unsigned Number) const {
  const std::uint16_t PacketPort = CallerAddress.port();
  const std::uint16_t InternalPort = HeartbeatPort.localEndpoint().port();
  Json Domains = Json::array();
  for (const FailureDomainName &Domain : domains())
    Domains.push_back(Domain.value());
  const address_v4 Ip = hostIp(Number);
  return {
      {"name", Host.Name},
      {"failure_domain", Host.Domain.value()},
      {"failure_domains", Domains},
      {"packet_listen", withPort(Ip, PacketPort)},
      {"ready_listen", withPort(Ip, PacketPort)},
      {"ready_path", ReadyPath},
      {"metrics_listen", withPort(Ip, InternalPort)},
      {"host_ip", Ip.to_string()},
      {"internal_ports", {InternalPort}},
      {"seeds",
       {withPort(hostIp(0), InternalPort), withPort(hostIp(1), InternalPort)}},
      {"store", toString(Host.StoreLink->endpoint())},
      {"detect_within_ms", DetectWithin.count()},
      {"apply_within_ms", ApplyWithin.count()},
      {"stop_grace_ms", HostStopGrace.count()},
      {"random_seed", Options.Seed * 1000 + Number + 1}};
}

std::string PacketSite::settingsFile(const PacketSiteHost &Host) const {
  return Options.Directory + "/" + Host.Name + ".json";
}

std::string PacketSite::logFile(const PacketSiteHost &Host) const {
  return Options.Directory + "/" + Host.Name + ".log";
}

void PacketSite::writeSettings(const PacketSiteHost &Host,
                               const std::string &Text) {
  std::ofstream(settingsFile(Host)) << Text;
}

void PacketSite::startHost(PacketSiteHost &Host) {
  writeSettings(Host, Host.Settings.dump(2));
  ++Host.Lifetime;
  const ChildProcessOptions Child{
      .Program = Options.Program,
      .Arguments = {"packets", "--settings=" + settingsFile(Host)},
      .OutputFile = logFile(Host),
      .ErrorFile = Options.Directory + "/" + Host.Name + ".err"};
  Host.Process = std::make_unique<ChildProcess>(Child);
}

Task<bool> PacketSite::waitReady(Milliseconds Limit) {
  const TimePoint Due = Clock::now() + Limit;
  while (true) {
    const auto Running = static_cast<std::size_t>(std::ranges::count_if(
        Hosts, [](const auto &Host) { return Host.Process != nullptr; }));
    if (Router->hostsInRotation() >= Running)
      co_return true;
    if (Clock::now() >= Due)
      co_return false;
    co_await sleepFor(PollInterval);
  }
}

Task<> PacketSite::start() {
  publish();
  for (unsigned Number = 0; Number < Options.ServersPerService; ++Number) {
    addServer("a");
    addServer("b");
  }
  for (PacketSiteHost &Host : Hosts)
    startHost(Host);
  const bool Ready = co_await waitReady(StartLimit);
  if (!Ready)
    throw std::runtime_error("not all hosts took packets within 10 s; see " +
                             Options.Directory);
}

Task<> PacketSite::stop() {
  for (PacketSiteHost &Host : Hosts)
    if (Host.Process) {
      Host.Process->kill();
      co_await Host.Process->exited();
    }
}

PacketSiteServer &PacketSite::addServer(const std::string &Service,
                                        std::optional<UdpEndpoint> Address) {
  const std::uint64_t Id = Random() >> 1U;
  const auto Domains = domains();
  return startServer(
      {.Name = "i-" + toHex(Id),
       .Id = ServerId(Id),
       .Service = ServiceName(Service),
       .Address = Address.value_or(UdpEndpoint(serverIp(NextServer), 0)),
       .Domain = Domains[NextServer / 2 % Domains.size()],
       .Slots = SlotsPerServer});
}

PacketSiteServer &PacketSite::startAgain(const PacketSiteServer &Crashed) {
  PacketSiteServer &Server = startServer(Crashed.Process->record());
  const Disturbance Started(Server.State);
  return Server;
}

PacketSiteServer &PacketSite::startServer(ServerRecord Record) {
  Record.StartTime = Incarnation(FirstStartTime + NextServer);
  standins::FlowServerOptions Wanted{
      .Record = std::move(Record),
      .Format = platform::endPacketFormat(),
      .CallerPort = CallerAddress.port(),
      .NameHeader = std::string(platform::ServerNameHeader),
      .RandomSeed = Options.Seed + NextServer};
  ++NextServer;
  auto Process = orThrow(standins::FlowServer::start(Where, std::move(Wanted)));
  PacketSiteServer &Server = Servers.emplace_back();
  Server.Process = std::move(Process);
  Store->announce(Server.Process->record());
  return Server;
}

void PacketSite::unregister(PacketSiteServer &Server) {
  Store->withdraw(Server.Process->record().Name);
  Server.Unregistered = true;
  if (!Server.DrainedAt)
    Server.DrainedAt = Clock::now();
}

void PacketSite::publish() {
  const ConfigVersion Version(NextVersion);
  NextVersion += 1 + randomBelow(Random, 3);
  const std::string Target = Versions.size() % 2 == 0 ? "a" : "b";
  RouteSet Routes{.Version = Version};
  Routes.Routes = {routeTo(RouteOfA, "a"), routeTo(RouteOfB, "b"),
                   routeTo(ChangingRoute, Target),
                   routeTo(routeOfVersion(Version), "a")};
  for (const char *Service : {"a", "b"})
    Routes.ServiceRules.push_back(
        {.Service = ServiceName(Service), .Path = "/health"});
  Store->publish(Routes);
  Versions.push_back({.Routes = std::move(Routes), .At = Clock::now()});
}

void PacketSite::writeAgain() {
  if (!Versions.empty())
    Store->publish(Versions.back().Routes);
  for (const PacketSiteServer &Server : Servers)
    if (Server.Process->alive() && !Server.Unregistered)
      Store->announce(Server.Process->record());
}

void PacketSite::lapseEntries() {
  std::set<std::string> Renewed;
  for (const PacketSiteServer &Server : Servers)
    if (Server.Process->alive() && !Server.Unregistered)
      Renewed.insert(Server.Process->record().Name);
  for (const PacketSiteServer &Server : Servers)
    if (!Renewed.contains(Server.Process->record().Name))
      Store->withdraw(Server.Process->record().Name);
}

PacketSiteHost *PacketSite::hostAt(const UdpEndpoint &Packets) {
  for (PacketSiteHost &Host : Hosts)
    if (Host.Packets == Packets)
      return &Host;
  return nullptr;
}

bool PacketSite::runs(const UdpEndpoint &Packets) {
  const PacketSiteHost *Host = hostAt(Packets);
  return Host && Host->Process && Host->Process->running();
}

} // namespace buckthorndeck::faults
