#ifndef BUCKTHORNDECK_OPERATOR_HOSTSURVEY_H
#define BUCKTHORNDECK_OPERATOR_HOSTSURVEY_H

#include "buckthorndeck/operator/HostStatus.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::operators {

struct SurveyOptions {
  std::vector<TcpEndpoint> Hosts; //!< Sync addresses to query first.
  //! Hosts are queried again until they have this version in force; 0: they are
  //! queried until they have answered once.
  ConfigVersion TargetVersion;
  TimePoint Deadline;
  Milliseconds QueryTimeout{1000};
  Milliseconds QueryInterval{200}; //!< Between queries of the same host.
  //! A host that has never answered is not queried again after this many failed
  //! queries.
  unsigned MaxFailures = 2;
  //! Concurrent queries; limits the number of open file descriptors.
  std::size_t MaxParallel = 64;
};

//! Status of the entry hosts, as far as they have answered.
struct SurveyResult {
  std::map<TcpEndpoint, HostStatus> Answered; //!< The latest answers.
  std::map<TcpEndpoint, Error> Unanswered;    //!< Hosts without any answer.

  //! Number of hosts that have Version or a later one in force.
  std::size_t countWithVersion(ConfigVersion Version) const;

  //! Highest version in force that is above Version, or Version itself if a
  //! host has another configuration under it; none if there is none.
  std::optional<ConfigVersion> highestOther(ConfigVersion Version,
                                            Digest ObjectsDigest) const;
};

/**
 * Queries the status of all entry hosts.
 *
 * Also queries members that an answering host reports as alive, suspect or
 * leaving, because the platform's host list may be out of date. Calls Progress
 * after each answer.
 */
Task<SurveyResult>
surveyHosts(SurveyOptions Options,
            std::function<void(const SurveyResult &)> Progress);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_HOSTSURVEY_H
