#include "buckthorndeck/standins/BackendServerSettings.h"

#include "buckthorndeck/standins/Program.h"

namespace buckthorndeck::standins {

namespace {

ServiceTime readServiceTime(const Json &Fields) {
  const std::string Distribution = Fields.value("distribution", "fixed");
  ServiceTime Time{.MeanMs = Fields.value("mean_ms", 0.0),
                   .Sigma = Fields.value("sigma", 1.0)};
  if (Distribution == "exponential")
    Time.Distribution = TimeDistribution::Exponential;
  else if (Distribution == "lognormal")
    Time.Distribution = TimeDistribution::LogNormal;
  return Time;
}

OperationBehaviour readOperation(const Json &Fields) {
  const std::string Answer = Fields.value("answer", "echo");
  OperationBehaviour Behaviour{.Text = Fields.value("text", ""),
                               .Seed = Fields.value("seed", std::uint64_t{0}),
                               .Length = Fields.value("bytes", std::size_t{0}),
                               .Fails = Fields.value("fails", false),
                               .Held = Fields.value("held", false)};
  if (Answer == "fixed")
    Behaviour.Body = AnswerBody::Fixed;
  else if (Answer == "generated")
    Behaviour.Body = AnswerBody::Generated;
  if (Fields.contains("service_time"))
    Behaviour.Time = readServiceTime(Fields["service_time"]);
  return Behaviour;
}

void readColdStart(const Json &Fields, BackendServerOptions &Options) {
  Options.Cold = Fields.value("mode", "refuse") == "slow" ? ColdStart::Slow
                                                          : ColdStart::Refuse;
  if (Fields.contains("for_ms"))
    Options.ColdFor = Milliseconds(Fields["for_ms"].get<std::int64_t>());
  Options.ColdSlowdown = Fields.value("slowdown", Options.ColdSlowdown);
}

} // namespace

Json backendServerSchema() {
  const Json Time = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "required": ["mean_ms"],
    "properties": {
      "distribution": {"enum": ["fixed", "exponential", "lognormal"]},
      "mean_ms": {"type": "number", "minimum": 0},
      "sigma": {"type": "number", "minimum": 0}
    }})");
  Json Operation = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "properties": {
      "answer": {"enum": ["echo", "fixed", "generated"]},
      "text": {"type": "string"},
      "seed": {"type": "integer", "minimum": 0},
      "bytes": {"type": "integer", "minimum": 0, "maximum": 1048576},
      "fails": {"type": "boolean"},
      "held": {"type": "boolean"}
    }})");
  Operation["properties"]["service_time"] = Time;
  Json Schema = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "required": ["name", "service"],
    "properties": {
      "name": {"type": "string", "pattern": "^[^/]+/[^/]+$",
               "description": "namespace/name"},
      "generation": {"type": "integer", "minimum": 0},
      "service": {"type": "string", "pattern": "^[^/]+/[^/]+$",
                  "description": "namespace/name"},
      "slots": {"type": "integer", "minimum": 1, "maximum": 100000},
      "max_subscriptions": {"type": "integer", "minimum": 0,
                            "maximum": 1000000},
      "speed_factor": {"type": "number", "minimum": 0.001},
      "random_seed": {"type": "integer", "minimum": 0},
      "cold_start": {
        "type": "object", "additionalProperties": false,
        "required": ["mode"],
        "properties": {
          "mode": {"enum": ["refuse", "slow"]},
          "for_ms": {"type": "integer", "minimum": 0},
          "slowdown": {"type": "number", "minimum": 1}
        }},
      "event_interval_ms": {"type": "integer", "minimum": 1},
      "event_epoch_ms": {"type": "integer", "minimum": 0,
                         "description": "since the Unix epoch"},
      "run_log_file": {"type": "string"},
      "health_lag_ms": {"type": "integer", "minimum": 0},
      "health_lie": {
        "type": "object", "additionalProperties": false,
        "properties": {
          "status": {"type": "string"},
          "in_use": {"type": "integer", "minimum": 0}
        }},
      "ports_file": {"type": "string"}
    }})");
  Json &Properties = Schema["properties"];
  Properties["listen"] = addressRule("address for entry hosts");
  Properties["health_listen"] = addressRule("address of the health endpoint");
  Properties["service_time"] = Time;
  Properties["operations"] = {{"type", "object"},
                              {"additionalProperties", Operation}};
  return Schema;
}

BackendServerOptions readBackendServerOptions(const Json &Settings) {
  BackendServerOptions Options;
  const auto Read = [&](const char *Key, auto &Field) {
    if (Settings.contains(Key))
      Settings[Key].get_to(Field);
  };
  const auto ReadMs = [&](const char *Key, Milliseconds &Field) {
    if (Settings.contains(Key))
      Field = Milliseconds(Settings[Key].get<std::int64_t>());
  };
  Options.Listen = tcpEndpointAt(Settings, "listen");
  if (Settings.contains("health_listen"))
    Options.HealthListen = tcpEndpointAt(Settings, "health_listen");
  Options.Name = ObjectName(Settings["name"].get<std::string>());
  Options.ServerGeneration =
      Generation(Settings.value("generation", std::uint64_t{1}));
  Options.Service = ObjectName(Settings["service"].get<std::string>());
  Read("slots", Options.Slots);
  Read("max_subscriptions", Options.MaxSubscriptions);
  Read("speed_factor", Options.SpeedFactor);
  Read("random_seed", Options.RandomSeed);
  Read("run_log_file", Options.RunLogFile);
  ReadMs("event_interval_ms", Options.EventInterval);
  ReadMs("event_epoch_ms", Options.EventEpoch);
  ReadMs("health_lag_ms", Options.HealthLag);
  if (Settings.contains("service_time"))
    Options.Time = readServiceTime(Settings["service_time"]);
  if (Settings.contains("cold_start"))
    readColdStart(Settings["cold_start"], Options);
  if (Settings.contains("health_lie")) {
    const Json &Lie = Settings["health_lie"];
    Options.HealthLie = FalseLoad{.Status = Lie.value("status", "ok"),
                                  .InUse = Lie.value("in_use", 0U)};
  }
  if (Settings.contains("operations"))
    for (const auto &[Name, Fields] : Settings["operations"].items())
      Options.Operations[Name] = readOperation(Fields);
  return Options;
}

} // namespace buckthorndeck::standins
