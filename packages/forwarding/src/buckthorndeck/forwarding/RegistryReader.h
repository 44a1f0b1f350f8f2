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

//! Path at which a host serves its snapshot.
inline constexpr const char *SnapshotPath = "/snapshot";

struct RegistryReaderOptions {
  //! Longest wait of one watch. The store may forget a watch in an outage,
  //! which only the end of the wait shows.
  Milliseconds WatchWait{3000};
  //! Pause after changes, so that several arrive by one call.
  Milliseconds ChangePause{1000};
  config::BackoffOptions Backoff{.First = Milliseconds(100),
                                 .Max = Milliseconds(1000)};
  std::uint64_t RandomSeed = 1;
};

//! Keeps a Forwarder up to date with the platform's store.
class RegistryReader {
public:
  RegistryReader(const Executor &Where, const RegistryReaderOptions &Options,
                 RegistrySource Source, Forwarder &Target,
                 PeerDirectory &Peers);

  //! Runs until stop().
  Task<> run();
  //! A peer was heard. A host without a configuration asks it for a snapshot.
  void onPeerDiscovered();
  //! Everything that a host needs which cannot read the store.
  Bytes snapshot() const;
  void stop();
  //! Ends the current pause, at most once in a second.
  void refresh();

  //! Returns once loaded() is true or stop() was called.
  Task<> waitLoaded();
  //! Whether everything was read once, from the store or from a peer.
  bool loaded() const { return Loaded; }
  //! When the store last answered; epoch if never.
  TimePoint lastAnswerAt() const { return AnsweredAt; }
  std::uint64_t callCount() const { return Calls; }

private:
  Task<bool> load();
  Task<bool> loadFromPeer();
  Task<> askPeers();
  Task<bool> readRoutes();
  Task<bool> readServers();
  Task<Expected<RegistryPage>> readPage(std::string From);
  Task<> follow();
  void apply(RegistryChanges &Changes);
  void markLoaded(const std::string &From);
  void recordAnswer(std::optional<Error> Failure);
  Task<> pause(Milliseconds Delay);

  RegistryReaderOptions Options;
  RegistrySource Source;
  Forwarder &Target;
  PeerDirectory &Peers;
  Executor Where;
  std::shared_ptr<Notifier> Wake;
  std::shared_ptr<Notifier> LoadedOrStopped;
  RandomEngine Random;
  StoreRevision Position; //!< Changes up to here are applied.
  TimePoint AnsweredAt;
  TimePoint RefreshedAt;
  std::uint64_t Calls = 0;
  unsigned Failures = 0; //!< In a row.
  bool Loaded = false;
  bool LoadedFromPeer = false; //!< And run() has not noticed yet.
  bool Stopped = false;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_REGISTRYREADER_H
