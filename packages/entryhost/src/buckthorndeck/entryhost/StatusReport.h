#ifndef BUCKTHORNDECK_ENTRYHOST_STATUSREPORT_H
#define BUCKTHORNDECK_ENTRYHOST_STATUSREPORT_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/membership/Member.h"
#include "buckthorndeck/routing/Dispatcher.h"

#include <vector>

namespace buckthorndeck::entryhost {

//! Status of an entry host for operators.
struct StatusReport {
  membership::Member Self;
  Digest ObjectsDigest; //!< Of the configuration in force.
  bool Draining = false;
  routing::EvacuatedDomains Evacuated;
  std::vector<membership::Member> Members;
  std::vector<routing::ServerStatus> Servers;
};

//! The answer to a status_request.
Json toJson(const StatusReport &Report);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_STATUSREPORT_H
