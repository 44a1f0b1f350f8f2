#ifndef BUCKTHORNDECK_FORWARDING_PEERS_H
#define BUCKTHORNDECK_FORWARDING_PEERS_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/forwarding/RegistryOrder.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::forwarding {

//! Addresses of an entry host, as announced by itself.
struct Peer {
  EntryHostName Name;
  FailureDomainName Domain;
  UdpEndpoint Heartbeat; //!< Where it receives heartbeats.
  TcpEndpoint Snapshot;  //!< Where it serves its snapshot and its changes.
  //! Share of a processor that it may use, in thousandths; 0 if unknown.
  std::uint32_t ProcessorPermille = 0;
};

//! How much a host knows of the platform's store.
struct RegistryKnowledge {
  StoreEra Era;
  ConfigVersion Config; //!< 0 before the first one.
  //! It knows entries that the store of this era has not confirmed.
  bool Confirming = false;
  //! The failure domains that it considers evacuated.
  std::vector<FailureDomainName> Evacuated;
  //! Those that it knows to be evacuated no longer. Not part of heartbeats.
  std::vector<FailureDomainName> Revoked;
};

//! A host's announcement of itself and of peers that it recently received
//! heartbeats from.
struct PeerHeartbeat {
  Peer Sender;
  //! No value from hosts of earlier versions.
  std::optional<RegistryKnowledge> Knowledge;
  std::vector<Peer> KnownPeers;
};

//! Encodes a heartbeat in CBOR, for one UDP datagram.
Bytes encodeHeartbeat(const PeerHeartbeat &Message);
//! Fails with ErrorCode::Invalid. Source is the sender's address, for error
//! messages.
Expected<PeerHeartbeat> decodeHeartbeat(ByteView Data,
                                        const std::string &Source);

/**
 * The entry hosts that this host knows from heartbeats.
 *
 * Hosts of a failure domain exchange heartbeats, so that a host finds a peer
 * with a snapshot of servers and routes when it restarts during an outage of
 * the store, and relays that pass on changes of the store.
 */
class PeerDirectory {
public:
  //! Seeds are heartbeat addresses that are used while no peer of the failure
  //! domain sends heartbeats.
  PeerDirectory(Peer Self, std::vector<UdpEndpoint> Seeds);

  //! Records the sender and the known peers of a heartbeat. Returns whether the
  //! sender is new.
  bool update(const PeerHeartbeat &Message, TimePoint Now);
  //! This host's heartbeat for a host of Domain.
  PeerHeartbeat heartbeatFor(const FailureDomainName &Domain, TimePoint Now,
                             RandomEngine &Random) const;
  //! Addresses to send this period's heartbeats to.
  std::vector<UdpEndpoint> heartbeatReceivers(TimePoint Now,
                                              RandomEngine &Random) const;
  //! A random known host of the same failure domain; no value if there is none.
  std::optional<Peer> randomPeer(RandomEngine &Random) const;
  //! A host that may know what a read of the store, which gave Own, lacks: it
  //! has a higher configuration, another era, unconfirmed entries or an
  //! evacuation of which Own says nothing. Prefers the own failure domain. No
  //! value if there is none.
  std::optional<Peer> peerAheadOf(const RegistryKnowledge &Own) const;
  //! The same, but considers evacuations only.
  std::optional<Peer>
  peerWithUnknownEvacuation(const RegistryKnowledge &Own) const;
  //! Removes peers that no recent heartbeat came from or mentioned.
  void removeStale(TimePoint Now);

  //! The known hosts of the same failure domain, without this one.
  std::vector<const Peer *> domainPeers() const;

  const Peer &self() const { return Self; }
  std::size_t size() const { return Peers.size(); }

private:
  struct PeerState {
    Peer Description;
    std::optional<RegistryKnowledge> Knowledge;
    TimePoint LastHeartbeatAt; //!< Last heartbeat from it; epoch if none.
    //! Last heartbeat that came from it or mentioned it.
    TimePoint LastMentionedAt;
  };

  template <typename Predicate>
  std::optional<Peer> findPeer(Predicate IsWanted) const;
  void addOrUpdate(const Peer &Described, bool Direct, TimePoint Now);
  std::vector<const PeerState *> peersOf(const FailureDomainName &Domain) const;

  Peer Self;
  std::vector<UdpEndpoint> Seeds;
  boost::unordered_flat_map<std::string, PeerState> Peers;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_PEERS_H
