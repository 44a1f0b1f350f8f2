#ifndef BUCKTHORNDECK_FAULTS_PACKETSITE_H
#define BUCKTHORNDECK_FAULTS_PACKETSITE_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/faults/ChildProcess.h"
#include "buckthorndeck/forwarding/Registry.h"
#include "buckthorndeck/net/UdpSocket.h"
#include "buckthorndeck/platform/RegistryStore.h"
#include "buckthorndeck/standins/FlowServer.h"
#include "buckthorndeck/standins/PacketRouter.h"
#include "buckthorndeck/standins/TcpProxy.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::faults {

/**
 * When a fault last affected something. Bounds in time hold only for
 * what has been calm for a while.
 */
class Calm {
public:
  //! A fault lasts from now on until end() was called as often.
  void begin() { ++Active; }
  void end() {
    --Active;
    EndedAt = Clock::now();
  }
  //! Whether it has been calm for Span before now.
  bool lasted(Milliseconds Span) const {
    return Active == 0 && Clock::now() - EndedAt >= Span;
  }

private:
  unsigned Active = 0;
  TimePoint EndedAt{};
};

//! A fault of something for the length of a scope.
class Disturbance {
public:
  explicit Disturbance(Calm &Target) : Target(Target) { Target.begin(); }
  Disturbance(const Disturbance &) = delete;
  Disturbance &operator=(const Disturbance &) = delete;
  ~Disturbance() { Target.end(); }

private:
  Calm &Target;
};

struct PacketSiteOptions {
  std::string Program;   //!< Path of the entry host program.
  std::string Directory; //!< For settings and logs; must exist.
  std::uint64_t Seed = 1;
  unsigned Hosts = 4;
  unsigned Domains = 2;
  unsigned ServersPerService = 4;
};

//! One entry host of a site: its process and what it is reached by.
struct PacketSiteHost {
  std::string Name;
  FailureDomainName Domain;
  UdpEndpoint Packets;
  Json Settings;
  std::unique_ptr<standins::TcpProxy> StoreLink;
  std::unique_ptr<ChildProcess> Process; //!< Null while it is down.
  Calm State;
  std::uint64_t Lifetime = 0; //!< Raised at each start.
  bool Busy = false;          //!< Some fault stops or restarts it.
  bool StoreCut = false;      //!< Some fault affects its link to the store.
};

//! One backend server, also after its end.
struct PacketSiteServer {
  std::unique_ptr<standins::FlowServer> Process;
  Calm State;
  //! When the store accepted that it drains or is gone.
  std::optional<TimePoint> DrainedAt;
  bool Unregistered = false; //!< Its entry was taken out for good.
  bool Busy = false;         //!< Some fault has chosen it.
};

//! Configuration versions as the store accepted them.
struct PublishedRoutes {
  forwarding::RouteSet Routes;
  TimePoint At;
};

/**
 * A deployment of the packet path on one machine: entry hosts as processes of
 * their own; store, routers and backend servers as stand-ins.
 *
 * Service "a" and service "b" have a route each; a third route changes between
 * both with each version, and each version has a route that only it has.
 */
class PacketSite {
public:
  PacketSite(Executor Where, PacketSiteOptions Options);
  ~PacketSite();

  //! Starts everything and waits until all hosts take packets.
  Task<> start();
  //! Ends all hosts and waits for their processes.
  Task<> stop();

  void startHost(PacketSiteHost &Host);
  //! Replaces the settings file of a host with Text; startHost() writes the
  //! host's own settings again.
  void writeSettings(const PacketSiteHost &Host, const std::string &Text);
  //! Path of the file with a host's log lines.
  std::string logFile(const PacketSiteHost &Host) const;
  //! Waits until every host that runs is in rotation.
  Task<bool> waitReady(Milliseconds Limit);
  //! Starts and registers a server, at Address if there is one.
  PacketSiteServer &addServer(const std::string &Service,
                              std::optional<UdpEndpoint> Address = {});
  //! Starts the process of a server that has crashed again, under its name and
  //! at its address.
  PacketSiteServer &startAgain(const PacketSiteServer &Crashed);
  //! Takes a server's entry out of the store.
  void unregister(PacketSiteServer &Server);
  //! Publishes the next version.
  void publish();
  //! Writes again what the store lacks since it came back from a copy: the last
  //! version and the entries of the servers that run.
  void writeAgain();
  //! Takes the entries of servers out that no process renews.
  void lapseEntries();

  std::deque<PacketSiteHost> &hosts() { return Hosts; }
  std::deque<PacketSiteServer> &servers() { return Servers; }
  const std::vector<PublishedRoutes> &versions() const { return Versions; }
  platform::RegistryStore &store() { return *Store; }
  Calm &storeState() { return StoreState; }
  //! Of the whole site: calm while nothing has a fault.
  Calm &state() { return State; }
  const standins::PacketRouter &router() const { return *Router; }
  RandomEngine &random() { return Random; }
  Executor executor() const { return Where; }
  //! Address at which callers receive packets.
  UdpEndpoint callerAddress() const { return CallerAddress; }
  std::vector<FailureDomainName> domains() const;
  //! The host with this packet address; null if there is none.
  PacketSiteHost *hostAt(const UdpEndpoint &Packets);
  //! Whether the process of the host with this packet address runs.
  bool runs(const UdpEndpoint &Packets);

private:
  PacketSiteServer &startServer(forwarding::ServerRecord Record);
  std::string settingsFile(const PacketSiteHost &Host) const;
  Json hostSettings(const PacketSiteHost &Host, unsigned Number) const;

  Executor Where;
  PacketSiteOptions Options;
  RandomEngine Random;
  UdpEndpoint CallerAddress;
  UdpSocket HeartbeatPort; //!< Keeps the port from being given to others.
  std::unique_ptr<platform::RegistryStore> Store;
  Calm StoreState;
  Calm State;
  std::deque<PacketSiteHost> Hosts;
  std::deque<PacketSiteServer> Servers;
  std::unique_ptr<standins::PacketRouter> Router;
  std::vector<PublishedRoutes> Versions;
  std::uint64_t NextServer = 1;
  std::uint64_t NextVersion = 1;
};

// The routes of a site.
inline constexpr std::uint32_t ServiceIp = 0xc6120001; // 198.18.0.1
inline constexpr forwarding::SocketAddress RouteOfA{ServiceIp, 443};
inline constexpr forwarding::SocketAddress RouteOfB{ServiceIp, 444};
inline constexpr forwarding::SocketAddress ChangingRoute{ServiceIp, 445};
//! Routes from this port on belong to one version each.
inline constexpr std::uint16_t FirstVersionPort = 10'000;
//! The route that only this version has.
forwarding::SocketAddress routeOfVersion(ConfigVersion Version);

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_PACKETSITE_H
