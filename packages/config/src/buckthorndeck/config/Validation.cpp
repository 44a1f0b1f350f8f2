#include "buckthorndeck/config/Validation.h"

#include "buckthorndeck/config/Limits.h"
#include "buckthorndeck/config/internal/Kinds.h"
#include "buckthorndeck/net/Endpoint.h"

#include <algorithm>

namespace buckthorndeck::config {

namespace {

const char *const NameRule =
    "expected 1 to 63 lower-case letters, digits and inner hyphens";

bool isValidOperationName(const std::string &Name) {
  const auto IsAllowed = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '_' || C == '.' || C == '-';
  };
  return !Name.empty() && Name.size() <= MaxOperationLength &&
         std::all_of(Name.begin(), Name.end(), IsAllowed);
}

//! Collects the errors of one set.
class Validator {
public:
  Validator(const ObjectSet &Objects, const ObjectSources &Sources,
            const UnreadParts &Unread)
      : Objects(Objects), Sources(Sources), Unread(Unread) {}

  std::vector<ConfigError> run() {
    forEachKind(Objects, [&](const KindName &Kind, const auto &Map) {
      if (Map.size() > MaxObjectsPerKind)
        Errors.push_back(
            {.Message = std::string(Kind.Plural) + ": expected at most " +
                        std::to_string(MaxObjectsPerKind) + " objects, found " +
                        std::to_string(Map.size())});
      for (const auto &[Name, Object] : Map) {
        Current = {.Kind = Kind.Singular, .Name = Name};
        checkObjectName();
        check(Object);
      }
    });
    checkServices();
    return std::move(Errors);
  }

private:
  void report(const std::string &Field, std::string Message) {
    const auto Source = Sources.find(Current);
    Errors.push_back({.File = Source == Sources.end() ? "" : Source->second,
                      .Object = describe(Current),
                      .Field = Field,
                      .Message = std::move(Message)});
  }

  void checkObjectName() {
    const std::string Namespace = namespaceOf(Current.Name);
    const std::string &Full = Current.Name.value();
    if (!isValidName(Namespace) ||
        !isValidName(Full.substr(Namespace.size() + 1)))
      report("name",
             std::string("a part of the name (namespace/name) is invalid: ") +
                 NameRule);
  }

  void checkPlainName(const char *Field, const std::string &Value) {
    if (!isValidName(Value))
      report(Field, "found \"" + Value + "\", " + NameRule);
  }

  void checkRange(const char *Field, std::uint64_t Value, std::uint64_t Min,
                  std::uint64_t Max) {
    if (Value < Min || Value > Max)
      report(Field, "found " + std::to_string(Value) + ", expected " +
                        std::to_string(Min) + " to " + std::to_string(Max));
  }

  template <typename Object>
  void checkReference(const char *Field, const ObjectName &Target,
                      const std::map<ObjectName, Object> &Targets) {
    if (namespaceOf(Target) != namespaceOf(Current.Name))
      report(Field,
             Target.value() +
                 " is in another namespace; expected an object of the same "
                 "namespace");
    else if (!Targets.contains(Target) && !Unread.WholeFiles &&
             !Unread.Objects.contains({.Kind = Field, .Name = Target}))
      report(Field, std::string("no ") + Field + " is named " + Target.value());
  }

  //! Reports an unusable address and returns false for it.
  bool checkAddress(const std::string &Address) {
    const auto Parsed = parseTcpEndpoint(Address, "check address");
    // Duplicates are found by comparing the text, so only the canonical
    // spelling is accepted.
    if (Parsed && toString(*Parsed) == Address && Parsed->port() != 0 &&
        !Parsed->address().is_unspecified())
      return true;
    report("address", "found \"" + Address +
                          "\", expected an IPv4 address and a port from 1 to "
                          "65535 such as 10.0.0.1:7000");
    return false;
  }

  void check(const Place &Object) {
    checkPlainName("region", Object.Region.value());
    checkPlainName("failure_domain", Object.FailureDomain.value());
    const auto [Existing, Inserted] =
        Regions.emplace(Object.FailureDomain, Object.Region);
    if (!Inserted && Existing->second != Object.Region)
      report("region", "failure domain " + Object.FailureDomain.value() +
                           " is in region " + Existing->second.value() +
                           " in another place");
  }

  void check(const Service &Object) {
    checkTokenNameLength(Object.Name);
    if (!checkAddress(Object.Address.value()))
      return;
    const auto [Existing, Inserted] =
        ServiceAddresses.emplace(Object.Address, Object.Name);
    if (!Inserted)
      report("address", Object.Address.value() +
                            " already belongs to service " +
                            Existing->second.value());
  }

  void checkTokenNameLength(const ObjectName &Name) {
    if (Name.value().size() > MaxTokenNameLength)
      report("name",
             "found " + std::to_string(Name.value().size()) +
                 " characters in " + Name.value() + ", expected at most " +
                 std::to_string(MaxTokenNameLength) + " with the namespace");
  }

  void check(const BackendServer &Object) {
    checkTokenNameLength(Object.Name);
    checkReference("place", Object.Place, Objects.Places);
    checkReference("service", Object.Service, Objects.Services);
    checkRange("generation", Object.ServerGeneration.value(), 1, MaxGeneration);
    checkRange("slots", Object.Slots, 1, MaxSlots);
    checkRange("connections", Object.Connections, 1, MaxConnections);
    if (Object.Slots > Object.Connections)
      report("slots", "found " + std::to_string(Object.Slots) +
                          ", which is more than connections (" +
                          std::to_string(Object.Connections) + ")");
    if (!checkAddress(Object.Address))
      return;
    const auto [Existing, Inserted] =
        ServerAddresses.emplace(Object.Address, &Object);
    if (Inserted)
      return;
    const BackendServer &Other = *Existing->second;
    std::string Message = Object.Address +
                          " already belongs to backend_server " +
                          Other.Name.value();
    if (Other.Service != Object.Service)
      Message += ", so the server would be in two services, " +
                 Other.Service.value() + " and " + Object.Service.value();
    report("address", std::move(Message));
  }

  void check(const Rule &Object) {
    checkReference("service", Object.Service, Objects.Services);
    checkRange("max_in_flight", Object.MaxInFlight, 1, MaxRequestLimit);
    checkRange("max_queued", Object.MaxQueued, 0, MaxRequestLimit);
    checkRange("operations", Object.Operations.size(), 1, MaxOperations);
    std::set<std::string> Names;
    for (const Operation &Allowed : Object.Operations) {
      if (!isValidOperationName(Allowed.Name))
        report("operations", "an operation's name is invalid: expected 1 to 32 "
                             "letters, digits, underscores, dots or hyphens");
      if (!Names.insert(Allowed.Name).second)
        report("operations",
               "operation \"" + Allowed.Name + "\" is declared more than once");
    }
  }

  void check(const EntryHostDrain &Object) {
    checkPlainName("host", Object.Host.value());
    const auto [Existing, Inserted] =
        DrainedHosts.emplace(Object.Host, Object.Name);
    if (!Inserted)
      report("host", "entry host " + Object.Host.value() +
                         " is already drained by entry_host_drain " +
                         Existing->second.value());
  }

  //! A misspelt domain would leave the meant one in use, so it is an error. The
  //! names of failure domains are common to all namespaces.
  void check(const Evacuation &Object) {
    checkPlainName("failure_domain", Object.FailureDomain.value());
    if (!Regions.contains(Object.FailureDomain) && !mayBeUnreadPlace())
      report("failure_domain",
             "no place is in failure domain " + Object.FailureDomain.value());
    const auto [Existing, Inserted] =
        EvacuatedDomains.emplace(Object.FailureDomain, Object.Name);
    if (!Inserted)
      report("failure_domain", "failure domain " +
                                   Object.FailureDomain.value() +
                                   " is already evacuated by evacuation " +
                                   Existing->second.value());
  }

  //! A service needs a server to answer its requests, and exactly one rule to
  //! define its operations and limits.
  void checkServices() {
    std::set<ObjectName> Served;
    for (const auto &[Name, Server] : Objects.BackendServers)
      Served.insert(Server.Service);
    std::map<ObjectName, std::string> RuleNames;
    std::map<ObjectName, std::size_t> RuleCounts;
    for (const auto &[Name, Declared] : Objects.Rules) {
      ++RuleCounts[Declared.Service];
      RuleNames[Declared.Service] += " " + Name.value();
    }
    for (const auto &[Name, Object] : Objects.Services) {
      Current = {.Kind = "service", .Name = Name};
      if (!Served.contains(Name) && !mayBeUnread("backend_server"))
        report("", "no backend_server belongs to this service");
      if (RuleCounts[Name] == 0 && !mayBeUnread("rule"))
        report("", "no rule belongs to this service");
      if (RuleCounts[Name] > 1)
        report("",
               "expected one rule for this service, found" + RuleNames[Name]);
    }
  }

  //! Whether an object of Kind in the current namespace may be among those that
  //! could not be read.
  bool mayBeUnread(const std::string &Kind) const {
    const auto Matches = [&](const ObjectId &Id) {
      return Id.Kind == Kind &&
             namespaceOf(Id.Name) == namespaceOf(Current.Name);
    };
    return Unread.WholeFiles ||
           std::any_of(Unread.Objects.begin(), Unread.Objects.end(), Matches);
  }

  //! Whether a place of any namespace may be among the unread objects.
  bool mayBeUnreadPlace() const {
    return Unread.WholeFiles ||
           std::any_of(Unread.Objects.begin(), Unread.Objects.end(),
                       [](const ObjectId &Id) { return Id.Kind == "place"; });
  }

  const ObjectSet &Objects;
  const ObjectSources &Sources;
  const UnreadParts &Unread;
  ObjectId Current;
  std::vector<ConfigError> Errors;
  std::map<FailureDomainName, RegionName> Regions;
  std::map<ServiceAddress, ObjectName> ServiceAddresses;
  std::map<std::string, const BackendServer *> ServerAddresses;
  std::map<EntryHostName, ObjectName> DrainedHosts;
  std::map<FailureDomainName, ObjectName> EvacuatedDomains;
};

} // namespace

std::string describe(const ConfigError &Mistake) {
  std::string Line;
  for (const std::string *Part :
       {&Mistake.File, &Mistake.Object, &Mistake.Field})
    if (!Part->empty())
      Line += *Part + ": ";
  return Line + Mistake.Message;
}

std::vector<ConfigError> validate(const ObjectSet &Objects,
                                  const ObjectSources &Sources,
                                  const UnreadParts &Unread) {
  return Validator(Objects, Sources, Unread).run();
}

bool isValidName(const std::string &Name) {
  const auto IsAllowed = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
  };
  return !Name.empty() && Name.size() <= MaxNameLength && Name.front() != '-' &&
         Name.back() != '-' && std::all_of(Name.begin(), Name.end(), IsAllowed);
}

} // namespace buckthorndeck::config
