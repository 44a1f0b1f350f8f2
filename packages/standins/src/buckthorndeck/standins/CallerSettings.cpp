#include "buckthorndeck/standins/CallerSettings.h"

#include "buckthorndeck/standins/GeneratedBody.h"
#include "buckthorndeck/standins/Program.h"

#include <random>

namespace buckthorndeck::standins {

namespace {

//! A text, or bytes made from a seed.
Bytes readBody(const Json &Fields) {
  if (Fields.contains("body"))
    return toBytes(Fields["body"].get<std::string>());
  return generatedBody(Fields.value("body_seed", std::uint64_t{0}),
                       Fields.value("body_bytes", std::size_t{0}));
}

Bytes readAnswer(const Json &Fields, const Bytes &RequestBody) {
  const std::string Kind = Fields.value("answer", "echo");
  if (Kind == "fixed")
    return toBytes(Fields.value("text", ""));
  if (Kind == "generated")
    return generatedAnswer(Fields.value("seed", std::uint64_t{0}), RequestBody,
                           Fields.value("bytes", std::size_t{0}));
  return RequestBody;
}

PlannedCall readCall(const Json &Fields) {
  PlannedCall Planned;
  CallRequest &Request = Planned.Request;
  Request.Operation = Fields["operation"].get<std::string>();
  Request.Body = readBody(Fields);
  Request.Idempotent = Fields.value("idempotent", false);
  Request.Deadline =
      Milliseconds(Fields.value("deadline_ms", Request.Deadline.count()));
  Planned.Repeat = Fields.value("repeat", 1U);
  Planned.Outcomes =
      Fields.value("expect_outcome", std::vector<std::string>{"ok"});
  if (Fields.contains("expect_answer"))
    Planned.Answer = readAnswer(Fields["expect_answer"], Request.Body);
  return Planned;
}

} // namespace

Json callerSchema() {
  const Json Call = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "required": ["operation"],
    "properties": {
      "operation": {"type": "string", "minLength": 1, "maxLength": 32},
      "body": {"type": "string"},
      "body_seed": {"type": "integer", "minimum": 0},
      "body_bytes": {"type": "integer", "minimum": 0, "maximum": 1048576},
      "idempotent": {"type": "boolean"},
      "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 120000},
      "repeat": {"type": "integer", "minimum": 1},
      "expect_outcome": {
        "type": "array", "minItems": 1,
        "items": {"enum": ["ok", "failed", "not_run", "unknown"]}},
      "expect_answer": {
        "type": "object", "additionalProperties": false,
        "required": ["answer"],
        "properties": {
          "answer": {"enum": ["echo", "fixed", "generated"]},
          "text": {"type": "string"},
          "seed": {"type": "integer", "minimum": 0},
          "bytes": {"type": "integer", "minimum": 0, "maximum": 1048576}
        }}
    }})");
  Json Schema = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "required": ["entry", "service"],
    "properties": {
      "flow": {"type": "integer", "minimum": 0},
      "random_seed": {"type": "integer", "minimum": 0},
      "open_retry_ms": {"type": "integer", "minimum": 1},
      "first_retry_ms": {"type": "integer", "minimum": 1},
      "max_retry_ms": {"type": "integer", "minimum": 1},
      "answer_grace_ms": {"type": "integer", "minimum": 0},
      "keepalive_ms": {"type": "integer", "minimum": 1},
      "gap_timeout_ms": {"type": "integer", "minimum": 1},
      "parallel": {"type": "integer", "minimum": 1, "maximum": 10000},
      "subscription": {
        "type": "object", "additionalProperties": false,
        "required": ["operation", "events"],
        "properties": {
          "operation": {"type": "string", "minLength": 1, "maxLength": 32},
          "after": {"type": "integer", "minimum": 0},
          "events": {"type": "integer", "minimum": 1},
          "deadline_ms": {"type": "integer", "minimum": 1}
        }},
      "ports_file": {"type": "string"}
    }})");
  Json &Properties = Schema["properties"];
  Properties["entry"] = addressRule("where datagrams are sent");
  Properties["service"] = addressRule("service address");
  Properties["local"] = addressRule("own address");
  Properties["calls"] = {{"type", "array"}, {"items", Call}};
  return Schema;
}

CallerOptions readCallerOptions(const Json &Settings) {
  CallerOptions Options;
  const auto ReadMs = [&](const char *Key, Milliseconds &Field) {
    Field = Milliseconds(Settings.value(Key, Field.count()));
  };
  Options.Entry = udpEndpointAt(Settings, "entry");
  Options.Local = udpEndpointAt(Settings, "local");
  Options.Service = ServiceAddress(Settings["service"].get<std::string>());
  if (Settings.contains("flow"))
    Options.Flow = FlowId(Settings["flow"].get<std::uint64_t>());
  // Without a seed two runs must not use the same flow: the home would take
  // the second run's requests for repeats of the first.
  Options.RandomSeed = Settings.contains("random_seed")
                           ? Settings["random_seed"].get<std::uint64_t>()
                           : (std::uint64_t{std::random_device{}()} << 32) ^
                                 std::random_device{}();
  ReadMs("open_retry_ms", Options.OpenRetry);
  ReadMs("first_retry_ms", Options.FirstRetry);
  ReadMs("max_retry_ms", Options.MaxRetry);
  ReadMs("answer_grace_ms", Options.AnswerGrace);
  ReadMs("keepalive_ms", Options.Keepalive);
  ReadMs("gap_timeout_ms", Options.GapTimeout);
  return Options;
}

CallPlan readCallPlan(const Json &Settings) {
  CallPlan Plan{.Parallel = Settings.value("parallel", 1U)};
  if (Settings.contains("calls"))
    for (const Json &Fields : Settings["calls"])
      Plan.Calls.push_back(readCall(Fields));
  if (Settings.contains("subscription")) {
    const Json &Fields = Settings["subscription"];
    PlannedSubscription Planned;
    Planned.Operation = Fields["operation"].get<std::string>();
    Planned.After = Sequence(Fields.value("after", std::uint64_t{0}));
    Planned.Events = Fields["events"].get<std::uint64_t>();
    Planned.Deadline =
        Milliseconds(Fields.value("deadline_ms", Planned.Deadline.count()));
    Plan.Subscription = Planned;
  }
  return Plan;
}

} // namespace buckthorndeck::standins
