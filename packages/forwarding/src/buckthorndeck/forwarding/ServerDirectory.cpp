#include "buckthorndeck/forwarding/ServerDirectory.h"

#include "buckthorndeck/base/Hash.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

ServerToken tokenOf(const ServerRecord &Record) {
  // A process that starts again may repeat a start time, but not on two
  // addresses at once.
  const std::string Text = Record.Name + "/" +
                           std::to_string(Record.StartTime.value()) + "/" +
                           buckthorndeck::toString(Record.Address);
  const auto Hash = static_cast<std::uint32_t>(digestOf(Text).value());
  // 0 stands for a packet without a token.
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
                                                StorePosition Position,
                                                TimePoint Now,
                                                EntryOrigin Origin) {
  const ServerToken Token = tokenOf(Record);
  const auto SameName = ByName.find(Record.Name);
  if (SameName != ByName.end()) {
    Server &Known = *SameName->second;
    switch (decideEntry({.Position = Known.Position,
                         .Report = reportOf(Known.Record),
                         .Registered = Known.Registered},
                        {.Position = Position, .Report = reportOf(Record)},
                        Origin)) {
    case EntryDecision::Ignore:
      return Change::None;
    case EntryDecision::Confirm:
      Known.Position = Position;
      return Change::None;
    case EntryDecision::Withhold:
      withhold(std::move(Record), Position);
      return Change::Withheld;
    case EntryDecision::Apply:
      break;
    }
    // A peer knows a newer report than the copy that the store came back from.
    if (Position < Known.Position && Known.Registered)
      withhold(Known.Record, Known.Position);
  }
  const auto SameToken = ByToken.find(Token.value());
  // Two servers have the same token: the first keeps it.
  if (SameToken != ByToken.end() &&
      SameToken->second->Record.Name != Record.Name)
    return Change::None;

  // The process was restarted under the same name.
  if (SameName != ByName.end() && SameName->second->Token != Token) {
    markUnregistered(*SameName->second, Position, Now);
    SameName->second->Superseded = true;
  }

  Change Result = Change::Updated;
  Server *Target = nullptr;
  if (SameToken == ByToken.end()) {
    auto NewServer = std::make_unique<Server>();
    Target = NewServer.get();
    ByToken.emplace(Token.value(), std::move(NewServer));
    Target->Token = Token;
    ByService[Record.Service.value()].push_back(Target);
    Result = Change::Added;
  } else {
    Target = SameToken->second.get();
    if (Target->Record.Service != Record.Service) {
      std::erase(ByService[Target->Record.Service.value()], Target);
      ByService[Record.Service.value()].push_back(Target);
    }
  }
  Target->WarmupEndsAt = Now + Record.WarmupLeft;
  Target->Region = Regions.regionOf(Record.Domain);
  ByAddress[toSocketAddress(Record.Address)] = Target;
  ByName[Record.Name] = Target;
  Target->Record = std::move(Record);
  Target->Evacuated = Evacuated.contains(Target->Record.Domain);
  Target->Position = Position;
  Target->Registered = true;
  Target->Superseded = false;
  return Result;
}

void ServerDirectory::withhold(ServerRecord Record, StorePosition Position) {
  std::string Name = Record.Name;
  Withheld.insert_or_assign(
      std::move(Name),
      RegistryEntry{.Record = std::move(Record), .Position = Position});
}

void ServerDirectory::markUnregistered(Server &Backend, StorePosition Position,
                                       TimePoint Now, TimePoint FallbackUntil) {
  Backend.Registered = false;
  Backend.RemovedAt = Now;
  Backend.FallbackUntil = FallbackUntil;
  Backend.Position = Position;
}

Server *ServerDirectory::remove(const std::string &Name, StorePosition Position,
                                TimePoint Now, TimePoint FallbackUntil) {
  const auto SameName = ByName.find(Name);
  if (SameName == ByName.end() || Position < SameName->second->Position)
    return nullptr;
  Server &Known = *SameName->second;
  if (!Known.Registered) {
    // The removal also ends an entry that is withheld.
    Known.Position = Position;
    return nullptr;
  }
  markUnregistered(Known, Position, Now, FallbackUntil);
  return &Known;
}

Server *ServerDirectory::mergeRemoval(RegistryEntry Removed, TimePoint Now) {
  const auto SameName = ByName.find(Removed.Record.Name);
  if (SameName == ByName.end()) {
    addUnregistered(std::move(Removed), Now);
    return nullptr;
  }
  Server &Known = *SameName->second;
  if (!Known.Registered)
    return nullptr;
  const EntryDecision Decision = decideRemoval(
      {.Position = Known.Position, .Report = reportOf(Known.Record)},
      {.Position = Removed.Position, .Report = reportOf(Removed.Record)});
  if (Decision == EntryDecision::Ignore)
    return nullptr;
  if (Decision == EntryDecision::Withhold)
    withhold(Known.Record, Known.Position);
  markUnregistered(Known, Removed.Position, Now);
  return &Known;
}

//! Adds a server that this host never knew while it was registered.
void ServerDirectory::addUnregistered(RegistryEntry Removed, TimePoint Now) {
  const SocketAddress Address = toSocketAddress(Removed.Record.Address);
  const std::string Name = Removed.Record.Name;
  const auto AtAddress = ByAddress.find(Address);
  Server *Holder = AtAddress == ByAddress.end() ? nullptr : AtAddress->second;
  if (update(std::move(Removed.Record), Removed.Position, Now,
             EntryOrigin::Complete) != Change::Added)
    return;
  markUnregistered(*ByName.at(Name), Removed.Position, Now);
  // The address may have another server by now.
  if (Holder && Holder->Registered)
    ByAddress[Address] = Holder;
}

std::vector<Server *> ServerDirectory::retain(std::vector<std::string> Present,
                                              StorePosition Position,
                                              TimePoint Now,
                                              TimePoint FallbackUntil) {
  std::vector<Server *> Removed;
  std::sort(Present.begin(), Present.end());
  for (const auto &[Name, Backend] : ByName)
    if (Backend->Registered && Backend->Position.Era == Position.Era &&
        Backend->Position <= Position &&
        !std::binary_search(Present.begin(), Present.end(), Name))
      Removed.push_back(Backend);
  for (Server *Backend : Removed)
    markUnregistered(*Backend, Position, Now, FallbackUntil);
  return Removed;
}

bool ServerDirectory::hasUnconfirmed(StoreEra Era) const {
  return std::any_of(Withheld.begin(), Withheld.end(),
                     [&](const auto &NameAndEntry) {
                       return NameAndEntry.second.Position.Era == Era;
                     }) ||
         std::any_of(ByName.begin(), ByName.end(), [&](const auto &Each) {
           return Each.second->Registered && Each.second->Position.Era < Era;
         });
}

std::vector<RegistryEntry> ServerDirectory::takeWithheld(StoreEra Era) {
  std::vector<RegistryEntry> Taken;
  for (auto &[Name, Entry] : Withheld)
    if (Entry.Position.Era == Era)
      Taken.push_back(std::move(Entry));
  Withheld.clear();
  return Taken;
}

std::vector<Server *> ServerDirectory::removeUnconfirmed(StoreEra Era,
                                                         TimePoint Now) {
  std::vector<Server *> Removed;
  for (const auto &[Name, Backend] : ByName)
    if (Backend->Registered && Backend->Position.Era < Era)
      Removed.push_back(Backend);
  // Before any change of the new era.
  for (Server *Backend : Removed)
    markUnregistered(*Backend, {.Era = Era}, Now);
  return Removed;
}

void ServerDirectory::eraseFromIndexes(Server &Backend) {
  std::erase(ByService[Backend.Record.Service.value()], &Backend);
  const auto SameName = ByName.find(Backend.Record.Name);
  if (SameName != ByName.end() && SameName->second == &Backend)
    ByName.erase(SameName);
  const auto SameAddress =
      ByAddress.find(toSocketAddress(Backend.Record.Address));
  if (SameAddress != ByAddress.end() && SameAddress->second == &Backend)
    ByAddress.erase(SameAddress);
}

std::size_t ServerDirectory::eraseRemovedBefore(TimePoint Oldest) {
  return boost::unordered::erase_if(ByToken, [&](auto &TokenAndServer) {
    Server &Backend = *TokenAndServer.second;
    if (Backend.Registered || Backend.RemovedAt >= Oldest ||
        Backend.HealthCheckRunning)
      return false;
    eraseFromIndexes(Backend);
    NewestErased = std::max(NewestErased, Backend.Position);
    return true;
  });
}

bool ServerDirectory::hasServersIn(const FailureDomainName &Domain) const {
  return std::any_of(ByToken.begin(), ByToken.end(), [&](const auto &Each) {
    return Each.second->Record.Domain == Domain;
  });
}

Server *ServerDirectory::find(ServerToken Token) {
  const auto Found = ByToken.find(Token.value());
  return Found == ByToken.end() ? nullptr : Found->second.get();
}

Server *ServerDirectory::findLatest(const std::string &Name) {
  const auto Found = ByName.find(Name);
  return Found == ByName.end() ? nullptr : Found->second;
}

const std::vector<Server *> &
ServerDirectory::serversOf(const ServiceName &Service) const {
  static const std::vector<Server *> None;
  const auto Found = ByService.find(Service.value());
  return Found == ByService.end() ? None : Found->second;
}

bool ServerDirectory::isLatest(const Server &Backend) const {
  const auto SameName = ByName.find(Backend.Record.Name);
  return SameName != ByName.end() && SameName->second == &Backend;
}

bool ServerDirectory::receivesOwnPackets(const Server &Backend) const {
  return findSuccessor(Backend) == nullptr;
}

Server &ServerDirectory::currentProcess(Server &Backend) const {
  Server *Successor = findSuccessor(Backend);
  return Successor ? *Successor : Backend;
}

//! The process that was started again under Backend's name at its address; null
//! if there is none.
Server *ServerDirectory::findSuccessor(const Server &Backend) const {
  const auto SameName = ByName.find(Backend.Record.Name);
  if (SameName == ByName.end() || SameName->second == &Backend ||
      SameName->second->Record.Address != Backend.Record.Address)
    return nullptr;
  return SameName->second;
}

bool ServerDirectory::isReplaced(const Server &Removed) const {
  const auto Found = ByAddress.find(toSocketAddress(Removed.Record.Address));
  return Found != ByAddress.end() && Found->second != &Removed &&
         Found->second->Registered;
}

} // namespace buckthorndeck::forwarding
