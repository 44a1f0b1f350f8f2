#include "buckthorndeck/forwarding/ServerDirectory.h"

#include "buckthorndeck/base/Hash.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

ServerToken tokenOf(const ServerRecord &Record) {
  const std::string Text =
      Record.Name + "/" + std::to_string(Record.StartTime.value());
  const auto Hash = static_cast<std::uint32_t>(digestOf(Text).value());
  // 0 means that a packet carries no token.
  return ServerToken(Hash == 0 ? 1 : Hash);
}

const char *toString(Reachability State) {
  switch (State) {
  case Reachability::Reachable:
    return "reachable";
  case Reachability::Suspected:
    return "suspected";
  case Reachability::Unhealthy:
    return "unhealthy";
  case Reachability::Unresponsive:
    return "silent";
  }
  return "unknown";
}

const char *toString(HealthCheckOutcome Outcome) {
  switch (Outcome) {
  case HealthCheckOutcome::Connected:
    return "connected";
  case HealthCheckOutcome::Refused:
    return "refused";
  case HealthCheckOutcome::TimedOut:
    return "timed_out";
  case HealthCheckOutcome::Replaced:
    return "replaced";
  case HealthCheckOutcome::Inconclusive:
    return "inconclusive";
  }
  return "unknown";
}

SocketAddress toSocketAddress(const UdpEndpoint &Where) {
  return {.Ip = Where.address().to_v4().to_uint(), .Port = Where.port()};
}

ServerDirectory::Change ServerDirectory::update(ServerRecord Record,
                                                StoreRevision Revision,
                                                TimePoint Now) {
  const ServerToken Token = tokenOf(Record);
  const auto Named = ByName.find(Record.Name);
  if (Named != ByName.end() && Revision < Named->second->Revision)
    return Change::None;
  const auto Known = ByToken.find(Token.value());
  if (Known != ByToken.end() && Known->second->Record.Name != Record.Name)
    return Change::None; // Equal tokens of two servers: the first keeps it.

  if (Named != ByName.end() && Named->second->Token != Token)
    removeEntry(*Named->second, Revision, Now); // Restarted under its name.

  Change Result = Change::Updated;
  Server *Target = nullptr;
  if (Known == ByToken.end()) {
    auto Added = std::make_unique<Server>();
    Target = Added.get();
    ByToken.emplace(Token.value(), std::move(Added));
    Target->Token = Token;
    ByService[Record.Service.value()].push_back(Target);
    Result = Change::Added;
  } else {
    Target = Known->second.get();
    if (Target->Registered && Target->Revision == Revision)
      return Change::None;
    if (Target->Record.Service != Record.Service) {
      std::erase(ByService[Target->Record.Service.value()], Target);
      ByService[Record.Service.value()].push_back(Target);
    }
  }
  Target->WarmAt = Now + Record.WarmupLeft;
  ByAddress[toSocketAddress(Record.Address)] = Target;
  ByName[Record.Name] = Target;
  Target->Record = std::move(Record);
  Target->Revision = Revision;
  Target->Registered = true;
  return Result;
}

void ServerDirectory::removeEntry(Server &Known, StoreRevision Revision,
                                  TimePoint Now) {
  Known.Registered = false;
  Known.RemovedAt = Now;
  Known.Revision = Revision;
}

Server *ServerDirectory::remove(const std::string &Name, StoreRevision Revision,
                                TimePoint Now) {
  const auto Named = ByName.find(Name);
  if (Named == ByName.end() || !Named->second->Registered ||
      Revision < Named->second->Revision)
    return nullptr;
  removeEntry(*Named->second, Revision, Now);
  return Named->second;
}

std::vector<Server *> ServerDirectory::retain(std::vector<std::string> Present,
                                              StoreRevision Revision,
                                              TimePoint Now) {
  std::vector<Server *> Removed;
  std::sort(Present.begin(), Present.end());
  for (const auto &[Name, Known] : ByName)
    if (Known->Registered &&
        !std::binary_search(Present.begin(), Present.end(), Name))
      Removed.push_back(Known);
  for (Server *Known : Removed)
    removeEntry(*Known, Revision, Now);
  return Removed;
}

void ServerDirectory::unlink(Server &Known) {
  std::erase(ByService[Known.Record.Service.value()], &Known);
  const auto Named = ByName.find(Known.Record.Name);
  if (Named != ByName.end() && Named->second == &Known)
    ByName.erase(Named);
  const auto Addressed = ByAddress.find(toSocketAddress(Known.Record.Address));
  if (Addressed != ByAddress.end() && Addressed->second == &Known)
    ByAddress.erase(Addressed);
}

std::size_t ServerDirectory::forget(TimePoint Oldest) {
  return boost::unordered::erase_if(ByToken, [&](auto &Entry) {
    Server &Known = *Entry.second;
    if (Known.Registered || Known.RemovedAt >= Oldest || Known.Checking)
      return false;
    unlink(Known);
    return true;
  });
}

Server *ServerDirectory::find(ServerToken Token) {
  const auto Found = ByToken.find(Token.value());
  return Found == ByToken.end() ? nullptr : Found->second.get();
}

const std::vector<Server *> &
ServerDirectory::serversOf(const ServiceName &Service) const {
  static const std::vector<Server *> None;
  const auto Found = ByService.find(Service.value());
  return Found == ByService.end() ? None : Found->second;
}

bool ServerDirectory::isReplaced(const Server &Gone) const {
  const auto Found = ByAddress.find(toSocketAddress(Gone.Record.Address));
  return Found != ByAddress.end() && Found->second != &Gone &&
         Found->second->Registered;
}

} // namespace buckthorndeck::forwarding
