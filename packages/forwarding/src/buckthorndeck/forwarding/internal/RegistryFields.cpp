#include "buckthorndeck/forwarding/internal/RegistryFields.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/forwarding/Limits.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>

namespace buckthorndeck::forwarding {

namespace {

Json encodeRoute(const Route &Source) {
  Json Services = Json::array();
  for (const WeightedService &Candidate : Source.Services)
    Services.push_back(
        {{"service", Candidate.Service.value()}, {"weight", Candidate.Weight}});
  Json Result{{"ip", Source.Address.Ip},
              {"port", Source.Address.Port},
              {"services", Services}};
  // Left out if the route states none, as in messages of earlier versions.
  if (Source.Timeout > Milliseconds(0))
    Result["timeout_ms"] = Source.Timeout.count();
  if (Source.TargetLatency > Milliseconds(0))
    Result["target_latency_ms"] = Source.TargetLatency.count();
  if (Source.Priority != RoutePriority())
    Result["priority"] = Source.Priority.value();
  if (!Source.AllowedRegions.empty()) {
    Json Regions = Json::array();
    for (const RegionName &Region : Source.AllowedRegions)
      Regions.push_back(Region.value());
    Result["regions"] = std::move(Regions);
  }
  return Result;
}

//! Reads what messages of earlier versions lack.
void decodeRouteTerms(FieldReader &Fields, const Json &Value, Route &Result) {
  if (Value.contains("timeout_ms"))
    Result.Timeout = Milliseconds(Fields.number("timeout_ms", MaxMilliseconds));
  if (Value.contains("target_latency_ms"))
    Result.TargetLatency =
        Milliseconds(Fields.number("target_latency_ms", MaxMilliseconds));
  if (Value.contains("priority"))
    Result.Priority = RoutePriority(
        static_cast<std::uint32_t>(Fields.number("priority", MaxPriority)));
  if (!Value.contains("regions"))
    return;
  const Json *Regions = Fields.array("regions", MaxRegions);
  for (const Json &Region : Regions ? *Regions : Json::array()) {
    if (Region.is_string())
      Result.AllowedRegions.emplace_back(Region.get<std::string>());
    else
      Fields.fail("regions", "an array of names");
  }
}

Expected<Route> decodeRoute(const Json &Value, const std::string &Step,
                            const std::string &Source) {
  FieldReader Fields(Value, Step, Source);
  Route Result{.Address = {.Ip = static_cast<std::uint32_t>(
                               Fields.number("ip", UINT32_MAX)),
                           .Port = static_cast<std::uint16_t>(
                               Fields.number("port", UINT16_MAX))}};
  const Json *Services = Fields.array("services", MaxRoutes);
  if (Fields.failed())
    return Unexpected(Fields.error());
  for (const Json &ServiceValue : *Services) {
    FieldReader ServiceFields(ServiceValue, Step, Source);
    Result.Services.push_back(
        {.Service = ServiceName(ServiceFields.text("service", MaxNameBytes, 1)),
         .Weight = static_cast<std::uint32_t>(
             ServiceFields.number("weight", MaxWeight, 1))});
    if (ServiceFields.failed())
      return Unexpected(ServiceFields.error());
  }
  if (Result.Services.empty())
    Fields.fail("services", "at least one service, found an empty array");
  decodeRouteTerms(Fields, Value, Result);
  if (Fields.failed())
    return Unexpected(Fields.error());
  return Result;
}

Json encodeServiceRule(const ServiceRule &Rule) {
  Json Result{{"service", Rule.Service.value()}, {"path", Rule.Path}};
  if (Rule.Warmup.Duration > Milliseconds(0))
    Result["warmup_ms"] = Rule.Warmup.Duration.count();
  if (Rule.Warmup.RequestsPerSecond > 0)
    Result["warmup_per_s"] = Rule.Warmup.RequestsPerSecond;
  if (Rule.MaxConnections > 0)
    Result["max_connections"] = Rule.MaxConnections;
  return Result;
}

Expected<ServiceRule> decodeServiceRule(const Json &Value,
                                        const std::string &Step,
                                        const std::string &Source) {
  FieldReader Fields(Value, Step, Source);
  ServiceRule Result{.Service =
                         ServiceName(Fields.text("service", MaxNameBytes, 1)),
                     .Path = Fields.text("path", MaxNameBytes, 1)};
  // Hosts of earlier versions don't send these.
  if (Value.is_object() && Value.contains("warmup_ms"))
    Result.Warmup.Duration =
        Milliseconds(Fields.number("warmup_ms", MaxMilliseconds));
  if (Value.is_object() && Value.contains("warmup_per_s"))
    Result.Warmup.RequestsPerSecond =
        Fields.real("warmup_per_s", MaxWarmupRate);
  if (Value.is_object() && Value.contains("max_connections"))
    Result.MaxConnections = static_cast<std::uint32_t>(
        Fields.number("max_connections", MaxConnections));
  if (Fields.failed())
    return Unexpected(Fields.error());
  return Result;
}

Expected<ServerRecord> decodeRecord(const Json &Value, const std::string &Step,
                                    const std::string &Source) {
  FieldReader Fields(Value, Step, Source);
  ServerRecord Record{
      .Name = Fields.text("name", MaxNameBytes, 1),
      .Id = ServerId(Fields.number("id")),
      .StartTime = Incarnation(Fields.number("born")),
      .Service = ServiceName(Fields.text("service", MaxNameBytes, 1)),
      .Domain =
          FailureDomainName(Fields.text("failure_domain", MaxNameBytes, 1)),
      .Slots = static_cast<std::uint32_t>(Fields.number("slots", MaxSlots, 1)),
      .Draining = Fields.flag("draining")};
  // Hosts of earlier versions don't send these.
  if (Value.is_object() && Value.contains("sequence"))
    Record.Sequence = Fields.number("sequence");
  if (Value.is_object() && Value.contains("warmup_ms"))
    Record.WarmupLeft =
        Milliseconds(Fields.number("warmup_ms", MaxMilliseconds));
  const auto Address =
      parseUdpEndpoint(Fields.text("address", MaxNameBytes), Step);
  if (!Address || !isUnicast(*Address))
    Fields.fail("address", "the IPv4 address and port of a host");
  if (Fields.failed())
    return Unexpected(Fields.error());
  Record.Address = *Address;
  return Record;
}

} // namespace

std::optional<StoreEra> readEra(FieldReader &Fields, const Json &Value) {
  if (!Value.is_object() || !Value.contains("era"))
    return std::nullopt;
  return StoreEra(Fields.number("era"));
}

Json encodeEntry(const RegistryEntry &Entry, Milliseconds WarmupLeft) {
  const ServerRecord &Record = Entry.Record;
  return Json{{"name", Record.Name},
              {"id", Record.Id.value()},
              {"born", Record.StartTime.value()},
              {"sequence", Record.Sequence},
              {"service", Record.Service.value()},
              {"address", buckthorndeck::toString(Record.Address)},
              {"failure_domain", Record.Domain.value()},
              {"slots", Record.Slots},
              {"draining", Record.Draining},
              {"warmup_ms", WarmupLeft.count()},
              {"era", Entry.Position.Era.value()},
              {"revision", Entry.Position.Revision.value()}};
}

Json encodeServer(const Server &Backend, TimePoint Now) {
  const auto WarmupLeft = std::chrono::duration_cast<Milliseconds>(
      std::max(Backend.WarmupEndsAt - Now, Clock::duration{0}));
  return encodeEntry({.Record = Backend.Record, .Position = Backend.Position},
                     WarmupLeft);
}

void decodeServers(const Json &List, const std::string &Step,
                   const std::string &Source, StoreEra Era,
                   std::vector<ServerChange> &Result) {
  for (const Json &Value : List) {
    FieldReader Fields(Value, Step, Source);
    ServerChange Change{
        .Name = Fields.text("name", MaxNameBytes, 1),
        .Position = {.Era = readEra(Fields, Value).value_or(Era),
                     .Revision = StoreRevision(Fields.number("revision"))}};
    auto Record = decodeRecord(Value, Step, Source);
    if (Record)
      Change.Record = std::move(*Record);
    else
      log(LogLevel::Warn, "registry_entry_unusable",
          {{"server", Change.Name},
           {"peer", Source},
           {"error", Record.error().Message}});
    if (!Fields.failed())
      Result.push_back(std::move(Change));
  }
}

Json encodeEvacuation(const EvacuationChange &Known) {
  return Json{{"failure_domain", Known.Domain.value()},
              {"evacuated", Known.State.Evacuated},
              {"era", Known.State.Position.Era.value()},
              {"revision", Known.State.Position.Revision.value()}};
}

std::optional<Error> decodeEvacuations(const Json &Message,
                                       const std::string &Step,
                                       const std::string &Source,
                                       RegistryChanges &Result) {
  // Hosts of earlier versions don't send them.
  Result.NamesEvacuations = Message.contains("evacuations");
  if (!Result.NamesEvacuations)
    return std::nullopt;
  FieldReader Fields(Message, Step, Source);
  const Json *List = Fields.array("evacuations", MaxEvacuations);
  if (Fields.failed())
    return Fields.error();
  for (const Json &Value : *List) {
    FieldReader Inner(Value, Step, Source);
    EvacuationChange Change{
        .Domain =
            FailureDomainName(Inner.text("failure_domain", MaxNameBytes, 1)),
        .State = {
            .Position = {.Era = StoreEra(Inner.number("era")),
                         .Revision = StoreRevision(Inner.number("revision"))},
            .Evacuated = Inner.flag("evacuated")}};
    if (Inner.failed())
      return Inner.error();
    Result.Evacuations.push_back(std::move(Change));
  }
  return std::nullopt;
}

Json encodeRoutes(const RouteTable &Routes) {
  Json RouteList = Json::array();
  Routes.forEach(
      [&](const Route &Stored) { RouteList.push_back(encodeRoute(Stored)); });
  Json Rules = Json::array();
  for (const ServiceRule &Rule : Routes.serviceRules())
    Rules.push_back(encodeServiceRule(Rule));
  return Json{{"config_version", Routes.version().value()},
              {"idle_timeout_ms", Routes.idleTimeout().count()},
              {"routes", std::move(RouteList)},
              {"health_rules", std::move(Rules)}};
}

Expected<RouteSet> decodeRoutes(const Json &Value, const std::string &Step,
                                const std::string &Source) {
  FieldReader Fields(Value, Step, Source);
  RouteSet Result{.Version = ConfigVersion(Fields.number("config_version")),
                  .IdleTimeout = Milliseconds(
                      Fields.number("idle_timeout_ms", MaxMilliseconds))};
  const Json *RouteList = Fields.array("routes", MaxRoutes);
  const Json *Rules = Fields.array("health_rules", MaxRoutes);
  if (Fields.failed())
    return Unexpected(Fields.error());
  auto Failure = decodeElements(
      *RouteList,
      [&](const Json &Each) { return decodeRoute(Each, Step, Source); },
      Result.Routes);
  if (!Failure)
    Failure = decodeElements(
        *Rules,
        [&](const Json &Each) { return decodeServiceRule(Each, Step, Source); },
        Result.ServiceRules);
  if (Failure)
    return Unexpected(*Failure);
  return Result;
}

} // namespace buckthorndeck::forwarding
