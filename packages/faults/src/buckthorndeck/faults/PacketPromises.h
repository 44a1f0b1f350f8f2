#ifndef BUCKTHORNDECK_FAULTS_PACKETPROMISES_H
#define BUCKTHORNDECK_FAULTS_PACKETPROMISES_H

#include "buckthorndeck/faults/PacketTraffic.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace buckthorndeck::faults {

/**
 * Checks what callers and backend servers see against what the product
 * promises. Bounds in time hold only for what has been calm for the settle
 * time, as the users' rules say.
 */
class PacketPromises {
public:
  PacketPromises(PacketSite &Site, PacketTraffic &Traffic);

  //! Checks what happened since the last call; to be called every few ms, so
  //! that "now" is the time at which it happened.
  void check();
  //! Checks the requests of the whole run.
  void checkRequests();

  //! One line for each broken promise.
  const std::vector<std::string> &broken() const { return Broken; }
  void report(const std::string &Promise, const std::string &Details);

private:
  void checkOpening(PacketSiteServer &Server,
                    const standins::FlowOpening &Opening);
  void checkDrain(const PacketSiteServer &Server,
                  const standins::FlowOpening &Opening, bool HostCalm);
  void checkVersion(const PacketSiteServer &Server,
                    const standins::FlowOpening &Opening,
                    const PacketSiteHost &Host);
  void checkReset(const standins::FlowReset &Reset);
  void checkCalm(const PacketCall &Call);
  //! Whether the server that took Flow has ended since.
  bool hasEndedServer(const forwarding::FlowKey &Flow) const;
  void checkDamage();
  bool allHostsCalm() const;

  //! The newest version that a host's process has shown to know.
  struct Proof {
    std::uint64_t Lifetime = 0;
    ConfigVersion Version;
    TimePoint At;
  };

  PacketSite &Site;
  PacketTraffic &Traffic;
  std::vector<std::string> Broken;
  std::set<std::string> Known; //!< Kinds of damage that were reported.
  std::map<std::size_t, std::size_t> OpeningsSeen; //!< By server.
  std::size_t ResetsSeen = 0;
  std::size_t CallsSeen = 0;
  std::map<std::string, Proof> Proofs; //!< By host.
};

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_PACKETPROMISES_H
