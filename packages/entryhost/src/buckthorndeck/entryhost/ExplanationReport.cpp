#include "buckthorndeck/entryhost/ExplanationReport.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/config/Limits.h"

namespace buckthorndeck::entryhost {

namespace {

Json toJson(const routing::CandidateExplanation &Candidate) {
  return {{"name", Candidate.Server.value()},
          {"failure_domain", Candidate.FailureDomain.value()},
          {"evacuated", Candidate.Reason == routing::Ineligibility::Evacuated},
          {"ejected", Candidate.Ejected},
          {"reason", toString(Candidate.Reason)},
          {"in_flight", Candidate.InFlight},
          {"slots", Candidate.Slots},
          {"other_hosts_load", Candidate.OtherHostsLoad},
          {"service_time_ms", Candidate.ServiceTimeMs},
          {"slow_start_share", Candidate.SlowStartShare},
          {"score", Candidate.Score}};
}

} // namespace

Expected<ObjectName> serviceOfExplainRequest(const Json &Request,
                                             const std::string &Peer) {
  FieldReader Fields(Request, "read explain request", Peer);
  ObjectName Service(Fields.text("service", config::MaxFullNameLength, 1));
  if (Fields.failed())
    return Unexpected(Fields.error());
  return Service;
}

Json toJson(const routing::Explanation &Found, const EntryHostName &Host,
            const ObjectName &Service) {
  Json Candidates = Json::array();
  for (const routing::CandidateExplanation &Candidate : Found.Candidates)
    Candidates.push_back(toJson(Candidate));
  const bool Balance = Found.Goal == config::Objective::Balance;
  return {{"type", "explanation"},
          {"host", Host.value()},
          {"service", Service.value()},
          {"action", toString(Found.Action)},
          {"reason", Found.Reason},
          {"server", Found.Server ? Found.Server->value() : ""},
          {"objective", Balance ? "balance" : "continuity"},
          {"in_flight", Found.InFlight},
          {"max_in_flight", Found.MaxInFlight},
          {"queued", Found.Queued},
          {"max_queued", Found.MaxQueued},
          {"candidates", std::move(Candidates)}};
}

} // namespace buckthorndeck::entryhost
