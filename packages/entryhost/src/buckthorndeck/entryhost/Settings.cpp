#include "buckthorndeck/entryhost/Settings.h"

#include "buckthorndeck/entryhost/SettingsReader.h"

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
      "description": "requests recorded at most, so that each is run at most once"},
    "max_feeds": {"type": "integer", "minimum": 1, "maximum": 10000000,
      "default": 100000,
      "description": "callers' subscriptions that this host owns at most"},
    "random_seed": {"type": "integer", "minimum": 0, "default": 0,
      "description": "seed for load spreading and jitter; 0 takes one from the system"},
    "ports_file": {"type": "string", "default": "",
      "description": "file that receives the addresses in use, as JSON, once the host serves"}
  }
})json";

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
  Result.LogThreshold = Reader.logLevel("log_level");
  Result.TokenLifetime =
      Milliseconds(Reader.value<std::uint64_t>("token_lifetime_ms"));
  Result.MaxRequestRecords = Reader.value<std::uint32_t>("ledger_entries");
  Result.MaxSubscriptions = Reader.value<std::uint32_t>("max_feeds");
  Result.RandomSeed = Reader.seed("random_seed");
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
  return loadSettingsFile<Settings>(File, settingsSchema(), readSettings);
}

std::string describeSettings() { return describeSchema(settingsSchema()); }

} // namespace buckthorndeck::entryhost
