#include "buckthorndeck/entryhost/Settings.h"

#include <random>

namespace buckthorndeck::entryhost {

namespace {

constexpr const char *SchemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "region", "failure_domain", "caller_listen",
               "peer_listen", "sync_listen", "metrics_listen", "fleet_key",
               "platform"],
  "properties": {
    "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,31}$",
      "description": "name of this entry host, unique in the fleet"},
    "region": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,31}$",
      "description": "region that this entry host is in"},
    "failure_domain": {"type": "string",
      "pattern": "^[a-z0-9][a-z0-9-]{0,31}$",
      "description": "failure domain that this entry host is in"},
    "caller_listen": {"type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "description": "UDP address for callers' datagrams; port 0 lets the kernel choose"},
    "peer_listen": {"type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "description": "UDP address for heartbeats and relayed datagrams"},
    "sync_listen": {"type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "description": "TCP address for configuration sync and status"},
    "metrics_listen": {"type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "description": "TCP address of the Prometheus endpoint"},
    "fleet_key": {"type": "string", "pattern": "^[0-9a-f]{64}$",
      "description": "secret key of the fleet, 64 hexadecimal digits, the same on every entry host"},
    "platform": {"type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "description": "TCP address of the platform's key-value service"},
    "seeds": {"type": "array", "maxItems": 64, "items": {"type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$"},
      "description": "peer addresses of other entry hosts to join through"},
    "log_level": {"type": "string", "enum": ["debug", "info", "warn", "error"],
      "default": "info",
      "description": "least severe log level that is written"},
    "token_lifetime_ms": {"type": "integer", "minimum": 1000,
      "maximum": 600000, "default": 15000,
      "description": "ms for which a flow's token may be used; also the longest part of a planned stop"},
    "ledger_entries": {"type": "integer", "minimum": 1000,
      "maximum": 10000000, "default": 200000,
      "description": "requests remembered at most, to run each at most once"},
    "max_feeds": {"type": "integer", "minimum": 1, "maximum": 10000000,
      "default": 100000,
      "description": "subscriptions that this host is home of at most"},
    "random_seed": {"type": "integer", "minimum": 0, "default": 0,
      "description": "seed for load spreading and jitter; 0 draws one from the system"},
    "ports_file": {"type": "string", "default": "",
      "description": "file that receives the addresses in use, as JSON, once the host serves"}
  }
})json";

LogLevel parseLogLevel(const std::string &Text) {
  if (Text == "debug")
    return LogLevel::Debug;
  if (Text == "warn")
    return LogLevel::Warn;
  if (Text == "error")
    return LogLevel::Error;
  return LogLevel::Info;
}

//! Reads what a schema cannot check and collects the errors.
class SettingsReader {
public:
  SettingsReader(const std::string &File, const Json &Document,
                 std::vector<SchemaError> &Errors)
      : File(File), Document(Document), Errors(Errors) {}

  TcpEndpoint tcp(const char *Key) {
    return unwrap(Key, parseTcpEndpoint(text(Key), "read settings"));
  }

  UdpEndpoint udp(const char *Key) {
    return unwrap(Key, parseUdpEndpoint(text(Key), "read settings"));
  }

  std::vector<UdpEndpoint> udpList(const char *Key) {
    std::vector<UdpEndpoint> Result;
    for (const Json &Item : Document.value(Key, Json::array()))
      Result.push_back(unwrap(
          Key, parseUdpEndpoint(Item.get<std::string>(), "read settings")));
    return Result;
  }

  std::string text(const char *Key) const {
    return Document.value(Key, std::string());
  }

  template <typename T> T value(const char *Key) const {
    const Json &Default = settingsSchema()["properties"][Key]["default"];
    return Document.value(Key, Default.get<T>());
  }

private:
  template <typename T> T unwrap(const char *Key, const Expected<T> &Value) {
    if (Value)
      return *Value;
    Errors.push_back({.File = File,
                      .Key = Key,
                      .Found = Document.at(Key).dump(),
                      .Expected = Value.error().Message});
    return T();
  }

  const std::string &File;
  const Json &Document;
  std::vector<SchemaError> &Errors;
};

std::uint64_t chooseSeed(std::uint64_t Configured) {
  if (Configured != 0)
    return Configured;
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

Settings readSettings(SettingsReader &Reader) {
  Settings Result;
  Result.Name = EntryHostName(Reader.text("name"));
  Result.Region = RegionName(Reader.text("region"));
  Result.FailureDomain = FailureDomainName(Reader.text("failure_domain"));
  Result.CallerListen = Reader.udp("caller_listen");
  Result.PeerListen = Reader.udp("peer_listen");
  Result.SyncListen = Reader.tcp("sync_listen");
  Result.MetricsListen = Reader.tcp("metrics_listen");
  Result.FleetKey = parseMacKey(Reader.text("fleet_key")).value_or(MacKey{});
  Result.Platform = Reader.tcp("platform");
  Result.Seeds = Reader.udpList("seeds");
  Result.LogThreshold = parseLogLevel(Reader.value<std::string>("log_level"));
  Result.TokenLifetime =
      Milliseconds(Reader.value<std::uint64_t>("token_lifetime_ms"));
  Result.LedgerEntries = Reader.value<std::uint32_t>("ledger_entries");
  Result.MaxFeeds = Reader.value<std::uint32_t>("max_feeds");
  Result.RandomSeed = chooseSeed(Reader.value<std::uint64_t>("random_seed"));
  Result.PortsFile = Reader.value<std::string>("ports_file");
  return Result;
}

} // namespace

const Json &settingsSchema() {
  static const Json Schema = Json::parse(SchemaText);
  return Schema;
}

tl::expected<Settings, std::vector<SchemaError>>
loadSettings(const std::string &File) {
  const auto Document = readJsonFile(File);
  if (!Document) {
    const SchemaError Failure{.File = File,
                              .Found = Document.error().Message,
                              .Expected = "a JSON document"};
    return tl::unexpected(std::vector<SchemaError>{Failure});
  }
  std::vector<SchemaError> Errors =
      checkSchema(File, *Document, settingsSchema());
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  SettingsReader Reader(File, *Document, Errors);
  Settings Result = readSettings(Reader);
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Result;
}

std::string describeSettings() {
  std::string Table = "| setting | type | range | default | meaning |\n"
                      "|---|---|---|---|---|\n";
  const Json &Required = settingsSchema()["required"];
  for (const auto &[Name, Rule] : settingsSchema()["properties"].items()) {
    const bool IsRequired =
        std::find(Required.begin(), Required.end(), Name) != Required.end();
    std::string Range = "-";
    if (Rule.contains("minimum"))
      Range = Rule["minimum"].dump() + " to " +
              (Rule.contains("maximum") ? Rule["maximum"].dump() : "2^64 - 1");
    if (Rule.contains("enum"))
      Range = Rule["enum"].dump();
    const std::string Default = IsRequired ? "required"
                                : Rule.contains("default")
                                    ? "`" + Rule["default"].dump() + "`"
                                    : "none";
    Table += "| `" + Name + "` | " + Rule["type"].get<std::string>() + " | " +
             Range + " | " + Default + " | " +
             Rule["description"].get<std::string>() + " |\n";
  }
  return Table;
}

} // namespace buckthorndeck::entryhost
