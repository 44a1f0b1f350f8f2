#ifndef BUCKTHORNDECK_FORWARDING_REGISTRYREADER_H
#define BUCKTHORNDECK_FORWARDING_REGISTRYREADER_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/config/CallPolicy.h"
#include "buckthorndeck/forwarding/ChangeRelay.h"
#include "buckthorndeck/forwarding/Forwarder.h"
#include "buckthorndeck/forwarding/Peers.h"
#include "buckthorndeck/forwarding/Registry.h"
#include "buckthorndeck/forwarding/RegistryView.h"
#include "buckthorndeck/forwarding/RelaySelection.h"
#include "buckthorndeck/net/Notifier.h"

#include <memory>

namespace buckthorndeck::forwarding {

//! Path of the HTTP request for a host's snapshot.
inline constexpr const char *SnapshotPath = "/snapshot";

struct RegistryReaderOptions {
  //! Longest wait of one watch call. The store may drop a watch during an
  //! outage, which this host notices only when the wait ends.
  Milliseconds WatchWait{3000};
  //! Pause after an answer with changes, so that one call returns several.
  Milliseconds ChangePause{1000};
  //! In a failure domain with relays, a host whose view is older than this asks
  //! the store, which must answer within the rest of the time to apply a
  //! change.
  Milliseconds FreshnessLimit{2000};
  // A call to a relay takes up to a wait and a pause, which each level of the
  // tree adds to the age of a view, and the view must last for one more call:
  // for three levels five waits and four pauses must be below FreshnessLimit.
  Milliseconds RelayWait{250};  //!< WatchWait of a relay.
  Milliseconds RelayPause{125}; //!< ChangePause of a relay.
  config::BackoffOptions Backoff{.First = Milliseconds(100),
                                 .Max = Milliseconds(1000)};
  std::uint64_t RandomSeed = 1;
};

struct RegistryCounters {
  std::uint64_t StoreCalls = 0;
  std::uint64_t RelayCalls = 0;    //!< Calls to relays.
  std::uint64_t RelayFailures = 0; //!< Calls to relays that gave no changes.
};

/**
 * Updates a Forwarder with the servers and routes in the platform's store.
 *
 * After the first complete read the host watches for changes: at the store, or
 * at a relay if its failure domain has them. A relay's answer says how old the
 * relay's view is. As soon as this host's own view gets too old by this
 * measure, it asks the store.
 */
class RegistryReader {
public:
  RegistryReader(const Executor &Where, const RegistryReaderOptions &Options,
                 RegistrySource Source, Forwarder &Target,
                 PeerDirectory &Peers);

  //! Runs until stop().
  Task<> run();
  //! Retries the snapshot from peers at once if nothing is loaded yet.
  void onPeerDiscovered();
  //! Servers and routes for a host that cannot read the store.
  Bytes snapshot() const;
  //! Answers a peer that has this host as its relay.
  Task<HttpResponse> answerChanges(ChangeQuery Query) {
    return ServedChanges.answer(Query);
  }
  void stop();
  //! Ends the current pause, at most once per second.
  void refresh();

  //! Returns once loaded() is true or stop() was called.
  Task<> waitLoaded();
  //! Whether servers and routes were completely read at least once, from the
  //! store or a peer.
  bool loaded() const { return Loaded; }
  //! Time of the store's last answer; epoch if none.
  TimePoint lastAnswerAt() const { return LastAnswerAt; }
  //! Time since this host's view was known to be complete.
  BootClock::duration viewAge() const { return ageOf(View); }
  const RegistryCounters &counters() const { return Counters; }

private:
  Task<bool> load();
  Task<bool> loadFromPeer();
  Task<> requestPeerSnapshots();
  Task<Expected<RegistryPage>> readPage(std::string From);
  Task<> watchChanges();
  Task<bool> watchStore();
  Task<bool> followRelays();
  Task<bool> followRelay(Peer Followed, Milliseconds Timeout);
  Expected<RelayedChanges> checkRelayed(const Expected<HttpResponse> &Answer,
                                        const Peer &Followed,
                                        BootClock::time_point Asked) const;
  Milliseconds relayTimeout() const;
  bool watchesBriefly() const;
  config::BackoffOptions watchBackoff() const;
  void apply(RegistryChanges &Changes);
  void markLoaded(const std::string &From);
  void recordCallResult(std::optional<Error> Failure);
  void recordEra(StoreEra Era);
  Task<> pause(Milliseconds Delay);

  RegistryReaderOptions Options;
  RegistrySource Source;
  Forwarder &Target;
  PeerDirectory &Peers;
  Executor Where;
  std::shared_ptr<Notifier> Wake;
  std::shared_ptr<Notifier> LoadedOrStopped;
  RandomEngine Random;
  RegistryView View;
  ChangeRelay ServedChanges; //!< For the hosts that follow this one.
  RelaySelection Relays;     //!< Those that this host follows.
  std::string FollowedRelay; //!< Name of the last relay that answered.
  TimePoint LastAnswerAt;
  StoreEra LastEra; //!< Of the store's last answer.
  TimePoint LastRefreshAt;
  RegistryCounters Counters;
  unsigned ConsecutiveFailures = 0; //!< Of calls to the store.
  bool Loaded = false;
  bool LoadedFromPeer = false; //!< Set until run() has handled it.
  //! Peers known at the start of the last watch; no value before the first.
  std::optional<std::size_t> KnownPeers;
  //! The last watch at the store failed, and no relay has answered since.
  bool StoreFailed = false;
  bool Stopped = false;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_REGISTRYREADER_H
