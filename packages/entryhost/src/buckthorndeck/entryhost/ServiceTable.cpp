#include "buckthorndeck/entryhost/ServiceTable.h"

#include "buckthorndeck/config/Objects.h"

namespace buckthorndeck::entryhost {

ServiceTable makeServiceTable(const config::ObjectSet &Objects) {
  std::unordered_map<ObjectName, ServiceAddress> Addresses;
  ServiceTable Table;
  for (const auto &[Name, Declared] : Objects.Services) {
    Addresses[Name] = Declared.Address;
    Table[Declared.Address].Service = Name;
  }
  for (const auto &[Name, Declared] : Objects.Rules) {
    const auto Address = Addresses.find(Declared.Service);
    if (Address == Addresses.end())
      continue;
    for (const config::Operation &Operation : Declared.Operations)
      Table[Address->second].Operations[Operation.Name] = Operation.Idempotent;
  }
  return Table;
}

const ServiceEntry *findService(const ServiceTable &Table,
                                const ServiceAddress &Address) {
  const auto Found = Table.find(Address);
  return Found == Table.end() ? nullptr : &Found->second;
}

bool accepts(const ServiceEntry &Entry, const std::string &Operation) {
  return Entry.Operations.contains(Operation);
}

bool mayRepeat(const ServiceEntry *Entry, const std::string &Operation,
               bool CallerSaysIdempotent) {
  if (!Entry || !CallerSaysIdempotent)
    return false;
  const auto Found = Entry->Operations.find(Operation);
  return Found != Entry->Operations.end() && Found->second;
}

} // namespace buckthorndeck::entryhost
