#ifndef BUCKTHORNDECK_BENCH_SELECTIONMODEL_H
#define BUCKTHORNDECK_BENCH_SELECTIONMODEL_H

#include "buckthorndeck/net/Task.h"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthorndeck::bench {

//! How the entry hosts choose a server.
enum class Policy {
  Balance,          //!< The dispatcher's choice for `objective: balance`.
  Continuity,       //!< The dispatcher's choice for flows without a server.
  Random,           //!< Any eligible server.
  RoundRobin,       //!< Eligible servers in turn.
  LeastOutstanding, //!< Fewest requests of the own host per slot.
  Ideal,            //!< One dispatcher that sees every server's state.
};

const char *toString(Policy Value);

struct ModelOptions {
  Policy Choice = Policy::Balance;
  std::size_t Servers = 15;
  std::uint32_t Slots = 2;
  std::size_t Hosts = 9;
  double Load = 0.8; //!< Offered work as a share of the servers' capacity.
  std::uint64_t Seed = 1;
  std::chrono::seconds WarmUp{20};
  std::chrono::seconds Measured{100};
};

struct ModelResult {
  //! Highest over mean share of its capacity that a server used.
  double Imbalance = 0;
  std::uint64_t Refusals = 0;
  std::vector<double> RequestMs; //!< Arrival to answer, in order of answers.
};

/**
 * Entry hosts that send requests to servers of different speeds which shed
 * when full, on a virtual clock. Every host sees only its own requests.
 */
ModelResult runModel(const ModelOptions &Options);

} // namespace buckthorndeck::bench

#endif // BUCKTHORNDECK_BENCH_SELECTIONMODEL_H
