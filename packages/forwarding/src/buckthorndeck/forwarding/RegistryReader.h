#ifndef BUCKTHORNDECK_FORWARDING_REGISTRYREADER_H
#define BUCKTHORNDECK_FORWARDING_REGISTRYREADER_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/config/CallPolicy.h"
#include "buckthorndeck/forwarding/ChangeRelay.h"
#include "buckthorndeck/forwarding/Forwarder.h"
#include "buckthorndeck/forwarding/KnownRegistry.h"
#include "buckthorndeck/forwarding/PeerSnapshot.h"
#include "buckthorndeck/forwarding/Peers.h"
#include "buckthorndeck/forwarding/Registry.h"
#include "buckthorndeck/forwarding/RelayFollower.h"
#include "buckthorndeck/net/Notifier.h"

#include <memory>

namespace buckthorndeck::forwarding {

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
  //! After the store came back from a copy, its writers have written again what
  //! the copy lacks, and entries of servers that are gone have lapsed.
  Milliseconds ConfirmationTime{4500};
  //! A server gets no new flows later than this after the store has removed its
  //! entry.
  Milliseconds RemovalLimit{2900};
  config::BackoffOptions Backoff{.First = Milliseconds(100),
                                 .Max = Milliseconds(1000)};
  std::uint64_t RandomSeed = 1;
};

struct RegistryCounters {
  std::uint64_t StoreCalls = 0;
  RelayCounters Relay;
  RegistryKnowledge Knowledge;
};

/**
 * Updates a Forwarder with the servers and routes in the platform's store.
 *
 * Decides whom to ask and when; KnownRegistry decides what the answers change.
 * After the first complete read the host watches for changes: at the store, or
 * at a relay if its failure domain has them. As soon as this host's view gets
 * too old, it asks the store. A watch that is answered by another era of the
 * store is followed by a complete read.
 */
class RegistryReader {
public:
  RegistryReader(const Executor &Where, const RegistryReaderOptions &Options,
                 RegistrySource Source, Forwarder &Target,
                 PeerDirectory &Peers);

  //! Runs until stop().
  Task<> run();
  //! To be called after each heartbeat. Retries the snapshot from peers at once
  //! if nothing is loaded yet. Later, a host whose knowledge may be old asks a
  //! peer that announces an evacuation which it lacks.
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
  BootClock::duration viewAge() const { return ageOf(Known.view()); }
  //! What this host announces to its peers.
  RegistryKnowledge knowledge() const { return Known.knowledge(); }
  RegistryCounters counters() const {
    return {.StoreCalls = StoreCalls,
            .Relay = Relays.counters(),
            .Knowledge = Known.knowledge()};
  }

private:
  Task<bool> load();
  Task<> askPeerAhead();
  Task<> askForEvacuations(Peer Provider);
  Task<bool> loadFromPeer();
  Task<> requestPeerSnapshots();
  Task<Expected<RegistryPage>> readPage(std::string From);
  Task<> watchChanges();
  Task<bool> watchStore();
  Task<bool> followRelays();
  Milliseconds watchWait() const;
  bool watchesBriefly() const;
  config::BackoffOptions watchBackoff() const;
  void markLoaded(const std::string &From);
  void recordCallResult(std::optional<Error> Failure);
  Task<> pause(Milliseconds Delay);
  Task<> pauseAfterFailure(BootClock::time_point Started);

  RegistryReaderOptions Options;
  RegistrySource Source;
  Forwarder &Target;
  PeerDirectory &Peers;
  KnownRegistry Known;
  Executor Where;
  std::shared_ptr<Notifier> Wake;
  std::shared_ptr<Notifier> LoadedOrStopped;
  RandomEngine Random;
  ChangeRelay ServedChanges; //!< For the hosts that follow this one.
  RelayFollower Relays;      //!< Those that this host follows.
  TimePoint LastAnswerAt;
  TimePoint LastRefreshAt;
  TimePoint LoadedAt;
  TimePoint NextEvacuationQueryAt;
  std::uint64_t StoreCalls = 0;
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
