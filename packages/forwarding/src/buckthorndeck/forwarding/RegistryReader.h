#ifndef BUCKTHORNDECK_FORWARDING_REGISTRYREADER_H
#define BUCKTHORNDECK_FORWARDING_REGISTRYREADER_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/config/CallPolicy.h"
#include "buckthorndeck/forwarding/Forwarder.h"
#include "buckthorndeck/forwarding/Peers.h"
#include "buckthorndeck/forwarding/Registry.h"
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
  config::BackoffOptions Backoff{.First = Milliseconds(100),
                                 .Max = Milliseconds(1000)};
  std::uint64_t RandomSeed = 1;
};

//! Updates a Forwarder with the servers and routes in the platform's store.
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
  std::uint64_t callCount() const { return Calls; }

private:
  Task<bool> load();
  Task<bool> loadFromPeer();
  Task<> requestPeerSnapshots();
  Task<bool> readRoutes();
  Task<bool> readServers();
  Task<Expected<RegistryPage>> readPage(std::string From);
  Task<> watchChanges();
  void apply(RegistryChanges &Changes);
  void markLoaded(const std::string &From);
  void recordCallResult(std::optional<Error> Failure);
  Task<> pause(Milliseconds Delay);

  RegistryReaderOptions Options;
  RegistrySource Source;
  Forwarder &Target;
  PeerDirectory &Peers;
  Executor Where;
  std::shared_ptr<Notifier> Wake;
  std::shared_ptr<Notifier> LoadedOrStopped;
  RandomEngine Random;
  StoreRevision AppliedRevision; //!< Changes up to here are applied.
  TimePoint LastAnswerAt;
  TimePoint LastRefreshAt;
  std::uint64_t Calls = 0;
  unsigned ConsecutiveFailures = 0; //!< Of calls to the store.
  bool Loaded = false;
  bool LoadedFromPeer = false; //!< Set until run() has handled it.
  bool Stopped = false;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_REGISTRYREADER_H
