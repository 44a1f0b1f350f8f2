#ifndef BUCKTHORNDECK_MEMBERSHIP_MEMBER_H
#define BUCKTHORNDECK_MEMBERSHIP_MEMBER_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Endpoint.h"

#include <cstdint>

namespace buckthorndeck::membership {

enum class MemberState : std::uint8_t {
  Alive = 0,
  Suspect = 1, //!< Did not answer a probe; dead unless it refutes in time.
  Leaving = 2, //!< Stopping gracefully; finishes requests in progress.
  Dead = 3,
  Left = 4, //!< Stopped gracefully.
};

const char *toString(MemberState Value);

//! An entry host, as recorded by another one.
struct Member {
  EntryHostName Name;
  RegionName Region;
  FailureDomainName FailureDomain;
  UdpEndpoint PeerAddress;      //!< For heartbeats, announcements and relays.
  TcpEndpoint SyncAddress;      //!< For configuration sync and status requests.
  Incarnation StartTime;        //!< Of the process; a restart has a later one.
  std::uint64_t Refutation = 0; //!< Raised by the member to refute a suspicion;
                                //!< the incarnation number of SWIM.
  MemberState State = MemberState::Alive;
  ConfigVersion Version; //!< In force on the member, as it last reported.
};

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_MEMBER_H
