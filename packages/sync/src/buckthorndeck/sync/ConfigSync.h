#ifndef BUCKTHORNDECK_SYNC_CONFIGSYNC_H
#define BUCKTHORNDECK_SYNC_CONFIGSYNC_H

#include "buckthorndeck/config/PublishedReader.h"
#include "buckthorndeck/membership/Member.h"
#include "buckthorndeck/membership/TimeSource.h"
#include "buckthorndeck/net/WebSocket.h"
#include "buckthorndeck/sync/PeerTransfer.h"
#include "buckthorndeck/sync/VersionHistory.h"

#include <functional>
#include <memory>
#include <vector>

namespace buckthorndeck::config {
class StoreClient;
} // namespace buckthorndeck::config

namespace buckthorndeck::sync {

//! What ConfigSync needs from the platform.
struct PlatformCalls {
  //! Waits for a manifest revision above the given one; none if there is none
  //! for some seconds.
  std::function<Task<Expected<std::optional<config::StoredManifest>>>(
      std::uint64_t After)>
      WaitForManifest;
  //! Reads the newest complete version of at least the given revision.
  std::function<Task<Expected<config::PublishedSet>>(std::uint64_t MinRevision)>
      ReadPublished;
};

//! Calls through Store, which must outlive them.
PlatformCalls platformCalls(config::StoreClient &Store);

//! What ConfigSync needs from the other entry hosts.
struct PeerCalls {
  //! All members, this host first.
  std::function<std::vector<membership::Member>()> Members;
  //! Sends an encoded envelope; the receiver of the call adds the MAC.
  std::function<void(Bytes, const UdpEndpoint &)> Send;
  //! Pulls from a peer's sync address. The default uses a WebSocket.
  std::function<Task<Expected<SyncAnswer>>(TcpEndpoint, SyncRequest)> Pull;
};

struct SyncOptions {
  //! Watchers of the platform in each failure domain.
  std::size_t Watchers = 2;
  //! Peers that hear of a new version.
  std::size_t AnnounceReceivers = 3;
  //! Pulls start at random within this time, so that a peer is not asked by
  //! all at once.
  Milliseconds PullJitter{100};
  //! Watchers read a new version at random within this time and skip the read
  //! if a peer was faster, because shards are much larger than deltas.
  Milliseconds ReadJitter{1000};
  //! A starting host calls the platform after this time without a peer that
  //! has a configuration.
  Milliseconds StartGrace{3000};
  //! After failures in a row the delay doubles from First to Max.
  Milliseconds FirstBackoff{200};
  Milliseconds MaxBackoff{10'000};
  //! A platform answer that took longer may be older than the fleet.
  Milliseconds MaxReadTime{10'000};
  //! A peer that sends no page for this long is given up. The pace of large
  //! answers is one page in about 3 s.
  Milliseconds PageTimeout{10'000};
  PaceOptions Pace;
  //! Answers sent at the same time; further readers are told to go elsewhere.
  unsigned MaxTransfers = 4;
  std::uint64_t RandomSeed = 0;
  TimeSource Time = systemTime();
  //! Called after a version was put into force.
  std::function<void(const VersionHistory &)> OnApplied;
};

struct SyncCounters {
  std::uint64_t PlatformReads = 0;
  std::uint64_t PlatformFailures = 0;
  std::uint64_t Pulls = 0;
  std::uint64_t PullFailures = 0;
  std::uint64_t PulledBytes = 0;
  std::uint64_t ServedBytes = 0;
  std::uint64_t Announces = 0;
  std::uint64_t StaleDropped = 0; //!< Answers no newer than what is in force.
  std::uint64_t Refused = 0;      //!< Messages that did not decode.
};

/**
 * Keeps the configuration of this host at the newest published version.
 *
 * Two watchers per failure domain read from the platform; everyone else pulls
 * from peers that announce a higher version or show one in their heartbeats.
 */
class ConfigSync {
public:
  ConfigSync(Executor Where, SyncOptions Options, PeerCalls Peers,
             PlatformCalls Platform);
  ConfigSync(const ConfigSync &) = delete;
  ConfigSync &operator=(const ConfigSync &) = delete;
  ~ConfigSync();

  //! Watches and pulls until stop().
  Task<> run();
  void stop();

  //! Takes a received announce whose MAC was right.
  void handleAnnouncement(const wire::Envelope &Received,
                          const UdpEndpoint &Sender);
  //! Looks at the versions and states of the members again.
  void membersChanged();

  //! Answers First and further requests on the connection until it ends or
  //! another kind of message comes.
  Task<> serve(WebSocket::Pointer Link, Json First);

  //! The version in force and the steps that led to it.
  const VersionHistory &history() const;
  bool isWatcher() const;
  const SyncCounters &counters() const;

private:
  struct Node;
  std::shared_ptr<Node> Self;
};

} // namespace buckthorndeck::sync

#endif // BUCKTHORNDECK_SYNC_CONFIGSYNC_H
