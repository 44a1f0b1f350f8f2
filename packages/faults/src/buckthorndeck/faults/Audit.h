#ifndef BUCKTHORNDECK_FAULTS_AUDIT_H
#define BUCKTHORNDECK_FAULTS_AUDIT_H

#include "buckthorndeck/faults/Traffic.h"
#include "buckthorndeck/standins/BackendServer.h"

#include <map>
#include <string>
#include <vector>

namespace buckthorndeck::faults {

//! What the servers' run logs and the callers' records say together.
struct AuditReport {
  std::size_t Calls = 0;
  std::map<std::string, std::size_t> Outcomes;
  std::size_t BrokenCalls = 0; //!< Not Ok, or not the whole answer.
  //! Requests that may not be repeated and ran more than once.
  std::size_t DoubledRuns = 0;
  std::size_t NotRunButRan = 0; //!< Told not_run, yet in a server's log.
  std::size_t OkButNotRun = 0;  //!< Told ok, yet in no server's log.
  std::size_t WrongService = 0; //!< Runs on a server of another service.
  std::size_t WrongAnswers = 0; //!< Ok with other bytes than expected.
  std::string FirstProblem;     //!< Empty if there is none.
};

AuditReport audit(const std::deque<CallRecord> &Records,
                  const std::vector<standins::BackendServer *> &Servers);

//! One line for a test's output.
std::string describe(const AuditReport &Report);

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_AUDIT_H
