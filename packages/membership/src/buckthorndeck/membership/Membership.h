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

//! Sends one encoded envelope; the callee adds the MAC.
using SendFunction = std::function<void(Bytes, const UdpEndpoint &)>;

struct MembershipOptions {
  Member Self;
  //! Addresses of hosts to contact first; this host's own is skipped.
  std::vector<UdpEndpoint> Seeds;
  Milliseconds ProbePeriod{1000};
  Milliseconds AckTimeout{300};
  std::size_t IndirectProbes = 3;
  Milliseconds SuspicionTimeout{3000};
  //! How long dead and left members stay in the table.
  Milliseconds Retention{600'000};
  std::uint64_t RandomSeed = 0;
  TimeSource Time = systemTime();
  //! Called after a member's state, start time or configuration version
  //! changed.
  std::function<void(const Member &)> OnChange;
  //! Called once when another process with a later start time runs under this
  //! host's name. Membership has stopped before the call.
  std::function<void(Incarnation)> OnReplaced;
};

//! Traffic since the start. Bytes include MAC and UDP and IP headers.
struct MembershipCounters {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t MalformedMessages = 0; //!< Did not decode.
};

/**
 * Runs the SWIM membership protocol for this host and keeps its member table.
 *
 * It probes the members of its own region. Members of other regions are probed
 * less often and become suspect only if a host of their own region cannot reach
 * them either, so that a region that is cut off is not declared dead as a
 * whole.
 */
class Membership {
public:
  Membership(Executor Where, MembershipOptions Options, SendFunction Send);
  Membership(const Membership &) = delete;
  Membership &operator=(const Membership &) = delete;
  //! Stops. A run() in progress returns after its current wait.
  ~Membership();

  //! Probes one member per period until stop().
  Task<> run();
  void stop();

  //! Processes a received heartbeat message, whose MAC the caller has verified.
  void handle(const wire::Envelope &Received, const UdpEndpoint &Sender);

  const Member &self() const;
  //! The member of that name, which may be this host; null if unknown. The
  //! pointer is valid until the next change of the table.
  const Member *find(const EntryHostName &Name) const;
  //! All known members, this host first, the dead and left ones included.
  std::vector<Member> members() const;
  //! The other hosts that are alive, suspect or leaving.
  std::vector<Member> reachable() const;
  //! True once the member table was read from other hosts; false again while it
  //! is read another time.
  bool isTableComplete() const;

  //! Tell some members of the start and the end of a graceful stop.
  void announceLeaving();
  void announceLeft();
  void setVersion(ConfigVersion Version);
  void addSeeds(const std::vector<UdpEndpoint> &Addresses);

  const MembershipCounters &counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_MEMBERSHIP_H
