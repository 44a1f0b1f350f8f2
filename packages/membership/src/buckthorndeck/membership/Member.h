#ifndef BUCKTHORNDECK_MEMBERSHIP_MEMBER_H
#define BUCKTHORNDECK_MEMBERSHIP_MEMBER_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Endpoint.h"

#include <cstdint>

namespace buckthorndeck::membership {

enum class MemberState : std::uint8_t {
  Alive = 0,
  Suspect = 1, //!< Missed a probe; dead unless it refutes in time.
  Leaving = 2, //!< Stopping gracefully; still finishes its work.
  Dead = 3,
  Left = 4, //!< Stopped gracefully.
};

const char *toString(MemberState Value);

//! One entry host as another one sees it.
struct Member {
  EntryHostName Name;
  RegionName Region;
  FailureDomainName FailureDomain;
  UdpEndpoint PeerAddress;      //!< Heartbeats and relayed datagrams.
  TcpEndpoint SyncAddress;      //!< Configuration sync and status.
  Incarnation StartTime;        //!< Fixed for the life of the process.
  std::uint64_t Refutation = 0; //!< Raised by the member to refute suspicion.
  MemberState State = MemberState::Alive;
  ConfigVersion Version; //!< Configuration in force there, as last heard.
};

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_MEMBER_H
