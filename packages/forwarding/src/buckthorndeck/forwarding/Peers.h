#ifndef BUCKTHORNDECK_FORWARDING_PEERS_H
#define BUCKTHORNDECK_FORWARDING_PEERS_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::forwarding {

//! Another entry host, as it describes itself.
struct Peer {
  EntryHostName Name;
  FailureDomainName Domain;
  UdpEndpoint Heartbeat; //!< Receives heartbeats.
  TcpEndpoint Snapshot;  //!< Serves its servers and routes.
};

//! Who sends it, and whom the sender has heard lately.
struct PeerHeartbeat {
  Peer Sender;
  std::vector<Peer> Others;
};

//! In CBOR, for a UDP datagram.
Bytes encodeHeartbeat(const PeerHeartbeat &Message);
//! Fails with Invalid; Source is the address that it came from.
Expected<PeerHeartbeat> decodeHeartbeat(ByteView Data,
                                        const std::string &Source);

/**
 * The entry hosts that this host has heard of.
 *
 * Hosts of a failure domain exchange heartbeats, so that one that restarts
 * during an outage of the store hears of somebody whom it can ask for servers
 * and routes. Nothing else depends on the list.
 */
class PeerDirectory {
public:
  //! Seeds are heartbeat addresses, used until a peer was heard.
  PeerDirectory(Peer Self, std::vector<UdpEndpoint> Seeds);

  //! Takes over a heartbeat. True if its sender was not known.
  bool update(const PeerHeartbeat &Message, TimePoint Now);
  //! Heartbeat for a host of Domain.
  PeerHeartbeat heartbeatFor(const FailureDomainName &Domain, TimePoint Now,
                             RandomEngine &Random) const;
  //! Where to send this period's heartbeats.
  std::vector<UdpEndpoint> heartbeatReceivers(TimePoint Now,
                                              RandomEngine &Random) const;
  //! Any known host of the own failure domain.
  std::optional<Peer> randomPeer(RandomEngine &Random) const;
  //! Forgets peers that were not heard of for long.
  void removeStale(TimePoint Now);

  const Peer &self() const { return Self; }
  std::size_t size() const { return Peers.size(); }

private:
  struct Entry {
    Peer Value;
    TimePoint HeardAt; //!< By a heartbeat of its own; epoch if never.
    TimePoint NamedAt; //!< By any heartbeat.
  };

  void add(const Peer &Known, bool Direct, TimePoint Now);
  std::vector<const Entry *> peersOf(const FailureDomainName &Domain) const;

  Peer Self;
  std::vector<UdpEndpoint> Seeds;
  boost::unordered_flat_map<std::string, Entry> Peers;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_PEERS_H
