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

namespace buckthorndeck::forwarding {

//! Another entry host, as it describes itself.
struct Peer {
  EntryHostName Name;
  FailureDomainName Domain;
  UdpEndpoint Heartbeat; //!< Receives heartbeats.
  TcpEndpoint Snapshot;  //!< Serves its servers and routes.
};

//! A peer as JSON: its entry in the store and its heartbeat.
Json encodePeer(const Peer &Value);
//! Fails with Invalid; Source is where the entry was found.
Expected<Peer> decodePeer(const Json &Value, const std::string &Source);

/**
 * The entry hosts of the own failure domain.
 *
 * They come from the store, and from the heartbeats that a host receives before
 * it could read the store.
 */
class PeerDirectory {
public:
  //! Self and hosts of other domains are ignored.
  explicit PeerDirectory(const Peer &Self) : Self(Self) {}

  void update(const Peer &Known);
  void remove(const EntryHostName &Name);
  //! Any peer; none if no peer is known.
  std::optional<Peer> random(RandomEngine &Engine) const;

  const Peer &self() const { return Self; }
  std::size_t size() const { return Peers.size(); }

private:
  Peer Self;
  boost::unordered_flat_map<std::string, Peer> Peers;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_PEERS_H
