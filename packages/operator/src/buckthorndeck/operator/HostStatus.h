#ifndef BUCKTHORNDECK_OPERATOR_HOSTSTATUS_H
#define BUCKTHORNDECK_OPERATOR_HOSTSTATUS_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <string>
#include <vector>

namespace buckthorndeck::operators {

//! An entry host as another one sees it.
struct MemberStatus {
  EntryHostName Name;
  RegionName Region;
  FailureDomainName FailureDomain;
  std::string SyncAddress;
  std::string State;
  ConfigVersion Version;
};

//! A backend server as an entry host sees it.
struct ServerStatus {
  ObjectName Name;
  ObjectName Service;
  std::string State;
  std::uint64_t InFlight = 0;
  std::uint64_t Subscriptions = 0;
  Milliseconds ServiceTime{0};
};

//! What an entry host says about itself.
struct HostStatus {
  EntryHostName Name;
  RegionName Region;
  FailureDomainName FailureDomain;
  ConfigVersion Version;
  bool Draining = false;
  std::vector<MemberStatus> Members;
  std::vector<ServerStatus> Servers;
};

Expected<HostStatus> parseStatus(const Json &Message, const std::string &Peer);

//! Asks the entry host at this sync address; always returns after Timeout.
Task<Expected<HostStatus>> queryStatus(TcpEndpoint Host, Milliseconds Timeout);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_HOSTSTATUS_H
