#ifndef BUCKTHORNDECK_FORWARDING_SERVERDIRECTORY_H
#define BUCKTHORNDECK_FORWARDING_SERVERDIRECTORY_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/forwarding/RouteTable.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <vector>

namespace buckthorndeck::forwarding {

//! Number of a backend server in the datagrams that it receives.
using ServerId = StrongType<struct ServerIdTag, std::uint64_t>;
//! Revision of a key or of the whole store.
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;

//! What a backend server process registers about itself.
struct ServerRecord {
  std::string Name; //!< Unique; its key in the registry.
  ServerId Id;
  Incarnation StartTime; //!< Start of the process, in ms since the Unix epoch.
  ServiceName Service;
  UdpEndpoint Address;
  FailureDomainName Domain;
  std::uint32_t Slots = 1;
  bool Draining = false;
  Milliseconds WarmupLeft{0}; //!< How much longer it is slow after its start.
};

//! The token of a server process: every host computes the same.
ServerToken tokenOf(const ServerRecord &Record);

//! Whether a server process can be reached from this host.
enum class Reachability : std::uint8_t {
  Reachable,    //!< Or never doubted.
  Suspected,    //!< Packets went unanswered; a health check is under way.
  Unhealthy,    //!< The health check failed; it may still serve its flows.
  Unresponsive, //!< Packets go unanswered as well.
};

const char *toString(Reachability State);

//! What a health check says of a server.
enum class HealthCheckOutcome : std::uint8_t {
  Connected,
  Refused,      //!< The server's host answers, the server does not.
  TimedOut,     //!< Nothing answered, while another server did.
  Replaced,     //!< Another server answered at its address.
  Inconclusive, //!< Nothing answered, and another server did not either.
};

const char *toString(HealthCheckOutcome Outcome);

//! A server process and what this host has seen of it.
struct Server {
  ServerRecord Record;
  ServerToken Token;
  StoreRevision Revision;
  bool Registered = true; //!< Its registry entry exists.
  TimePoint RemovedAt;    //!< When Registered became false.
  TimePoint WarmAt;       //!< End of its slow start.
  Reachability State = Reachability::Reachable;
  HealthCheckOutcome LastCheck = HealthCheckOutcome::Connected;
  //! Points for packets that went unanswered since ProgressAt.
  unsigned Evidence = 0;
  TimePoint ProgressAt;    //!< Last proof in the packets that it answers.
  TimePoint NextCheckAt;   //!< Earliest next health check.
  bool Checking = false;   //!< A health check is under way.
  std::uint32_t Flows = 0; //!< Open flows that this host has seen lately.
  double ResponseMs = 0;   //!< Moving average; 0 before the first response.
};

/**
 * All backend server processes that open flows may need.
 *
 * A process stays known for some time after its registry entry is gone: entries
 * also vanish while their servers live, and open flows still need the address.
 */
class ServerDirectory {
public:
  enum class Change { None, Added, Updated };

  //! Takes over a registry entry. Revisions of a key never go back.
  Change update(ServerRecord Record, StoreRevision Revision, TimePoint Now);
  //! The registry entry is gone as of Revision. Null if it was not known.
  Server *remove(const std::string &Name, StoreRevision Revision,
                 TimePoint Now);
  //! Removes every entry that is not in Present: after a complete read as of
  //! Revision. Returns those removed.
  std::vector<Server *> retain(std::vector<std::string> Present,
                               StoreRevision Revision, TimePoint Now);
  //! Forgets processes that were removed before Oldest. Returns their number.
  std::size_t forget(TimePoint Oldest);

  Server *find(ServerToken Token);
  //! Servers of a service, registered or lately removed.
  const std::vector<Server *> &serversOf(const ServiceName &Service) const;
  //! Whether another process is registered at the address of Gone.
  bool isReplaced(const Server &Gone) const;

  std::size_t size() const { return ByToken.size(); }
  template <typename Visitor> void forEach(Visitor Visit) {
    for (auto &[Token, Known] : ByToken)
      Visit(*Known);
  }

private:
  void removeEntry(Server &Known, StoreRevision Revision, TimePoint Now);
  void unlink(Server &Known);

  boost::unordered_flat_map<std::uint32_t, std::unique_ptr<Server>> ByToken;
  boost::unordered_flat_map<std::string, Server *> ByName;
  boost::unordered_flat_map<std::string, std::vector<Server *>> ByService;
  boost::unordered_flat_map<SocketAddress, Server *, SocketAddressHash>
      ByAddress;
};

SocketAddress toSocketAddress(const UdpEndpoint &Where);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_SERVERDIRECTORY_H
