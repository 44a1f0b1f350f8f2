#ifndef BUCKTHORNDECK_FAULTS_SOAK_H
#define BUCKTHORNDECK_FAULTS_SOAK_H

#include "buckthorndeck/faults/PacketPromises.h"

#include <map>
#include <string>
#include <vector>

namespace buckthorndeck::faults {

struct SoakOptions {
  PacketSiteOptions Site;
  PacketTrafficOptions Traffic;
  Milliseconds Length{20'000}; //!< Time in which faults begin.
  //! Longest pause between the beginnings of two faults; 0 lets the seed draw
  //! it: dense faults overlap, sparse ones leave more to check.
  Milliseconds MaxPause{0};
  //! Names of the kinds of faults to draw from; empty for all.
  std::vector<std::string> Kinds;
};

struct SoakReport {
  std::vector<std::string> Broken; //!< Empty if every promise was kept.
  std::map<std::string, std::size_t> Faults;   //!< By kind.
  std::map<std::string, std::size_t> Outcomes; //!< Attempts by outcome.
  std::size_t HostResets = 0; //!< Open flows that entry hosts have reset.
};

//! Runs real entry hosts under traffic and faults that the seed chooses, and
//! checks the product's promises. Throws if the site cannot be started or a
//! signal asks for the end.
SoakReport runSoak(const SoakOptions &Options);

//! A few lines for people.
std::string describe(const SoakReport &Report);

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_SOAK_H
