#include "buckthorndeck/entryhost/PacketSettings.h"

#include "buckthorndeck/entryhost/SettingsReader.h"

namespace buckthorndeck::entryhost {

namespace {

//! Time for the call after a failed watch, which reads the missed changes.
constexpr Milliseconds WatchMargin{200};
constexpr Milliseconds MinWatchWait{100};
//! The pause takes this part of the time to apply a change; the rest is left
//! for slow calls and retries.
constexpr int ChangePauseDivisor = 2;
//! After this part of the time to apply a change, a host stops relying on
//! relays; the rest is left for the call to the store.
constexpr double FreshnessShare = 2.0 / 3;
// Parts of the freshness limit.
constexpr int RelayWaitDivisor = 8;
constexpr int RelayPauseDivisor = 16;
//! A flow that was just placed reaches its server within this time.
constexpr Milliseconds PlacementMargin{100};
constexpr double Permille = 1000;

constexpr const char *SchemaText = R"json({
  "type": "object",
  "required": ["name", "failure_domain", "failure_domains", "packet_listen",
               "ready_listen", "ready_path", "metrics_listen", "host_ip",
               "internal_ports", "store"],
  "properties": {
    "name": {"type": "string", "minLength": 1, "maxLength": 200,
      "description": "name of this entry host, unique in the fleet"},
    "failure_domain": {"type": "string", "minLength": 1, "maxLength": 200,
      "description": "failure domain that this entry host is in"},
    "failure_domains": {"type": "array", "minItems": 1,
      "items": {"type": "string"},
      "description": "all failure domains of the deployment"},
    "packet_listen": {"type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "description": "UDP address for callers' packets; callers receive packets at the same port"},
    "ready_listen": {"type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "description": "TCP address of the readiness check: whether this host takes packets"},
    "ready_path": {"type": "string", "pattern": "^/",
      "description": "path that answers with 200 while this host takes packets, else with 503"},
    "metrics_listen": {"type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "description": "TCP address of the Prometheus endpoint, at /metrics, and of the snapshot for peers"},
    "host_ip": {"type": "string", "pattern": "^[0-9.]{7,15}$",
      "description": "address of this host for its peers"},
    "internal_ports": {"type": "array", "minItems": 1,
      "items": {"type": "integer", "minimum": 0, "maximum": 65535},
      "description": "ports for traffic between entry hosts, the same on all; the first takes heartbeats over UDP"},
    "seeds": {"type": "array", "maxItems": 64, "items": {"type": "string",
      "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$"},
      "description": "addresses of other entry hosts to find peers through; the port is not used"},
    "store": {"type": "string", "pattern": "^[0-9.]{7,15}:[0-9]{1,5}$",
      "description": "TCP address of the platform's store"},
    "stop_grace_ms": {"type": "integer", "minimum": 0, "maximum": 600000,
      "default": 5000,
      "description": "ms after SIGTERM until which packets may still arrive"},
    "flow_lifetime_s": {"type": "integer", "minimum": 1, "maximum": 86400,
      "default": 60,
      "description": "s for which the servers of open flows are kept after they left the registry"},
    "store_timeout_ms": {"type": "integer", "minimum": 10, "maximum": 60000,
      "default": 800,
      "description": "ms until the store begins to answer a call, and longest pause in the answer; for a watch the time that it waits is added to the former"},
    "detect_within_ms": {"type": "integer", "minimum": 500, "maximum": 60000,
      "default": 4000,
      "description": "ms within which a watch that the store no longer serves must be detected; limits how long a watch waits"},
    "apply_within_ms": {"type": "integer", "minimum": 100, "maximum": 600000,
      "default": 3000,
      "description": "ms within which a change in the store must be in force; half of it separates a change from the next watch, so that one call reads several changes; after two thirds of it without news from a relay, a host asks the store"},
    "drain_within_ms": {"type": "integer", "minimum": 100, "maximum": 600000,
      "default": 600000,
      "description": "ms within which a server that the store says is draining or has removed must get no new flows; the shortest one of this, evacuate_within_ms and apply_within_ms counts for all"},
    "evacuate_within_ms": {"type": "integer", "minimum": 100, "maximum": 600000,
      "default": 600000,
      "description": "ms within which the servers of an evacuated failure domain must get no new flows; the shortest one of this, drain_within_ms and apply_within_ms counts for all"},
    "warmup_overage": {"type": "number", "minimum": 1, "maximum": 1000,
      "default": 1,
      "description": "factor by which all hosts together may exceed the rate of a cold server within a second"},
    "warmup_slack": {"type": "number", "minimum": 0, "maximum": 1000000,
      "default": 0,
      "description": "flows a second that may come on top of warmup_overage"},
    "regions": {"type": "object", "additionalProperties": {"type": "string"},
      "description": "region of each failure domain, for routes that allow certain regions only"},
    "outlier_detection": {"type": "boolean", "default": true,
      "description": "whether servers that reject or fail much more than their peers are ejected, for routes with a target latency"},
    "overload_control": {"type": "boolean", "default": true,
      "description": "whether flows move to servers that answer sooner and are refused by priority when none answers in time, for routes with a target latency"},
    "adaptive_slow_start": {"type": "boolean", "default": true,
      "description": "whether the pace of a server that has just started follows from how it answers, for routes with a target latency"},
    "processor_share": {"type": "number", "minimum": 0, "maximum": 1000,
      "default": 0,
      "description": "share of a processor that this host may use; the hosts with the largest share of a failure domain pass changes of the store on to the others; 0 if unknown"},
    "log_level": {"type": "string", "enum": ["debug", "info", "warn", "error"],
      "default": "info",
      "description": "least severe log level that is written"},
    "log_lines_per_s": {"type": "integer", "minimum": 1, "maximum": 100000,
      "default": 200,
      "description": "log lines written per second at most; others are only counted"},
    "random_seed": {"type": "integer", "minimum": 0, "default": 0,
      "description": "seed for load spreading and jitter; 0 takes one from the system"}
  }
})json";

PacketSettings readSettings(SettingsReader &Reader) {
  PacketSettings Result;
  Result.Name = EntryHostName(Reader.text("name"));
  Result.FailureDomain = FailureDomainName(Reader.text("failure_domain"));
  Result.FailureDomainCount = Reader.count("failure_domains");
  Result.PacketListen = Reader.udp("packet_listen");
  Result.ReadyListen = Reader.tcp("ready_listen");
  Result.ReadyPath = Reader.text("ready_path");
  Result.MetricsListen = Reader.tcp("metrics_listen");
  Result.HeartbeatListen = Reader.udp("host_ip", "internal_ports");
  for (UdpEndpoint Seed : Reader.udpList("seeds")) {
    Seed.port(Result.HeartbeatListen.port());
    Result.Seeds.push_back(Seed);
  }
  Result.Store = Reader.tcp("store");
  Result.StopGrace = Milliseconds(Reader.value<unsigned>("stop_grace_ms"));
  Result.FlowLifetime =
      std::chrono::seconds(Reader.value<unsigned>("flow_lifetime_s"));
  Result.StoreTimeout =
      Milliseconds(Reader.value<unsigned>("store_timeout_ms"));
  Result.WatchWait = std::max(
      MinWatchWait, Milliseconds(Reader.value<unsigned>("detect_within_ms")) -
                        Result.StoreTimeout - WatchMargin);
  Result.EvacuateWithin =
      Milliseconds(Reader.value<unsigned>("evacuate_within_ms"));
  const Milliseconds ApplyWithin(
      std::min(Reader.value<unsigned>("apply_within_ms"),
               std::min(Reader.value<unsigned>("drain_within_ms"),
                        Reader.value<unsigned>("evacuate_within_ms"))));
  Result.ChangePause = ApplyWithin / ChangePauseDivisor;
  Result.RemovalLimit =
      std::max(Milliseconds(0), ApplyWithin - PlacementMargin);
  Result.FreshnessLimit =
      std::chrono::duration_cast<Milliseconds>(FreshnessShare * ApplyWithin);
  Result.RelayWait = Result.FreshnessLimit / RelayWaitDivisor;
  Result.RelayPause = Result.FreshnessLimit / RelayPauseDivisor;
  Result.ProcessorPermille = static_cast<std::uint32_t>(
      Permille * Reader.value<double>("processor_share"));
  Result.WarmupOverage = Reader.value<double>("warmup_overage");
  Result.WarmupSlack = Reader.value<double>("warmup_slack");
  for (const auto &[Domain, Region] : Reader.textMap("regions"))
    Result.Regions.emplace(Domain, RegionName(Region));
  Result.OutlierDetection = Reader.value<bool>("outlier_detection");
  Result.OverloadControl = Reader.value<bool>("overload_control");
  Result.AdaptiveSlowStart = Reader.value<bool>("adaptive_slow_start");
  Result.LogThreshold = Reader.logLevel("log_level");
  Result.LogLinesPerSecond = Reader.value<unsigned>("log_lines_per_s");
  Result.RandomSeed = Reader.seed("random_seed");
  return Result;
}

} // namespace

const Json &packetSettingsSchema() {
  static const Json Schema = Json::parse(SchemaText);
  return Schema;
}

tl::expected<PacketSettings, std::vector<SchemaError>>
loadPacketSettings(const std::string &File) {
  return loadSettingsFile<PacketSettings>(File, packetSettingsSchema(),
                                          readSettings);
}

} // namespace buckthorndeck::entryhost
