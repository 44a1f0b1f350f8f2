#ifndef BUCKTHORNDECK_CONFIG_TESTS_SAMPLEOBJECTS_H
#define BUCKTHORNDECK_CONFIG_TESTS_SAMPLEOBJECTS_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/config/ObjectFiles.h"

namespace buckthorndeck::config {

//! A valid file that declares one service with Servers backend servers.
inline ObjectFile sampleFile(unsigned Servers = 2) {
  Json Document = Json::parse(R"({
    "namespace": "exchange",
    "places": [{"name": "kita", "region": "doo-central", "failure_domain": "sapporo-kita"}],
    "services": [{"name": "trading-floor", "address": "10.1.0.1:7000"}],
    "rules": [{"name": "trading", "service": "trading-floor",
               "operations": [{"name": "bid", "idempotent": false}]}]
  })");
  for (unsigned Index = 0; Index < Servers; ++Index)
    Document["backend_servers"].push_back(
        {{"name", "tf-" + std::to_string(Index)},
         {"place", "kita"},
         {"service", "trading-floor"},
         {"address", "10.2." + std::to_string(Index / 250) + "." +
                         std::to_string(Index % 250 + 1) + ":8000"},
         {"generation", 1U},
         {"slots", 2U}});
  return {.Name = "exchange.json", .Document = std::move(Document)};
}

//! The objects of sampleFile().
inline ObjectSet sampleSet(unsigned Servers = 2) {
  return checkFiles({sampleFile(Servers)}).Objects;
}

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_TESTS_SAMPLEOBJECTS_H
