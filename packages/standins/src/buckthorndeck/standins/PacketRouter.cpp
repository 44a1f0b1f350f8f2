#include "buckthorndeck/standins/PacketRouter.h"

#include "buckthorndeck/net/HttpClient.h"

#include <algorithm>

namespace buckthorndeck::standins {

using forwarding::FlowKey;

namespace {

// As the platform's routers do.
constexpr Milliseconds CheckInterval{500};
constexpr unsigned MissesUntilOut = 2;

} // namespace

struct PacketRouter::State {
  struct Host {
    RoutedHost Known;
    unsigned Misses = MissesUntilOut;
  };

  static Task<> check(std::shared_ptr<State> Self, std::size_t Index);
  //! Hosts of Domain that get packets.
  std::vector<const Host *> rotation(const FailureDomainName &Domain) const;

  std::string ReadyPath;
  std::vector<Host> Hosts;
  bool Stopped = false;
};

Task<> PacketRouter::State::check(std::shared_ptr<State> Self,
                                  std::size_t Index) {
  while (!Self->Stopped) {
    const TimePoint Started = Clock::now();
    HttpRequest Request;
    Request.Target = Self->ReadyPath;
    const TcpEndpoint Peer = Self->Hosts[Index].Known.Ready;
    const Expected<HttpResponse> Answer =
        co_await callHttp(Peer, std::move(Request), CheckInterval);
    Host &Checked = Self->Hosts[Index];
    if (Answer && Answer->Status == 200)
      Checked.Misses = 0;
    else
      ++Checked.Misses;
    const auto Taken =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - Started);
    co_await sleepFor(std::max(Milliseconds(1), CheckInterval - Taken));
  }
}

std::vector<const PacketRouter::State::Host *>
PacketRouter::State::rotation(const FailureDomainName &Domain) const {
  std::vector<const Host *> All;
  std::vector<const Host *> In;
  for (const Host &Each : Hosts)
    if (Each.Known.Domain == Domain) {
      All.push_back(&Each);
      if (Each.Misses < MissesUntilOut)
        In.push_back(&Each);
    }
  if (In.empty())
    return In;
  return In.size() * 2 < All.size() ? All : In;
}

PacketRouter::PacketRouter(const Executor &Where, PacketRouterOptions Options)
    : Shared(std::make_shared<State>()) {
  Shared->ReadyPath = Options.ReadyPath;
  for (RoutedHost &Each : Options.Hosts)
    Shared->Hosts.push_back({.Known = std::move(Each)});
  for (std::size_t Index = 0; Index < Shared->Hosts.size(); ++Index)
    spawn(Where, "router_check", State::check(Shared, Index));
}

PacketRouter::~PacketRouter() { Shared->Stopped = true; }

std::size_t PacketRouter::hostsInRotation() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Shared->Hosts, [](const State::Host &Each) {
        return Each.Misses < MissesUntilOut;
      }));
}

std::optional<UdpEndpoint>
PacketRouter::route(const FlowKey &Flow,
                    const FailureDomainName &Domain) const {
  auto Candidates = Shared->rotation(Domain);
  for (const State::Host &Each : Shared->Hosts) {
    if (!Candidates.empty())
      break;
    Candidates = Shared->rotation(Each.Known.Domain);
  }
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[hashOf(Flow) % Candidates.size()]->Known.Packets;
}

} // namespace buckthorndeck::standins
