#include "buckthorndeck/entryhost/StatusReport.h"

#include "buckthorndeck/config/ObjectJson.h"

namespace buckthorndeck::entryhost {

namespace {

Json toJson(const membership::Member &Entry) {
  return {{"name", Entry.Name.value()},
          {"region", Entry.Region.value()},
          {"failure_domain", Entry.FailureDomain.value()},
          {"sync_address", toString(Entry.SyncAddress)},
          {"state", toString(Entry.State)},
          {"version", Entry.Version.value()}};
}

Json toJson(const routing::ServerStatus &Entry) {
  return {{"name", Entry.Server.value()},
          {"service", Entry.Service.value()},
          {"state", Entry.State},
          {"in_flight", Entry.InFlight},
          {"subscriptions", Entry.Subscriptions},
          {"service_time_ms", Entry.ServiceTime.count()}};
}

} // namespace

Json toJson(const StatusReport &Report) {
  Json Members = Json::array();
  for (const membership::Member &Entry : Report.Members)
    Members.push_back(toJson(Entry));
  Json Servers = Json::array();
  for (const routing::ServerStatus &Entry : Report.Servers)
    Servers.push_back(toJson(Entry));
  Json Evacuated = Json::array();
  for (const FailureDomainName &Domain : Report.Evacuated)
    Evacuated.push_back(Domain.value());
  return {{"type", "status"},
          {"host", Report.Self.Name.value()},
          {"region", Report.Self.Region.value()},
          {"failure_domain", Report.Self.FailureDomain.value()},
          {"version", Report.Self.Version.value()},
          {"digest", config::formatDigest(Report.ObjectsDigest)},
          {"draining", Report.Draining},
          {"evacuated", std::move(Evacuated)},
          {"members", std::move(Members)},
          {"servers", std::move(Servers)}};
}

} // namespace buckthorndeck::entryhost
