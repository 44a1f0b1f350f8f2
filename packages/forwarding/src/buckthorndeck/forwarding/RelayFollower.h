#ifndef BUCKTHORNDECK_FORWARDING_RELAYFOLLOWER_H
#define BUCKTHORNDECK_FORWARDING_RELAYFOLLOWER_H

#include "buckthorndeck/forwarding/KnownRegistry.h"
#include "buckthorndeck/forwarding/RelaySelection.h"
#include "buckthorndeck/forwarding/RelayedChanges.h"
#include "buckthorndeck/net/HttpMessage.h"

namespace buckthorndeck::forwarding {

struct RelayCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Failures = 0; //!< Calls that gave no changes.
};

/**
 * Gets the changes of the store from a peer.
 *
 * A relay's answer says how old the relay's view is, and to which era of the
 * store it belongs. From a relay of a later era this host takes the whole
 * snapshot, so that not every host reads the store after a restoration.
 */
class RelayFollower {
public:
  //! In a failure domain with relays, a host whose view is older than
  //! FreshnessLimit asks the store.
  RelayFollower(KnownRegistry &Known, const PeerDirectory &Peers,
                Milliseconds FreshnessLimit)
      : Known(Known), FreshnessLimit(FreshnessLimit), Relays(Peers) {}

  //! Asks a relay once. Returns whether it answered; no value if the store must
  //! be asked now. StoreFailed: the last call to the store failed, so that
  //! relays are the only source, however old the view is.
  Task<std::optional<bool>> follow(bool StoreFailed);

  const RelaySelection &selection() const { return Relays; }
  const RelayCounters &counters() const { return Counters; }

private:
  //! What a relay's answer is good for.
  enum class Use : std::uint8_t { Apply, Refuse, ReadSnapshot };
  struct CheckedAnswer {
    Use Purpose = Use::Refuse;
    RelayedChanges Received;
    std::string Reason; //!< With Refuse.
  };

  Milliseconds timeout(bool StoreFailed) const;
  CheckedAnswer check(const Expected<HttpResponse> &Answer,
                      const Peer &Followed, BootClock::time_point Asked) const;
  Task<bool> ask(Peer Followed, Milliseconds Timeout);
  Task<bool> catchUp(Peer Followed);

  KnownRegistry &Known;
  Milliseconds FreshnessLimit;
  RelaySelection Relays;
  std::string LastFollowed; //!< Name of the last relay that answered.
  RelayCounters Counters;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_RELAYFOLLOWER_H
