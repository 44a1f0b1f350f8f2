#include "buckthorndeck/faults/Site.h"

#include "buckthorndeck/config/Publisher.h"
#include "buckthorndeck/config/StoreClient.h"
#include "buckthorndeck/faults/TemporaryDirectory.h"
#include "buckthorndeck/net/WebSocket.h"

#include <array>
#include <filesystem>
#include <stdexcept>

namespace buckthorndeck::faults {

namespace {

constexpr const char *FleetKey =
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
constexpr Milliseconds PollInterval{20};
constexpr Milliseconds PublishTimeout{10'000};

struct ServicePlan {
  const char *Name;
  const char *Address;
  std::vector<config::Operation> Operations;
  config::Objective Goal;
  unsigned Servers;
  unsigned Slots;
  double MeanMs;
};

const std::vector<ServicePlan> &servicePlans() {
  using config::Objective;
  static const std::vector<ServicePlan> Plans{
      {.Name = "exchange/trading-floor",
       .Address = "192.0.2.10:7001",
       .Operations = {{.Name = "bid"},
                      {.Name = "lot-watch", .Idempotent = true}},
       .Goal = Objective::Continuity,
       .Servers = 3,
       .Slots = 2,
       .MeanMs = 6},
      {.Name = "exchange/swatch-press",
       .Address = "192.0.2.11:7001",
       .Operations = {{.Name = "swatch-sheet", .Idempotent = true}},
       .Goal = Objective::Continuity,
       .Servers = 2,
       .Slots = 2,
       .MeanMs = 25},
      {.Name = "registry/tag-registry",
       .Address = "192.0.2.20:7001",
       .Operations = {{.Name = "record", .Idempotent = true},
                      {.Name = "amend", .Idempotent = true},
                      {.Name = "open-record", .Idempotent = true}},
       .Goal = Objective::Balance,
       .Servers = 3,
       .Slots = 3,
       .MeanMs = 8},
      {.Name = "registry/certificate-press",
       .Address = "192.0.2.21:7001",
       .Operations = {{.Name = "certificate"}},
       .Goal = Objective::Balance,
       .Servers = 2,
       .Slots = 3,
       .MeanMs = 30}};
  return Plans;
}

std::string namespaceOf(const std::string &Name) {
  return Name.substr(0, Name.find('/'));
}

config::ObjectSet describeServices() {
  config::ObjectSet Result;
  for (const char *Space : {"exchange", "registry"}) {
    const ObjectName Place(std::string(Space) + "/here");
    Result.Places[Place] = {.Name = Place,
                            .Region = RegionName("region"),
                            .FailureDomain = FailureDomainName("north")};
  }
  for (const ServicePlan &Plan : servicePlans()) {
    const ObjectName Service(Plan.Name);
    const ObjectName Rule(std::string(Plan.Name) + "-rule");
    Result.Services[Service] = {.Name = Service,
                                .Address = ServiceAddress(Plan.Address)};
    Result.Rules[Rule] = {.Name = Rule,
                          .Service = Service,
                          .Operations = Plan.Operations,
                          .Goal = Plan.Goal};
  }
  return Result;
}

} // namespace

Site::Site(Executor Where, SiteOptions Options)
    : Where(std::move(Where)), Options(std::move(Options)),
      Directory(makeTemporaryDirectory()), Objects(describeServices()) {}

Site::~Site() {
  Hosts.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Directory, Ignored);
}

void Site::startServers() {
  std::uint64_t Seed = Options.Seed * 1000;
  for (const ServicePlan &Plan : servicePlans())
    for (unsigned Index = 0; Index < Plan.Servers; ++Index) {
      const std::string Name =
          std::string(Plan.Name) + "-" + std::to_string(Index);
      standins::BackendServerOptions Wanted{
          .Name = ObjectName(Name),
          .Service = ObjectName(Plan.Name),
          .Slots = Plan.Slots,
          .Time = {.Distribution = standins::TimeDistribution::LogNormal,
                   .MeanMs = Plan.MeanMs,
                   .Sigma = 0.5},
          .SpeedFactor = 1.0 + Index,
          .RandomSeed = ++Seed,
          .EventInterval = Milliseconds(50),
          .EventEpoch = Milliseconds(1'700'000'000'000)};
      auto Started =
          standins::BackendServer::start(Where, std::move(Wanted)).value();
      config::BackendServer &Declared =
          Objects.BackendServers[ObjectName(Name)];
      Declared = {.Name = ObjectName(Name),
                  .Place = ObjectName(namespaceOf(Name) + "/here"),
                  .Service = ObjectName(Plan.Name),
                  .Address = toString(Started.endpoint()),
                  .ServerGeneration = Generation(1),
                  .Slots = Plan.Slots};
      Servers[Name] =
          std::make_unique<standins::BackendServer>(std::move(Started));
    }
}

Task<> Site::start() {
  Store = std::make_unique<standins::Platform>(
      standins::Platform::start(Where, {}).value());
  startServers();
  co_await publish([](config::ObjectSet &) {});
  static constexpr std::array<const char *, 3> Domains{"north", "middle",
                                                       "south"};
  for (unsigned Index = 0; Index < Options.EntryHosts; ++Index)
    co_await addHost("entry-" + std::to_string(Index),
                     Domains[Index % Domains.size()]);
  standins::FabricOptions Packets{.RandomSeed = Options.Seed,
                                  .ToHosts = Options.ToHosts,
                                  .ToCallers = Options.ToCallers};
  Spray = std::make_unique<standins::Fabric>(
      standins::Fabric::start(Where, std::move(Packets)).value());
  sprayOverAll();
}

Json Site::hostSettings(const std::string &Name,
                        const std::string &FailureDomain) const {
  const auto Known = KnownAddresses.find(Name);
  const bool Again = Known != KnownAddresses.end();
  // Connections are made from 127.0.0.1: one of them could hold the port of a
  // host that is down, if the host had that address as well.
  const std::string Any =
      "127.3.0." + std::to_string(KnownAddresses.size() + 1) + ":0";
  Json Seeds = Json::array();
  for (const auto &[Other, Item] : Hosts)
    Seeds.push_back(toString(Item.Addresses.Peers));
  return {{"name", Name},
          {"region", "region"},
          {"failure_domain", FailureDomain},
          {"caller_listen", Again ? toString(Known->second.Callers) : Any},
          {"peer_listen", Again ? toString(Known->second.Peers) : Any},
          {"sync_listen", Again ? toString(Known->second.Sync) : Any},
          {"metrics_listen", Any},
          {"fleet_key", FleetKey},
          {"platform", toString(Store->endpoint())},
          {"seeds", Seeds},
          {"random_seed", Options.Seed * 100 + Hosts.size() + 1},
          {"token_lifetime_ms", Options.TokenLifetime.count()}};
}

Task<SiteHost *> Site::addHost(std::string Name, std::string FailureDomain) {
  auto Process = std::make_unique<HostProcess>(
      Options.Program, Directory, hostSettings(Name, FailureDomain));
  const HostAddresses Addresses = co_await Process->ready();
  KnownAddresses[Name] = Addresses;
  SiteHost &Added = Hosts[Name];
  Added = SiteHost{.Process = std::move(Process),
                   .Addresses = Addresses,
                   .FailureDomain = FailureDomain};
  co_await waitForVersion(Added, Version);
  co_return &Added;
}

void Site::removeHost(const std::string &Name) { Hosts.erase(Name); }

SiteHost &Site::host(const std::string &Name) { return Hosts.at(Name); }

std::vector<std::string> Site::hostNames() const {
  std::vector<std::string> Names;
  Names.reserve(Hosts.size());
  for (const auto &[Name, Item] : Hosts)
    Names.push_back(Name);
  return Names;
}

void Site::sprayOver(const std::vector<std::string> &Names) {
  std::vector<UdpEndpoint> Targets;
  Targets.reserve(Names.size());
  for (const std::string &Name : Names)
    Targets.push_back(Hosts.at(Name).Addresses.Callers);
  Spray->setHosts(std::move(Targets));
}

void Site::sprayOverAll() { sprayOver(hostNames()); }

Task<> Site::publish(std::function<void(config::ObjectSet &)> Change) {
  Change(Objects);
  config::StoreClient Client(
      config::StoreClientOptions{.Address = Store->endpoint()});
  config::PublishRequest Request{.OperationId = config::makeOperationId(),
                                 .Author = "faults",
                                 .TimeMs = 1,
                                 .Base = Version,
                                 .Objects = Objects};
  const auto Outcome = co_await config::publish(Client, std::move(Request),
                                                Clock::now() + PublishTimeout);
  if (!Outcome)
    throw std::runtime_error(describe(Outcome.error().Reason));
  Version = Outcome->Version;
  for (auto &[Name, Item] : Hosts)
    co_await waitForVersion(Item, Version);
}

Task<std::optional<Json>> Site::askStatus(TcpEndpoint Where) {
  const auto Link = co_await WebSocket::connect(Where);
  const Json Request = {{"type", "status_request"}};
  if (!Link || !(*Link)->send(Request))
    co_return std::nullopt;
  auto Status = co_await (*Link)->receive();
  if (!Status)
    co_return std::nullopt;
  co_return std::move(*Status);
}

Task<> Site::waitForVersion(SiteHost &Host, ConfigVersion Wanted) {
  while (true) {
    const auto Status = co_await askStatus(Host.Addresses.Sync);
    if (Status && (*Status)["version"] >= Wanted.value())
      co_return;
    co_await sleepFor(PollInterval);
  }
}

Task<> Site::waitForMemberState(SiteHost &Host, std::string Name,
                                std::string State) {
  while (true) {
    const auto Status = co_await askStatus(Host.Addresses.Sync);
    if (Status)
      for (const Json &Member : (*Status)["members"])
        if (Member["name"] == Name && Member["state"] == State)
          co_return;
    co_await sleepFor(PollInterval);
  }
}

standins::BackendServer &Site::server(const std::string &Name) {
  return *Servers.at(Name);
}

std::vector<standins::BackendServer *> Site::servers() {
  std::vector<standins::BackendServer *> Result;
  Result.reserve(Servers.size());
  for (const auto &[Name, Item] : Servers)
    Result.push_back(Item.get());
  return Result;
}

Task<> Site::replaceServer(std::string Name,
                           standins::BackendServerOptions Replacement) {
  Replacement.Listen = Servers.at(Name)->endpoint();
  Servers.at(Name)->stop();
  const std::string NewName = Replacement.Name.value() + "@" + Name;
  while (true) {
    auto Started = standins::BackendServer::start(Where, Replacement);
    if (Started) {
      Servers[NewName] =
          std::make_unique<standins::BackendServer>(std::move(*Started));
      co_return;
    }
    // The old listener is closed by its own task.
    co_await sleepFor(PollInterval);
  }
}

ServiceAddress Site::serviceAddress(const std::string &Service) const {
  return Objects.Services.at(ObjectName(Service)).Address;
}

} // namespace buckthorndeck::faults
