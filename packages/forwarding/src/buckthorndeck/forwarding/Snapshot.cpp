#include "buckthorndeck/forwarding/Snapshot.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/forwarding/Limits.h"

#include <boost/asio/ip/address_v4.hpp>

namespace buckthorndeck::forwarding {

namespace {

constexpr const char *Step = "read snapshot";
constexpr std::size_t MaxServers = 100'000;

Json encodeServer(const Server &Backend) {
  const ServerRecord &Record = Backend.Record;
  return Json{{"name", Record.Name},
              {"id", Record.Id.value()},
              {"born", Record.StartTime.value()},
              {"service", Record.Service.value()},
              {"address", buckthorndeck::toString(Record.Address)},
              {"failure_domain", Record.Domain.value()},
              {"slots", Record.Slots},
              {"draining", Record.Draining},
              {"revision", Backend.Revision.value()}};
}

Json encodeRoute(const Route &Source) {
  Json Services = Json::array();
  for (const WeightedService &Candidate : Source.Services)
    Services.push_back(
        {{"service", Candidate.Service.value()}, {"weight", Candidate.Weight}});
  return Json{{"ip", Source.Address.Ip},
              {"port", Source.Address.Port},
              {"services", Services}};
}

Expected<ServerChange> decodeServer(const Json &Value,
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
  const StoreRevision Revision(Fields.number("revision"));
  const auto Address =
      parseUdpEndpoint(Fields.text("address", MaxNameBytes), Step);
  if (Fields.failed())
    return Unexpected(Fields.error());
  if (!Address)
    return Unexpected(Address.error());
  Record.Address = *Address;
  const std::string Name = Record.Name;
  return ServerChange{
      .Name = Name, .Revision = Revision, .Record = std::move(Record)};
}

Expected<Route> decodeRoute(const Json &Value, const std::string &Source) {
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
  if (Fields.failed())
    return Unexpected(Fields.error());
  return Result;
}

} // namespace

Bytes encodeSnapshot(ServerDirectory &Servers, const RouteTable &Routes,
                     StoreRevision AsOf) {
  Json ServerList = Json::array();
  Servers.forEach([&](const Server &Backend) {
    if (Backend.Registered)
      ServerList.push_back(encodeServer(Backend));
  });
  Json RouteList = Json::array();
  Routes.forEach(
      [&](const Route &Stored) { RouteList.push_back(encodeRoute(Stored)); });
  Json Rules = Json::array();
  for (const HealthRule &Rule : Routes.healthRules())
    Rules.push_back({{"service", Rule.Service.value()}, {"path", Rule.Path}});
  const Json Snapshot{{"as_of", AsOf.value()},
                      {"config_version", Routes.version().value()},
                      {"idle_timeout_ms", Routes.idleTimeout().count()},
                      {"servers", std::move(ServerList)},
                      {"routes", std::move(RouteList)},
                      {"health_rules", std::move(Rules)}};
  return encodeCbor(Snapshot);
}

Expected<RegistryChanges> decodeSnapshot(ByteView Data,
                                         const std::string &Source) {
  const auto Document = decodeCbor(Data, Step, Source);
  if (!Document)
    return Unexpected(Document.error());
  if (!Document->is_object())
    return Unexpected(Error{.Code = ErrorCode::Invalid,
                            .Step = Step,
                            .Peer = Source,
                            .Message = "the snapshot is not a CBOR object"});
  FieldReader Fields(*Document, Step, Source);
  RegistryChanges Changes{.AsOf = StoreRevision(Fields.number("as_of"))};
  RouteSet Routes{.Version = ConfigVersion(Fields.number("config_version")),
                  .IdleTimeout = Milliseconds(
                      Fields.number("idle_timeout_ms", MaxMilliseconds))};
  const Json *ServerList = Fields.array("servers", MaxServers);
  const Json *RouteList = Fields.array("routes", MaxRoutes);
  const Json *Rules = Fields.array("health_rules", MaxRoutes);
  if (Fields.failed())
    return Unexpected(Fields.error());
  for (const Json &Value : *ServerList) {
    auto Change = decodeServer(Value, Source);
    if (!Change)
      return Unexpected(Change.error());
    Changes.Servers.push_back(std::move(*Change));
  }
  for (const Json &Value : *RouteList) {
    auto Decoded = decodeRoute(Value, Source);
    if (!Decoded)
      return Unexpected(Decoded.error());
    Routes.Routes.push_back(std::move(*Decoded));
  }
  for (const Json &Value : *Rules) {
    FieldReader RuleFields(Value, Step, Source);
    Routes.HealthRules.push_back(
        {.Service = ServiceName(RuleFields.text("service", MaxNameBytes, 1)),
         .Path = RuleFields.text("path", MaxNameBytes, 1)});
    if (RuleFields.failed())
      return Unexpected(RuleFields.error());
  }
  Changes.Routes = std::move(Routes);
  return Changes;
}

} // namespace buckthorndeck::forwarding
