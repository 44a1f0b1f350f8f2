#include "buckthorndeck/standins/PlatformSettings.h"

#include "buckthorndeck/standins/Program.h"

namespace buckthorndeck::standins {

const Json &hostListSchema() {
  static const Json Schema = [] {
    Json Result = Json::parse(R"({
      "type": "array",
      "items": {
        "type": "object", "additionalProperties": false,
        "required": ["name", "region", "failure_domain", "peer_address",
                     "sync_address", "caller_address", "state"],
        "properties": {
          "name": {"type": "string", "minLength": 1},
          "region": {"type": "string", "minLength": 1},
          "failure_domain": {"type": "string", "minLength": 1},
          "state": {"enum": ["live", "leaving"]}
        }}})");
    Json &Properties = Result["items"]["properties"];
    Properties["peer_address"] = addressRule("UDP address for peers");
    Properties["sync_address"] = addressRule("TCP address for peers");
    Properties["caller_address"] = addressRule("UDP address for callers");
    return Result;
  }();
  return Schema;
}

const Json &platformFaultsSchema() {
  static const Json Schema = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "properties": {
      "outage": {"type": "boolean"},
      "delay_ms": {"type": "integer", "minimum": 0},
      "lose_write_answers": {"type": "integer", "minimum": 0},
      "stale_reads": {"type": "integer", "minimum": 0},
      "missed_watch_events": {"type": "integer", "minimum": 0}
    }})");
  return Schema;
}

Json platformSchema() {
  Json Schema = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "properties": {
      "writes_per_second": {"type": "number", "minimum": 0},
      "reads_per_second": {"type": "number", "minimum": 0},
      "max_value_bytes": {"type": "integer", "minimum": 0,
                          "maximum": 1048576},
      "hosts_lag_ms": {"type": "integer", "minimum": 0},
      "ports_file": {"type": "string"}
    }})");
  Json &Properties = Schema["properties"];
  Properties["listen"] = addressRule("address of the HTTP service");
  Properties["hosts"] = hostListSchema();
  Properties["faults"] = platformFaultsSchema();
  return Schema;
}

PlatformOptions readPlatformOptions(const Json &Settings) {
  PlatformOptions Options;
  Options.Listen = tcpEndpointAt(Settings, "listen");
  Options.WritesPerSecond =
      Settings.value("writes_per_second", Options.WritesPerSecond);
  Options.ReadsPerSecond =
      Settings.value("reads_per_second", Options.ReadsPerSecond);
  Options.MaxValueBytes =
      Settings.value("max_value_bytes", Options.MaxValueBytes);
  Options.HostsLag =
      Milliseconds(Settings.value("hosts_lag_ms", Options.HostsLag.count()));
  if (Settings.contains("hosts"))
    Options.Hosts = Settings["hosts"];
  if (Settings.contains("faults"))
    Options.Faults = readPlatformFaults(Settings["faults"], Options.Faults);
  return Options;
}

PlatformFaults readPlatformFaults(const Json &Fields, PlatformFaults Faults) {
  Faults.Outage = Fields.value("outage", Faults.Outage);
  Faults.Delay = Milliseconds(Fields.value("delay_ms", Faults.Delay.count()));
  Faults.LoseWriteAnswers =
      Fields.value("lose_write_answers", Faults.LoseWriteAnswers);
  Faults.StaleReads = Fields.value("stale_reads", Faults.StaleReads);
  Faults.MissedWatchEvents =
      Fields.value("missed_watch_events", Faults.MissedWatchEvents);
  return Faults;
}

Json toJson(const PlatformFaults &Faults) {
  return {{"outage", Faults.Outage},
          {"delay_ms", Faults.Delay.count()},
          {"lose_write_answers", Faults.LoseWriteAnswers},
          {"stale_reads", Faults.StaleReads},
          {"missed_watch_events", Faults.MissedWatchEvents}};
}

} // namespace buckthorndeck::standins
