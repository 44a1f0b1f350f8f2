#ifndef BUCKTHORNDECK_CONFIG_OBJECTS_H
#define BUCKTHORNDECK_CONFIG_OBJECTS_H

#include "buckthorndeck/base/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

//! The objects that operators declare. Object names are "namespace/name", and
//! an object refers only to objects of its own namespace.
namespace buckthorndeck::config {

//! A failure domain of a region under the name that one namespace gives it.
struct Place {
  ObjectName Name;
  RegionName Region;
  FailureDomainName FailureDomain;

  friend bool operator==(const Place &, const Place &) = default;
};

struct Service {
  ObjectName Name;
  ServiceAddress Address; //!< Unique over all namespaces.

  friend bool operator==(const Service &, const Service &) = default;
};

struct BackendServer {
  ObjectName Name;
  ObjectName Place;
  ObjectName Service;
  std::string Address;         //!< TCP "a.b.c.d:port", unique.
  Generation ServerGeneration; //!< Raised when another server gets the address.
  std::uint32_t Slots = 1;     //!< Requests that it executes concurrently.
  std::uint32_t Connections = 2000;
  bool Draining = false;

  friend bool operator==(const BackendServer &,
                         const BackendServer &) = default;
};

struct Operation {
  std::string Name;
  bool Idempotent = false;

  friend bool operator==(const Operation &, const Operation &) = default;
};

//! How the backend server of a request is chosen.
enum class Objective : std::uint8_t {
  Continuity, //!< Keep a flow's server as long as it is eligible.
  Balance,    //!< Choose among all servers for every request.
};

//! Operations and request limits of a service. Each service has exactly one
//! rule.
struct Rule {
  ObjectName Name;
  ObjectName Service;
  std::vector<Operation> Operations; //!< All others are refused.
  Objective Goal = Objective::Continuity;
  std::uint32_t MaxInFlight = 1000; //!< Requests in progress per entry host.
  std::uint32_t MaxQueued = 1000;   //!< Queued requests per entry host.

  friend bool operator==(const Rule &, const Rule &) = default;
};

//! Asks an entry host to stop gracefully.
struct EntryHostDrain {
  ObjectName Name;
  EntryHostName Host;

  friend bool operator==(const EntryHostDrain &,
                         const EntryHostDrain &) = default;
};

//! Sends no new work to the backend servers of a failure domain, in whatever
//! namespace they are declared.
struct Evacuation {
  ObjectName Name;
  FailureDomainName FailureDomain;

  friend bool operator==(const Evacuation &, const Evacuation &) = default;
};

//! All declared objects: one complete configuration.
struct ObjectSet {
  std::map<ObjectName, Place> Places;
  std::map<ObjectName, Service> Services;
  std::map<ObjectName, BackendServer> BackendServers;
  std::map<ObjectName, Rule> Rules;
  std::map<ObjectName, EntryHostDrain> EntryHostDrains;
  std::map<ObjectName, Evacuation> Evacuations;

  friend bool operator==(const ObjectSet &, const ObjectSet &) = default;
};

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_OBJECTS_H
