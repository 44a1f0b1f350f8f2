#include "buckthorndeck/faults/Audit.h"

#include <set>

namespace buckthorndeck::faults {

namespace {

//! Runs of one request body over all servers.
struct RunTotals {
  std::size_t Count = 0;
  std::set<std::string> Services; //!< Of the servers that ran it.
};

std::map<Digest, RunTotals>
countRuns(const std::vector<standins::BackendServer *> &Servers) {
  std::map<Digest, RunTotals> Runs;
  for (const standins::BackendServer *Server : Servers)
    for (const standins::RunRecord &Run : Server->runs()) {
      RunTotals &Totals = Runs[Run.BodyDigest];
      ++Totals.Count;
      Totals.Services.insert(Server->options().Service.value());
    }
  return Runs;
}

void note(AuditReport &Report, const CallRecord &Call, const char *Problem) {
  if (Report.FirstProblem.empty())
    Report.FirstProblem = std::string(Problem) + ": " + Call.Service + " " +
                          Call.Operation + " " + wire::toString(Call.Result) +
                          " " + Call.Reason;
}

void auditCall(AuditReport &Report, const CallRecord &Call,
               const RunTotals &Runs) {
  ++Report.Outcomes[wire::toString(Call.Result)];
  if (!Call.WholeAnswer)
    ++Report.BrokenCalls;
  if (!Call.Idempotent && Runs.Count > 1) {
    ++Report.DoubledRuns;
    note(Report, Call, "ran twice");
  }
  if (Call.Result == wire::Outcome::NotRun && Runs.Count > 0) {
    ++Report.NotRunButRan;
    note(Report, Call, "told not run but ran");
  }
  if (Call.Result == wire::Outcome::Ok && Runs.Count == 0) {
    ++Report.OkButNotRun;
    note(Report, Call, "told ok but did not run");
  }
  for (const std::string &Service : Runs.Services)
    if (Service != Call.Service) {
      ++Report.WrongService;
      note(Report, Call, "ran on another service's server");
    }
  if (Call.Result == wire::Outcome::Ok && !Call.WholeAnswer) {
    ++Report.WrongAnswers;
    note(Report, Call, "wrong answer");
  }
  if (!Call.WholeAnswer)
    note(Report, Call, "broken call");
}

} // namespace

AuditReport audit(const std::deque<CallRecord> &Records,
                  const std::vector<standins::BackendServer *> &Servers) {
  AuditReport Report{.Calls = Records.size()};
  const std::map<Digest, RunTotals> Runs = countRuns(Servers);
  for (const CallRecord &Call : Records) {
    const auto Found = Runs.find(Call.BodyDigest);
    auditCall(Report, Call, Found == Runs.end() ? RunTotals{} : Found->second);
  }
  return Report;
}

std::string describe(const AuditReport &Report) {
  std::string Text = std::to_string(Report.Calls) + " calls:";
  for (const auto &[Outcome, Count] : Report.Outcomes)
    Text += " " + Outcome + "=" + std::to_string(Count);
  Text += " broken=" + std::to_string(Report.BrokenCalls) +
          " doubled=" + std::to_string(Report.DoubledRuns) +
          " not_run_but_ran=" + std::to_string(Report.NotRunButRan) +
          " wrong_service=" + std::to_string(Report.WrongService);
  if (!Report.FirstProblem.empty())
    Text += "; first problem: " + Report.FirstProblem;
  return Text;
}

} // namespace buckthorndeck::faults
