#ifndef BUCKTHORNDECK_FAULTS_SITE_H
#define BUCKTHORNDECK_FAULTS_SITE_H

#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/faults/HostProcess.h"
#include "buckthorndeck/standins/BackendServer.h"
#include "buckthorndeck/standins/Fabric.h"
#include "buckthorndeck/standins/Platform.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::faults {

struct SiteOptions {
  std::string Program; //!< Path of the entry host program.
  std::uint64_t Seed = 1;
  unsigned EntryHosts = 3;
  Milliseconds TokenLifetime{1'000};
  standins::PacketFaults ToHosts;
  standins::PacketFaults ToCallers;
};

//! One entry host of a site and where it can be reached.
struct SiteHost {
  std::unique_ptr<HostProcess> Process;
  HostAddresses Addresses;
  std::string FailureDomain;
};

/**
 * A whole site on one machine: stand-ins for platform, fabric and backend
 * servers in this process, entry hosts as processes of their own.
 *
 * Services: exchange/trading-floor (3 servers), exchange/swatch-press (2),
 * registry/tag-registry (3), registry/certificate-press (2).
 */
class Site {
public:
  Site(Executor Where, SiteOptions Options);
  ~Site();

  //! Starts everything and waits until every host has the configuration.
  Task<> start();

  //! Starts one more entry host and waits until it serves. Its name must not
  //! be in use. Port numbers are kept if the name was in use before.
  Task<SiteHost *> addHost(std::string Name, std::string FailureDomain);
  //! Forgets a host whose process has ended.
  void removeHost(const std::string &Name);
  SiteHost &host(const std::string &Name);
  std::vector<std::string> hostNames() const;

  //! Sends new packets to these hosts only; all hosts of the site by default.
  void sprayOver(const std::vector<std::string> &Names);
  void sprayOverAll();

  //! Publishes a changed configuration and waits until all running hosts
  //! have it in force.
  Task<> publish(std::function<void(config::ObjectSet &)> Change);
  //! Waits until the host answers with at least this version.
  Task<> waitForVersion(SiteHost &Host, ConfigVersion Version);
  //! Waits until Host sees the member Name in this state.
  Task<> waitForMemberState(SiteHost &Host, std::string Name,
                            std::string State);
  ConfigVersion version() const { return Version; }

  standins::BackendServer &server(const std::string &Name);
  std::vector<standins::BackendServer *> servers();
  //! Stops a server and starts Replacement at the same address.
  Task<> replaceServer(std::string Name,
                       standins::BackendServerOptions Replacement);

  standins::Platform &platform() { return *Store; }
  standins::Fabric &fabric() { return *Spray; }
  Executor executor() const { return Where; }

  //! Address that callers use for a service such as "exchange/swatch-press".
  ServiceAddress serviceAddress(const std::string &Service) const;

private:
  static Task<std::optional<Json>> askStatus(TcpEndpoint Where);
  void startServers();
  Json hostSettings(const std::string &Name,
                    const std::string &FailureDomain) const;

  Executor Where;
  SiteOptions Options;
  std::string Directory;
  std::unique_ptr<standins::Platform> Store;
  std::unique_ptr<standins::Fabric> Spray;
  std::map<std::string, std::unique_ptr<standins::BackendServer>> Servers;
  std::map<std::string, SiteHost> Hosts;
  std::map<std::string, HostAddresses> KnownAddresses;
  config::ObjectSet Objects;
  ConfigVersion Version;
};

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_SITE_H
