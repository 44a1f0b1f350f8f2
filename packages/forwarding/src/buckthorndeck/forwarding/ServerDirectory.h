#ifndef BUCKTHORNDECK_FORWARDING_SERVERDIRECTORY_H
#define BUCKTHORNDECK_FORWARDING_SERVERDIRECTORY_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/forwarding/Evacuations.h"
#include "buckthorndeck/forwarding/OutlierState.h"
#include "buckthorndeck/forwarding/Regions.h"
#include "buckthorndeck/forwarding/RegistryOrder.h"
#include "buckthorndeck/forwarding/RouteTable.h"
#include "buckthorndeck/forwarding/ServerLoad.h"
#include "buckthorndeck/forwarding/ServerPace.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace buckthorndeck::forwarding {

//! Identifies a backend server in the datagrams sent to it.
using ServerId = StrongType<struct ServerIdTag, std::uint64_t>;

//! Registry entry of a backend server process.
struct ServerRecord {
  std::string Name; //!< Unique; its key in the registry.
  ServerId Id;
  Incarnation StartTime; //!< Start of the process, in ms since the Unix epoch.
  //! Number of the report within the process's life; 0 from peers of earlier
  //! versions.
  std::uint64_t Sequence = 0;
  ServiceName Service;
  UdpEndpoint Address;
  FailureDomainName Domain;
  std::uint32_t Slots = 1;
  bool Draining = false;
  Milliseconds WarmupLeft{0}; //!< Rest of its slow start.
};

//! How the server orders Record among its other reports.
inline ServerReport reportOf(const ServerRecord &Record) {
  return {.StartTime = Record.StartTime, .Sequence = Record.Sequence};
}

//! A server's entry and where it was written.
struct RegistryEntry {
  ServerRecord Record;
  StorePosition Position;
};

//! The token of a server process. All hosts compute the same one.
ServerToken tokenOf(const ServerRecord &Record);

//! Whether a server process can be reached from this host.
enum class Reachability : std::uint8_t {
  Reachable,    //!< Also a server that was never checked.
  Suspected,    //!< Packets were not answered; a health check is in progress.
  Unhealthy,    //!< The health check failed; flows may still be served.
  Unresponsive, //!< Packets are not answered either; flows are reset.
};

const char *toString(Reachability State);

//! Result of a health check.
enum class HealthCheckOutcome : std::uint8_t {
  Connected,
  Refused,      //!< The server's machine refused the connection.
  TimedOut,     //!< No answer in time, but the reference server answered.
  Replaced,     //!< Another server answered at the address.
  Inconclusive, //!< The fault may be on this host.
};
inline constexpr std::size_t HealthCheckOutcomeCount = 5;

const char *toString(HealthCheckOutcome Outcome);

enum class HealthCheckKind : std::uint8_t {
  First,        //!< Fast, so that a silent server soon gets no new flows.
  Confirmation, //!< Leaves the server much more time than the reference server.
};

//! A server process and its state as observed by this host.
struct Server {
  ServerRecord Record;
  ServerToken Token;
  StorePosition Position; //!< Where its entry was last written or removed.
  bool Registered = true; //!< Its registry entry exists.
  TimePoint RemovedAt;    //!< When Registered became false.
  //! Latest time at which it may get new flows after its removal.
  TimePoint FallbackUntil = TimePoint::max();
  //! Another process has been started under its name.
  bool Superseded = false;
  TimePoint WarmupEndsAt;  //!< End of its slow start.
  bool Evacuated = false;  //!< Its failure domain is evacuated.
  TimePoint WarmupShareAt; //!< While it is cold: when this host may send again.
  TimePoint EjectedUntil;  //!< It is an outlier until then.
  Reachability State = Reachability::Reachable;
  HealthCheckOutcome LastHealthCheck = HealthCheckOutcome::Connected;
  //! Packets left unanswered since LastProgressAt, and removals of its entry.
  unsigned Failures = 0;
  unsigned FailureScore = 0; //!< Sum of their weights.
  TimePoint LastFailureAt;
  TimePoint LastProgressAt;    //!< Last packet that proves that it answers.
  TimePoint LastHealthCheckAt; //!< End of the last health check.
  //! End of the last failed health check, unless the server has answered or
  //! its registry entry has changed since.
  std::optional<TimePoint> FailedCheckAt;
  unsigned FailedChecks = 0;   //!< Failed in a row, the last at FailedCheckAt.
  TimePoint NextHealthCheckAt; //!< Earliest time of the next health check.
  bool HealthCheckRunning = false; //!< A health check is in progress.
  std::uint32_t Flows = 0;         //!< Its flows in this host's flow table.
  double ResponseMs = 0; //!< Moving average; 0 before the first response.
  OutlierState Outlier;
  ServerLoad Load;       //!< For overload control.
  ServerPace Pace;       //!< For adaptive slow start.
  RegionMask Region = 0; //!< Of its failure domain; 0 if it has none.
};

/**
 * All backend server processes that flows may still use.
 *
 * A process is kept for some time after its registry entry was removed. Entries
 * are also removed while their servers still run, and existing flows need the
 * address.
 */
class ServerDirectory {
public:
  enum class Change { None, Added, Updated, Withheld };

  ServerDirectory() = default;
  //! Regions gives the region of each server's failure domain.
  explicit ServerDirectory(RegionTable Regions) : Regions(std::move(Regions)) {}
  const RegionTable &regions() const { return Regions; }

  //! Adds or updates a server as decideEntry() says.
  Change update(ServerRecord Record, StorePosition Position, TimePoint Now,
                EntryOrigin Origin = EntryOrigin::Write);
  //! Marks the server as unregistered as of Position. Null if no such server
  //! was registered or a later position is known.
  Server *remove(const std::string &Name, StorePosition Position, TimePoint Now,
                 TimePoint FallbackUntil = TimePoint::max());
  //! Takes over that a peer saw an entry removed, as decideRemoval() says. The
  //! position of Removed is that of the removal. Returns the server if it was
  //! registered until now.
  Server *mergeRemoval(RegistryEntry Removed, TimePoint Now);
  //! Marks every server that is not in Present, the names of a complete read as
  //! of Position, as unregistered, unless its entry is newer than the read or
  //! of an earlier era. Returns these servers.
  std::vector<Server *> retain(std::vector<std::string> Present,
                               StorePosition Position, TimePoint Now,
                               TimePoint FallbackUntil = TimePoint::max());
  //! Whether entries of Era are withheld or servers have an entry of an earlier
  //! era only.
  bool hasUnconfirmed(StoreEra Era) const;
  //! Forgets the withheld entries and returns those of Era.
  std::vector<RegistryEntry> takeWithheld(StoreEra Era);
  //! Marks the servers as unregistered whose entries are of an era before Era.
  //! Returns these servers.
  std::vector<Server *> removeUnconfirmed(StoreEra Era, TimePoint Now);
  //! Erases processes that were unregistered before Oldest. Returns their
  //! number.
  std::size_t eraseRemovedBefore(TimePoint Oldest);

  const Evacuations &evacuations() const { return Evacuated; }
  //! Lets Change change the evacuations, then marks the servers accordingly.
  template <typename Changer> void changeEvacuations(Changer Change) {
    const bool WasEmpty = Evacuated.empty();
    Change(Evacuated);
    if (WasEmpty && Evacuated.empty())
      return;
    for (auto &[Token, Backend] : ByToken)
      Backend->Evacuated = Evacuated.contains(Backend->Record.Domain);
  }
  //! Whether a server of Domain is known.
  bool hasServersIn(const FailureDomainName &Domain) const;

  Server *find(ServerToken Token);
  //! The last process that was registered under Name; null if there is none.
  Server *findLatest(const std::string &Name);
  //! Servers of a service, including those that were unregistered but not yet
  //! erased.
  const std::vector<Server *> &serversOf(const ServiceName &Service) const;
  //! Whether Backend is the last process that was registered under its name.
  bool isLatest(const Server &Backend) const;
  //! Whether packets with Backend's token go to Backend itself, see
  //! currentProcess().
  bool receivesOwnPackets(const Server &Backend) const;
  //! The process that gets the packets for Backend: itself, or the one that was
  //! started again under its name at the same address.
  Server &currentProcess(Server &Backend) const;
  //! Last position of the processes and revocations that were erased.
  StorePosition newestErased() const {
    return std::max(NewestErased, Evacuated.newestErased());
  }
  //! Whether another process is registered at the address of Removed.
  bool isReplaced(const Server &Removed) const;

  std::size_t size() const { return ByToken.size(); }
  template <typename Visitor> void forEach(Visitor Visit) {
    for (auto &[Token, Backend] : ByToken)
      Visit(*Backend);
  }
  template <typename Visitor> void forEachWithheld(Visitor Visit) const {
    for (const auto &[Name, Entry] : Withheld)
      Visit(Entry);
  }

private:
  void addUnregistered(RegistryEntry Removed, TimePoint Now);
  void withhold(ServerRecord Record, StorePosition Position);
  void markUnregistered(Server &Backend, StorePosition Position, TimePoint Now,
                        TimePoint FallbackUntil = TimePoint::max());
  void eraseFromIndexes(Server &Backend);
  Server *findSuccessor(const Server &Backend) const;

  boost::unordered_flat_map<std::uint32_t, std::unique_ptr<Server>> ByToken;
  boost::unordered_flat_map<std::string, Server *> ByName;
  boost::unordered_flat_map<std::string, std::vector<Server *>> ByService;
  boost::unordered_flat_map<SocketAddress, Server *, SocketAddressHash>
      ByAddress;
  //! Entries of a later era than what is known of their servers, by name.
  boost::unordered_flat_map<std::string, RegistryEntry> Withheld;
  StorePosition NewestErased;
  Evacuations Evacuated; //!< Of their failure domains.
  RegionTable Regions;
};

SocketAddress toSocketAddress(const UdpEndpoint &Where);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_SERVERDIRECTORY_H
