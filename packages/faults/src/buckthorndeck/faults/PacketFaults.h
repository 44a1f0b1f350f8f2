#ifndef BUCKTHORNDECK_FAULTS_PACKETFAULTS_H
#define BUCKTHORNDECK_FAULTS_PACKETFAULTS_H

#include "buckthorndeck/faults/PacketTraffic.h"

#include <map>
#include <string>
#include <vector>

namespace buckthorndeck::faults {

/**
 * Faults of hosts, store, links and servers, and planned work, that overlap.
 *
 * Kinds, targets and times are drawn from the site's random numbers.
 */
class PacketFaults {
public:
  //! Draws from the kinds with these names only, unless there are none.
  PacketFaults(PacketSite &Site, PacketTraffic &Traffic,
               const std::vector<std::string> &Names);
  ~PacketFaults();

  //! Begins faults for Length, and returns once all have ended.
  Task<> run(Milliseconds Length, Milliseconds MaxPause);
  //! Kinds that have not completed, as text; empty once run() has returned,
  //! unless something hangs or has failed.
  std::string unfinished() const;
  //! How many of each kind have begun.
  const std::map<std::string, std::size_t> &counts() const { return Counts; }

private:
  struct Kind;
  static const std::vector<Kind> &kinds();

  const Kind &draw();
  //! Begins a drawn kind, at times several times in short succession.
  Task<> beginSeries();
  void begin(const Kind &What);
  //! Runs Work as a fault of the site; run() waits for it.
  Task<> track(std::string Name, Task<> Work);
  //! The same for work that callers must not notice.
  Task<> trackPlanned(std::string Name, Task<> Work);
  Milliseconds between(Milliseconds Least, Milliseconds Most);
  //! A host or server that no other fault has chosen; null if there is none.
  PacketSiteHost *chooseHost();
  PacketSiteServer *chooseServer();
  Task<> killHost(PacketSiteHost &Host);

  Task<> restartHost(PacketSiteHost &Host);

  Task<> freezeOneHost();
  Task<> killOneHost();
  Task<> killAllHosts();
  Task<> restartHostsInTurn();
  Task<> disturbStore(platform::StoreFaults Faults, Milliseconds Time);
  Task<> refuseStore();
  Task<> silenceStore();
  Task<> slowStore();
  Task<> loseStoreAnswers();
  Task<> forgetHistory();
  Task<> restoreStore();
  Task<> lapseEntries();
  Task<> forgetWatches();
  Task<> cutWatches();
  Task<> cutHostFromStore();
  Task<> silenceStoreConnections();
  Task<> loseEntry();
  Task<> writeForeignEntries();
  Task<> crashServer();
  Task<> startServerAgain();
  Task<> reloadSettings();
  Task<> reuseAddress();
  Task<> freezeServer();
  Task<> replaceServer();
  Task<> cutServerFromHost();
  Task<> loseCallerPackets();
  Task<> publishVersions();

  PacketSite &Site;
  PacketTraffic &Traffic;
  std::vector<Kind> Drawn; //!< Kinds to draw from.
  std::map<std::string, std::size_t> Counts;
  unsigned Active = 0; //!< Running now.
  //! Begun and not completed: running, or ended by an exception.
  std::map<std::string, unsigned> Incomplete;
};

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_PACKETFAULTS_H
