#include "buckthorndeck/operator/HostExplanation.h"

#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/operator/HostStatus.h"

#include <iomanip>
#include <sstream>

namespace buckthorndeck::operators {

namespace {

const Json &explanationSchema() {
  static const Json Schema = Json::parse(R"({
    "type": "object",
    "required": ["host", "service", "action", "reason", "server", "objective", "in_flight",
                 "max_in_flight", "queued", "max_queued", "candidates"],
    "properties": {
      "host": {"type": "string"}, "service": {"type": "string"},
      "action": {"type": "string", "enum": ["sent", "waits", "refused"]},
      "reason": {"type": "string"}, "server": {"type": "string"},
      "objective": {"type": "string"},
      "in_flight": {"type": "integer"}, "max_in_flight": {"type": "integer"},
      "queued": {"type": "integer"}, "max_queued": {"type": "integer"},
      "candidates": {"type": "array", "items": {
        "type": "object",
        "required": ["name", "failure_domain", "evacuated", "ejected", "reason", "in_flight",
                     "slots", "other_hosts_load", "service_time_ms", "slow_start_share", "score"],
        "properties": {
          "name": {"type": "string"}, "failure_domain": {"type": "string"},
          "evacuated": {"type": "boolean"}, "ejected": {"type": "boolean"},
          "reason": {"type": "string"},
          "in_flight": {"type": "integer"}, "slots": {"type": "integer"},
          "other_hosts_load": {"type": "number"}, "service_time_ms": {"type": "number"},
          "slow_start_share": {"type": "number"}, "score": {"type": "number"}}}}
    }})");
  return Schema;
}

std::string text(const Json &Value, const char *Field) {
  return Value.at(Field).get<std::string>();
}

void printCandidate(std::ostream &Out, const Json &Candidate) {
  const std::string Reason = text(Candidate, "reason");
  Out << "    server " << text(Candidate, "name") << " in "
      << text(Candidate, "failure_domain") << ": "
      << (Reason == "none" ? "eligible" : Reason) << ", score "
      << Candidate.at("score").get<double>() << ", "
      << Candidate.at("in_flight") << " of " << Candidate.at("slots")
      << " slots, other hosts "
      << Candidate.at("other_hosts_load").get<double>() << ", "
      << Candidate.at("service_time_ms").get<double>()
      << " ms service time, slow start share "
      << Candidate.at("slow_start_share").get<double>() << "\n";
}

} // namespace

Task<Expected<Json>> queryExplanation(TcpEndpoint Host, std::string Service,
                                      Milliseconds Timeout) {
  Json Request = {{"type", "explain_request"}, {"service", Service}};
  auto Answer = co_await requestFromHost(Host, std::move(Request),
                                         "explanation", Timeout);
  if (!Answer)
    co_return Answer;
  const auto Violations =
      checkSchema(toString(Host), *Answer, explanationSchema());
  if (Violations.empty())
    co_return Answer;
  Error Failure;
  Failure.Code = ErrorCode::Invalid;
  Failure.Step = "read explanation";
  Failure.Peer = toString(Host);
  Failure.Message = describe(Violations.front());
  co_return Unexpected(std::move(Failure));
}

bool knowsService(const Json &Explanation) {
  return text(Explanation, "reason") != "no_service";
}

std::string explanationToText(const Json &Explanation) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(2);
  const std::string Action = text(Explanation, "action");
  Out << "a request of " << text(Explanation, "service") << " on "
      << text(Explanation, "host");
  if (Action == "sent")
    Out << " is sent to " << text(Explanation, "server")
        << (text(Explanation, "objective") == "balance"
                ? ": lowest score of the eligible servers\n"
                : ": lower score of two eligible servers at random\n");
  else
    Out << (Action == "waits" ? " waits: " : " is refused: ")
        << text(Explanation, "reason") << "\n";
  Out << "    " << Explanation.at("in_flight") << " of at most "
      << Explanation.at("max_in_flight") << " in flight, "
      << Explanation.at("queued") << " of at most "
      << Explanation.at("max_queued") << " waiting\n";
  for (const Json &Candidate : Explanation.at("candidates"))
    printCandidate(Out, Candidate);
  return Out.str();
}

} // namespace buckthorndeck::operators
