#ifndef BUCKTHORNDECK_FORWARDING_RELAYSELECTION_H
#define BUCKTHORNDECK_FORWARDING_RELAYSELECTION_H

#include "buckthorndeck/forwarding/Peers.h"

namespace buckthorndeck::forwarding {

/**
 * Selects the peer that this host gets changes of the store from.
 *
 * The hosts of a failure domain are ordered by their share of a processor and
 * then by a hash of their names, and form a tree in this order: the first host
 * reads the store, and each host is the relay of up to MaxFollowers later ones.
 * A host only follows hosts that come before it, so that no two hosts wait for
 * each other, also when they know different peers.
 */
class RelaySelection {
public:
  //! Known must outlive this object.
  explicit RelaySelection(const PeerDirectory &Known) : Known(Known) {}

  //! Whether the failure domain has so many hosts that relays save calls.
  bool hasRelays() const;
  //! Whether this host comes first, so that the others rely on it.
  bool isRoot() const;
  //! The relay of this host. No value if this host should read the store.
  std::optional<Peer> choose(TimePoint Now) const;
  //! Excludes the relay for some time.
  void markFailed(const EntryHostName &Relay, TimePoint Now);

private:
  bool hasFailed(const Peer &Candidate, TimePoint Now) const;

  const PeerDirectory &Known;
  boost::unordered_flat_map<std::string, TimePoint> FailedUntil;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_RELAYSELECTION_H
