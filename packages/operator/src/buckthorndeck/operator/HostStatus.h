#ifndef BUCKTHORNDECK_OPERATOR_HOSTSTATUS_H
#define BUCKTHORNDECK_OPERATOR_HOSTSTATUS_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::operators {

//! State of an entry host as another entry host reports it.
struct MemberStatus {
  EntryHostName Name;
  RegionName Region;
  FailureDomainName FailureDomain;
  std::string SyncAddress;
  std::string State;
  ConfigVersion Version;
};

//! State of a backend server as an entry host reports it.
struct ServerStatus {
  ObjectName Name;
  ObjectName Service;
  std::string State;
  std::uint64_t InFlight = 0; //!< Requests in progress.
  std::uint64_t Subscriptions = 0;
  Milliseconds ServiceTime{0};
};

//! Status that an entry host reports of itself and of others.
struct HostStatus {
  EntryHostName Name;
  RegionName Region;
  FailureDomainName FailureDomain;
  ConfigVersion Version;
  //! Of the configuration in force; earlier versions do not report it.
  std::optional<Digest> ObjectsDigest;
  bool Draining = false;
  //! Failure domains that get no new requests from this host; earlier versions
  //! do not report them.
  std::optional<std::vector<FailureDomainName>> Evacuated;
  std::vector<MemberStatus> Members;
  std::vector<ServerStatus> Servers;
};

//! Fails with Invalid. Peer is the entry host, for the error.
Expected<HostStatus> parseStatus(const Json &Message, const std::string &Peer);

//! Sends a request to the entry host at a sync address and returns its first
//! message of type AnswerType. Fails if it has not arrived within Timeout.
Task<Expected<Json>> requestFromHost(TcpEndpoint Host, Json Request,
                                     std::string AnswerType,
                                     Milliseconds Timeout);

//! Requests the status of the entry host at a sync address. Fails if it has not
//! arrived within Timeout.
Task<Expected<HostStatus>> queryStatus(TcpEndpoint Host, Milliseconds Timeout);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_HOSTSTATUS_H
