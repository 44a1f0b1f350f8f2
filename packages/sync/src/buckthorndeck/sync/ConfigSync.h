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

//! The calls to the platform that ConfigSync makes.
struct PlatformCalls {
  //! Waits for a manifest of a revision above After. Returns none if there is
  //! no such manifest within some seconds.
  std::function<Task<Expected<std::optional<config::StoredManifest>>>(
      std::uint64_t After)>
      WaitForManifest;
  //! Reads the newest complete version whose manifest has at least the given
  //! revision.
  std::function<Task<Expected<config::PublishedSet>>(std::uint64_t MinRevision)>
      ReadPublished;
};

//! Platform calls that use Store, which must outlive them.
PlatformCalls platformCalls(config::StoreClient &Store);

//! Member list of ConfigSync and its calls to other entry hosts.
struct PeerCalls {
  //! All members, this host first.
  std::function<std::vector<membership::Member>()> Members;
  //! Sends an encoded envelope to a peer address; the callee adds the MAC.
  std::function<void(Bytes, const UdpEndpoint &)> Send;
  //! Sends a request to a peer's sync address and returns its answer. If empty,
  //! pullFrom is used.
  std::function<Task<Expected<SyncAnswer>>(TcpEndpoint, SyncRequest)> Pull;
};

struct SyncOptions {
  //! Platform watchers in each failure domain.
  std::size_t PlatformWatchersPerDomain = 2;
  //! Peers to which a host announces a new version.
  std::size_t AnnounceReceivers = 3;
  //! Pulls start at a random time within this period, so that hosts do not all
  //! ask one peer at once.
  Milliseconds PullJitter{100};
  //! Watchers read a new version at a random time within this period, and not
  //! at all if they received it from a peer meanwhile, because shards are much
  //! larger than deltas.
  Milliseconds ReadJitter{1000};
  //! A starting host that is no watcher reads from the platform if no peer had
  //! a configuration for this time, or up to twice as long at random.
  Milliseconds StartupPeerWait{3000};
  //! The delay after consecutive failures doubles from FirstBackoff to
  //! MaxBackoff.
  Milliseconds FirstBackoff{200};
  Milliseconds MaxBackoff{10'000};
  //! An answer of the platform that took longer is discarded, as it may be
  //! older than the version in force on the fleet.
  Milliseconds MaxReadDuration{10'000};
  //! A pull fails if the peer sends no page for this long. Large answers are
  //! sent at about one page in 3 s.
  Milliseconds PageTimeout{10'000};
  SendRateOptions SendRate;
  //! Answers sent at the same time; further requests get the answer Busy.
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
  std::uint64_t AnnouncementsSent = 0;
  std::uint64_t StaleDropped = 0; //!< Answers no newer than the set in force.
  std::uint64_t MalformedMessages = 0; //!< Messages that did not decode.
};

/**
 * Keeps this host's configuration at the newest published version.
 *
 * The platform watchers, two hosts per failure domain by default, read from the
 * platform. The other hosts pull from peers that announced a higher version or
 * report one in their heartbeats.
 *
 * Versions alone order configurations, and a host never goes back to a lower
 * one. Revisions of the platform only say where to watch from, and only as long
 * as each call is answered.
 */
class ConfigSync {
public:
  ConfigSync(Executor Where, SyncOptions Options, PeerCalls Peers,
             PlatformCalls Platform);
  ConfigSync(const ConfigSync &) = delete;
  ConfigSync &operator=(const ConfigSync &) = delete;
  ~ConfigSync();

  //! Watches the platform and pulls from peers until stop().
  Task<> run();
  void stop();

  //! Processes a received announcement, whose MAC the caller has verified.
  void handleAnnouncement(const wire::Envelope &Received,
                          const UdpEndpoint &Sender);
  //! To be called when a member's version or state has changed; wakes the tasks
  //! that depend on them.
  void membersChanged();

  //! Answers First and further requests on the connection until it is closed or
  //! a message is not a sync request.
  Task<> serve(WebSocket::Pointer Link, Json First);

  //! The version in force and the most recent deltas that led to it.
  const VersionHistory &history() const;
  bool isPlatformWatcher() const;
  const SyncCounters &counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace buckthorndeck::sync

#endif // BUCKTHORNDECK_SYNC_CONFIGSYNC_H
