#ifndef BUCKTHORNDECK_OPERATOR_HOSTSURVEY_H
#define BUCKTHORNDECK_OPERATOR_HOSTSURVEY_H

#include "buckthorndeck/operator/HostStatus.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace buckthorndeck::operators {

struct SurveyOptions {
  std::vector<TcpEndpoint> Hosts; //!< Sync addresses to start from.
  //! Hosts are asked again until they have this version; 0: only once.
  ConfigVersion Target;
  TimePoint Deadline;
  Milliseconds QueryTimeout{1000};
  Milliseconds Interval{200}; //!< Between two questions to the same host.
  //! Failed questions after which a host that never answered is given up.
  unsigned MaxFailures = 2;
  //! Open connections at the same time; bounds descriptors.
  std::size_t MaxParallel = 64;
};

//! What is known of the hosts at one moment.
struct SurveyResult {
  std::map<TcpEndpoint, HostStatus> Heard; //!< The latest answers.
  std::map<TcpEndpoint, Error> NotHeard;   //!< Hosts that never answered.

  //! Hosts that answered with Version or a later one.
  std::size_t countAt(ConfigVersion Version) const;
};

/**
 * Asks all entry hosts for their status.
 *
 * Members that an answering host reports as alive, suspect or leaving are
 * asked too, because the platform's host list lags. Progress is called after
 * each answer.
 */
Task<SurveyResult>
surveyHosts(SurveyOptions Options,
            std::function<void(const SurveyResult &)> Progress);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_HOSTSURVEY_H
