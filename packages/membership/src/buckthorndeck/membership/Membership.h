#ifndef BUCKTHORNDECK_MEMBERSHIP_MEMBERSHIP_H
#define BUCKTHORNDECK_MEMBERSHIP_MEMBERSHIP_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/membership/Member.h"
#include "buckthorndeck/membership/TimeSource.h"
#include "buckthorndeck/net/Task.h"

#include <functional>
#include <memory>
#include <vector>

namespace buckthorndeck::wire {
struct Envelope;
} // namespace buckthorndeck::wire

namespace buckthorndeck::membership {

//! Sends one encoded envelope; the receiver of the call adds the MAC.
using SendFunction = std::function<void(Bytes, const UdpEndpoint &)>;

struct MembershipOptions {
  Member Self;
  //! Addresses to probe for a first contact; this host's own is skipped.
  std::vector<UdpEndpoint> Seeds;
  Milliseconds Period{1000};
  Milliseconds AckTimeout{300};
  std::size_t IndirectProbes = 3;
  Milliseconds SuspicionTimeout{3000};
  //! How long dead and left members are remembered.
  Milliseconds Retention{600'000};
  std::uint64_t RandomSeed = 0;
  TimeSource Time = systemTime();
  //! Called after a member's state, start or version changed.
  std::function<void(const Member &)> OnChange;
  //! Called once when another process with a higher start runs under this
  //! host's name. Membership has stopped by then.
  std::function<void(Incarnation)> OnReplaced;
};

//! Traffic since the start. Bytes include MAC and UDP and IP headers.
struct MembershipCounters {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t MessagesRefused = 0; //!< Did not decode.
};

/**
 * This host's part in the SWIM protocol, and its view of the fleet.
 *
 * It probes its own region. Members of other regions are probed less often,
 * and count as suspect only if a host of their own region cannot reach them
 * either, so that a region that is cut off is not declared dead as a whole.
 */
class Membership {
public:
  Membership(Executor Where, MembershipOptions Options, SendFunction Send);
  Membership(const Membership &) = delete;
  Membership &operator=(const Membership &) = delete;
  //! Stops; a running run() returns at its next step.
  ~Membership();

  //! Probes one member per period until stop().
  Task<> run();
  void stop();

  //! Takes a received heartbeat message whose MAC was right.
  void handle(const wire::Envelope &Received, const UdpEndpoint &Sender);

  const Member &self() const;
  //! This host or another one; null if unknown. Valid until the next change.
  const Member *find(const EntryHostName &Name) const;
  //! All known members, this host first, the dead and left ones included.
  std::vector<Member> members() const;
  //! The other hosts that are alive, suspect or leaving.
  std::vector<Member> reachable() const;
  //! True once the member table was read from other hosts, or if there are
  //! none.
  bool complete() const;

  //! Announces the start and the end of a graceful stop.
  void announceLeaving();
  void announceLeft();
  void setVersion(ConfigVersion Version);
  void addSeeds(const std::vector<UdpEndpoint> &Addresses);

  const MembershipCounters &counters() const;

private:
  struct Node;
  std::shared_ptr<Node> Self;
};

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_MEMBERSHIP_H
