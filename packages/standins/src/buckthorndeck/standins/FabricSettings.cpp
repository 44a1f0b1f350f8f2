#include "buckthorndeck/standins/FabricSettings.h"

#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/standins/Program.h"

namespace buckthorndeck::standins {

namespace {

PacketFaults readFaults(const Json &Settings, const char *Key) {
  PacketFaults Faults;
  if (!Settings.contains(Key))
    return Faults;
  const Json &Fields = Settings[Key];
  Faults.Drop = Fields.value("drop", 0.0);
  Faults.Duplicate = Fields.value("duplicate", 0.0);
  Faults.Delay = Fields.value("delay", 0.0);
  Faults.Reorder = Fields.value("reorder", 0.0);
  Faults.MinDelay =
      Milliseconds(Fields.value("min_delay_ms", Faults.MinDelay.count()));
  Faults.MaxDelay =
      Milliseconds(Fields.value("max_delay_ms", Faults.MaxDelay.count()));
  return Faults;
}

Unexpected invalid(const std::string &Step, const std::string &Peer,
                   const std::string &Message) {
  return Unexpected(Error{.Code = ErrorCode::Invalid,
                          .Step = Step,
                          .Peer = Peer,
                          .Message = Message});
}

Json addressList() {
  return {{"type", "array"}, {"items", addressRule("address for callers")}};
}

} // namespace

Json fabricSchema() {
  const Json Faults = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "properties": {
      "drop": {"type": "number", "minimum": 0, "maximum": 1},
      "duplicate": {"type": "number", "minimum": 0, "maximum": 1},
      "delay": {"type": "number", "minimum": 0, "maximum": 1},
      "reorder": {"type": "number", "minimum": 0, "maximum": 1},
      "min_delay_ms": {"type": "integer", "minimum": 0},
      "max_delay_ms": {"type": "integer", "minimum": 0}
    }})");
  Json Schema = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "properties": {
      "random_seed": {"type": "integer", "minimum": 0},
      "hosts_file": {"type": "string",
        "description": "JSON array of addresses, read again on SIGHUP"},
      "platform": {
        "type": "object", "additionalProperties": false,
        "required": ["address"],
        "properties": {
          "poll_ms": {"type": "integer", "minimum": 1},
          "with_leaving": {"type": "boolean"}
        }},
      "idle_timeout_ms": {"type": "integer", "minimum": 1},
      "ports_file": {"type": "string"}
    }})");
  Json &Properties = Schema["properties"];
  Properties["listen"] = addressRule("address that callers send to");
  Properties["hosts"] = addressList();
  Properties["platform"]["properties"]["address"] =
      addressRule("address of the platform");
  Properties["to_hosts"] = Faults;
  Properties["to_callers"] = Faults;
  return Schema;
}

FabricOptions readFabricOptions(const Json &Settings) {
  FabricOptions Options;
  Options.Listen = udpEndpointAt(Settings, "listen");
  Options.RandomSeed = Settings.value("random_seed", Options.RandomSeed);
  if (Settings.contains("hosts"))
    for (const Json &Host : Settings["hosts"])
      Options.Hosts.push_back(
          parseUdpEndpoint(Host.get<std::string>(), "read settings").value());
  Options.ToHosts = readFaults(Settings, "to_hosts");
  Options.ToCallers = readFaults(Settings, "to_callers");
  Options.IdleTimeout = Milliseconds(
      Settings.value("idle_timeout_ms", Options.IdleTimeout.count()));
  return Options;
}

Expected<std::vector<UdpEndpoint>> readHostsFile(const std::string &File) {
  const auto Document = readJsonFile(File);
  if (!Document)
    return Unexpected(Document.error());
  const auto Errors = checkSchema(File, *Document, addressList());
  if (!Errors.empty())
    return invalid("read hosts file", File, describe(Errors.front()));
  std::vector<UdpEndpoint> Hosts;
  for (const Json &Host : *Document)
    Hosts.push_back(
        parseUdpEndpoint(Host.get<std::string>(), "read hosts file").value());
  return Hosts;
}

Expected<std::vector<UdpEndpoint>> readHostList(const std::string &Body,
                                                bool WithLeaving) {
  const std::string Step = "read host list";
  const Json List = Json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!List.is_object() || !List.contains("hosts") || !List["hosts"].is_array())
    return invalid(Step, "", "expected an object with the array \"hosts\"");
  std::vector<UdpEndpoint> Hosts;
  for (const Json &Host : List["hosts"]) {
    if (!Host.is_object() || !Host.contains("caller_address") ||
        !Host["caller_address"].is_string())
      return invalid(Step, "", "expected a host with \"caller_address\"");
    const std::string Address = Host["caller_address"];
    const auto Parsed = parseUdpEndpoint(Address, Step);
    if (!Parsed)
      return Unexpected(Parsed.error());
    const bool Live = Host.contains("state") && Host["state"] == "live";
    if (Live || WithLeaving)
      Hosts.push_back(*Parsed);
  }
  return Hosts;
}

} // namespace buckthorndeck::standins
