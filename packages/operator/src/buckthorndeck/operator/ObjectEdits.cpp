#include "buckthorndeck/operator/ObjectEdits.h"

#include <algorithm>
#include <map>

namespace buckthorndeck::operators {

using config::ObjectSet;

namespace {

Unexpected editError(ErrorCode Code, const char *Step, const std::string &Name,
                     const std::string &Message) {
  return Unexpected(
      Error{.Code = Code, .Step = Step, .Peer = Name, .Message = Message});
}

//! Name of the object that an entry host's drain or an evacuation gets.
ObjectName newObjectName(const Invocation &CommandLine) {
  return ObjectName(CommandLine.Namespace + "/" + CommandLine.Name);
}

Expected<void> drainServer(const Invocation &CommandLine, ObjectSet &Objects) {
  const auto Found = Objects.BackendServers.find(ObjectName(CommandLine.Name));
  if (Found == Objects.BackendServers.end())
    return editError(ErrorCode::NotFound, "drain", CommandLine.Name,
                     "no backend_server of this name is declared");
  Found->second.Draining = CommandLine.Action == Command::Drain;
  return {};
}

void drainHost(const Invocation &CommandLine, ObjectSet &Objects) {
  const EntryHostName Host(CommandLine.Name);
  const auto IsOfHost = [&](const auto &Entry) {
    return Entry.second.Host == Host;
  };
  auto &Drains = Objects.EntryHostDrains;
  const ObjectName Name = newObjectName(CommandLine);
  // An entry_host_drain declared in a file may have another name.
  if (CommandLine.Action == Command::Undrain)
    std::erase_if(Drains, IsOfHost);
  else if (std::none_of(Drains.begin(), Drains.end(), IsOfHost))
    Drains.insert_or_assign(Name,
                            config::EntryHostDrain{.Name = Name, .Host = Host});
}

template <typename Object>
bool anyInDomain(const std::map<ObjectName, Object> &Objects,
                 const FailureDomainName &Domain) {
  return std::any_of(Objects.begin(), Objects.end(), [&](const auto &Entry) {
    return Entry.second.FailureDomain == Domain;
  });
}

Expected<void> evacuate(const Invocation &CommandLine, ObjectSet &Objects) {
  const FailureDomainName Domain(CommandLine.Name);
  // An evacuation declared in a file may have another name.
  if (anyInDomain(Objects.Evacuations, Domain))
    return {};
  const ObjectName Name = newObjectName(CommandLine);
  const auto [Existing, Inserted] = Objects.Evacuations.emplace(
      Name, config::Evacuation{.Name = Name, .FailureDomain = Domain});
  if (Inserted)
    return {};
  return editError(ErrorCode::Invalid, "evacuate", Name.value(),
                   "the evacuation of this name is of failure domain " +
                       Existing->second.FailureDomain.value() +
                       "; give another --namespace");
}

void restore(const Invocation &CommandLine, ObjectSet &Objects) {
  const FailureDomainName Domain(CommandLine.Name);
  std::erase_if(Objects.Evacuations, [&](const auto &Entry) {
    return Entry.second.FailureDomain == Domain;
  });
}

//! Evacuates or restores a failure domain. A misspelt one is an error in both.
Expected<void> changeEvacuation(const Invocation &CommandLine,
                                ObjectSet &Objects) {
  const FailureDomainName Domain(CommandLine.Name);
  if (!anyInDomain(Objects.Places, Domain) &&
      !anyInDomain(Objects.Evacuations, Domain))
    return editError(ErrorCode::NotFound, "change evacuation", Domain.value(),
                     "no place is in this failure domain");
  if (CommandLine.Action == Command::Evacuate)
    return evacuate(CommandLine, Objects);
  restore(CommandLine, Objects);
  return {};
}

} // namespace

Expected<void> applyEdit(const Invocation &CommandLine, ObjectSet &Objects) {
  if (CommandLine.Action == Command::Evacuate ||
      CommandLine.Action == Command::Restore)
    return changeEvacuation(CommandLine, Objects);
  if (CommandLine.Target == DrainTarget::BackendServer)
    return drainServer(CommandLine, Objects);
  drainHost(CommandLine, Objects);
  return {};
}

} // namespace buckthorndeck::operators
