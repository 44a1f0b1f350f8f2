#ifndef BUCKTHORNDECK_FORWARDING_DOMAINVIEW_H
#define BUCKTHORNDECK_FORWARDING_DOMAINVIEW_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Task.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace buckthorndeck::forwarding {

/**
 * This host's view of the hosts of its failure domain, and whether it resembles
 * the views of these hosts so far that they can divide work by it.
 *
 * The view is steady once the host has been up for MinUptime and has found few
 * new peers within QuietTime. Peers that fall silent leave the view, but are
 * remembered for LostPeerLifetime: they may serve on the other side of a
 * partition. New peers enter the view at once.
 */
class DomainView {
public:
  //! With 80 hosts that send one heartbeat every 500 ms, which lists four
  //! peers, a host hears of a given peer about every 8 s. After 20 s it lacks
  //! about 8 % of them, and 8 % of them lack it.
  static constexpr std::chrono::seconds MinUptime{20};
  static constexpr std::chrono::seconds QuietTime{3};
  static constexpr std::chrono::minutes LostPeerLifetime{10};

  DomainView() = default;
  //! HasSeeds: the view counts only once a host was heard.
  DomainView(EntryHostName Self, bool HasSeeds, TimePoint StartedAt)
      : Self(std::move(Self)), HasSeeds(HasSeeds), StartedAt(StartedAt) {}

  //! Takes over the names of the peers of the failure domain. HeardAny: some
  //! host of any domain sent a heartbeat. Returns whether the view has changed.
  bool update(std::vector<std::string> PeerNames, bool HeardAny, TimePoint Now);

  bool isSteady(TimePoint Now) const;
  const std::string &self() const { return Self.value(); }
  //! Sorted, without this host.
  const std::vector<std::string> &peers() const { return Peers; }
  //! Hosts in the view, with this one.
  std::size_t size() const { return Peers.size() + 1; }
  //! The part of all hosts known in LostPeerLifetime that is in the view; 1 if
  //! only few were lost, since gossip may lose a peer for some seconds.
  double remainingShare() const;

private:
  EntryHostName Self;
  bool HasSeeds = false;
  bool Heard = false;
  TimePoint StartedAt = TimePoint::max();
  std::vector<std::string> Peers;
  std::map<std::string, TimePoint> Lost; //!< By name, with the time of loss.
  std::deque<TimePoint> Discoveries;     //!< Within QuietTime.
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_DOMAINVIEW_H
