#include "buckthorndeck/operator/Report.h"

#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/TimeText.h"

#include <map>
#include <sstream>

namespace buckthorndeck::operators {

using config::ChangeAction;
using config::ObjectChange;
using config::ObjectId;
using config::ObjectSet;

namespace {

//! Objects in their stored form, by plural of the kind and by name.
using FlatSet = std::map<std::pair<std::string, std::string>, Json>;

FlatSet flatten(const ObjectSet &Objects) {
  FlatSet Result;
  const Json Stored = config::toJson(Objects);
  for (const auto &[Kind, Items] : Stored.items())
    for (const Json &Item : Items)
      Result[{Kind, Item.at("name").get<std::string>()}] = Item;
  return Result;
}

const Json &find(const FlatSet &Objects, const ObjectId &Id) {
  return Objects.at({Id.Kind + "s", Id.Name.value()});
}

//! "field: old -> new" for every field that differs.
void printFields(std::ostream &Out, const Json &Old, const Json &New) {
  for (const auto &[Field, Value] : New.items())
    if (Old.at(Field) != Value)
      Out << "    " << Field << ": " << Old.at(Field).dump() << " -> "
          << Value.dump() << "\n";
}

const char *symbol(ChangeAction Action) {
  switch (Action) {
  case ChangeAction::Added:
    return "+ ";
  case ChangeAction::Changed:
    return "~ ";
  case ChangeAction::Removed:
    return "- ";
  }
  return "~ ";
}

Json nameToJson(const ObjectId &Id) {
  return {{"kind", Id.Kind}, {"name", Id.Name.value()}};
}

void printServer(std::ostream &Out, const ServerStatus &Server) {
  Out << "    server " << Server.Name.value() << " " << Server.State
      << ", service " << Server.Service.value() << ", " << Server.InFlight
      << " in flight, " << Server.Subscriptions << " subscriptions, "
      << Server.ServiceTime.count() << " ms service time\n";
}

void printHost(std::ostream &Out, const HostStatus &Host) {
  Out << Host.Name.value() << " (" << Host.Region.value() << "/"
      << Host.FailureDomain.value() << "): version " << Host.Version.value()
      << (Host.Draining ? ", draining" : "") << "\n";
  std::map<std::string, std::size_t> States;
  for (const MemberStatus &Member : Host.Members)
    ++States[Member.State];
  Out << "    members:";
  for (const auto &[State, Count] : States)
    Out << " " << Count << " " << State;
  Out << (States.empty() ? " none\n" : "\n");
  if (Host.Evacuated)
    for (const FailureDomainName &Domain : *Host.Evacuated)
      Out << "    evacuated: " << Domain.value() << "\n";
  for (const ServerStatus &Server : Host.Servers)
    printServer(Out, Server);
}

//! Null for a host of an earlier version, which does not report it.
Json evacuatedToJson(const HostStatus &Host) {
  if (!Host.Evacuated)
    return nullptr;
  Json Result = Json::array();
  for (const FailureDomainName &Domain : *Host.Evacuated)
    Result.push_back(Domain.value());
  return Result;
}

Json hostToJson(const TcpEndpoint &Address, const HostStatus &Host) {
  Json Members = Json::array();
  for (const MemberStatus &Member : Host.Members)
    Members.push_back({{"name", Member.Name.value()},
                       {"region", Member.Region.value()},
                       {"failure_domain", Member.FailureDomain.value()},
                       {"sync_address", Member.SyncAddress},
                       {"state", Member.State},
                       {"version", Member.Version.value()}});
  Json Servers = Json::array();
  for (const ServerStatus &Server : Host.Servers)
    Servers.push_back({{"name", Server.Name.value()},
                       {"service", Server.Service.value()},
                       {"state", Server.State},
                       {"in_flight", Server.InFlight},
                       {"subscriptions", Server.Subscriptions},
                       {"service_time_ms", Server.ServiceTime.count()}});
  return {{"host", Host.Name.value()},
          {"address", toString(Address)},
          {"region", Host.Region.value()},
          {"failure_domain", Host.FailureDomain.value()},
          {"version", Host.Version.value()},
          {"draining", Host.Draining},
          {"evacuated", evacuatedToJson(Host)},
          {"members", std::move(Members)},
          {"servers", std::move(Servers)}};
}

Json unansweredToJson(const SurveyResult &Survey) {
  Json Result = Json::array();
  for (const auto &[Address, Reason] : Survey.Unanswered)
    Result.push_back(
        {{"address", toString(Address)}, {"message", describe(Reason)}});
  return Result;
}

std::string evacuationsToText(const ObjectSet &Objects) {
  std::ostringstream Out;
  for (const auto &[Name, Declared] : Objects.Evacuations)
    Out << "evacuated: " << Declared.FailureDomain.value() << " (evacuation "
        << Name.value() << ")\n";
  return Out.str();
}

Json evacuationsToJson(const ObjectSet &Objects) {
  Json Result = Json::array();
  for (const auto &[Name, Declared] : Objects.Evacuations)
    Result.push_back({{"name", Name.value()},
                      {"failure_domain", Declared.FailureDomain.value()}});
  return Result;
}

} // namespace

Json declarationErrorsToJson(const std::vector<config::ConfigError> &Errors) {
  Json Result = Json::array();
  for (const config::ConfigError &Mistake : Errors)
    Result.push_back({{"file", Mistake.File},
                      {"object", Mistake.Object},
                      {"field", Mistake.Field},
                      {"message", Mistake.Message}});
  return Result;
}

std::string changesToText(const ObjectSet &Before, const ObjectSet &After) {
  std::ostringstream Out;
  const FlatSet Old = flatten(Before);
  const FlatSet New = flatten(After);
  for (const ObjectChange &Change : config::changesBetween(Before, After)) {
    Out << symbol(Change.Action) << describe(Change.Object) << "\n";
    if (Change.Action == ChangeAction::Changed)
      printFields(Out, find(Old, Change.Object), find(New, Change.Object));
  }
  return Out.str();
}

Json changesToJson(const std::vector<ObjectChange> &Changes) {
  Json Result = Json::array();
  for (const ObjectChange &Change : Changes)
    Result.push_back(config::toJson(Change));
  return Result;
}

std::string objectsToText(const ObjectSet &Objects) {
  std::ostringstream Out;
  for (const auto &[Key, Object] : flatten(Objects)) {
    Out << Key.first.substr(0, Key.first.size() - 1) << " " << Key.second;
    for (const auto &[Field, Value] : Object.items())
      if (Field != "name")
        Out << " " << Field << "=" << Value.dump();
    Out << "\n";
  }
  return Out.str();
}

std::string auditToText(const config::AuditEntry &Entry) {
  std::ostringstream Out;
  Out << "version " << Entry.Version.value() << " from " << Entry.Base.value()
      << ", " << config::formatTime(Entry.TimeMs) << ", " << Entry.Author
      << ", operation " << Entry.OperationId << "\n";
  for (const ObjectChange &Change : Entry.Changes)
    Out << "  " << symbol(Change.Action) << describe(Change.Object) << "\n";
  if (Entry.ChangeCount > Entry.Changes.size())
    Out << "  and " << Entry.ChangeCount - Entry.Changes.size()
        << " more objects\n";
  return Out.str();
}

Json failureToJson(const config::PublishFailure &Failure) {
  Json Result = {{"code", toString(Failure.Reason.Code)},
                 {"message", describe(Failure.Reason)}};
  if (!Failure.Conflict)
    return Result;
  Result["winner"] = config::toJson(Failure.Conflict->Winner);
  Result["both_changed"] = Json::array();
  for (const ObjectId &Id : Failure.Conflict->BothChanged)
    Result["both_changed"].push_back(nameToJson(Id));
  return Result;
}

Json rolloutToJson(const SurveyResult &Survey, ConfigVersion Version) {
  Json InForce = Json::array();
  Json Behind = Json::array();
  for (const auto &[Address, Host] : Survey.Answered)
    (Host.Version >= Version ? InForce : Behind)
        .push_back({{"host", Host.Name.value()},
                    {"address", toString(Address)},
                    {"version", Host.Version.value()}});
  return {{"in_force", std::move(InForce)},
          {"behind", std::move(Behind)},
          {"not_heard", unansweredToJson(Survey)}};
}

std::string rolloutToText(const SurveyResult &Survey, ConfigVersion Version) {
  std::ostringstream Out;
  for (const auto &[Address, Host] : Survey.Answered)
    if (Host.Version < Version)
      Out << "entry host " << Host.Name.value() << " at " << toString(Address)
          << " still has version " << Host.Version.value() << "\n";
  for (const auto &[Address, Reason] : Survey.Unanswered)
    Out << "the entry host at " << toString(Address)
        << " did not answer: " << describe(Reason) << "\n";
  return Out.str();
}

std::string statusToText(const SurveyResult &Survey,
                         const std::optional<config::PublishedSet> &Published) {
  std::ostringstream Out;
  if (Published)
    Out << "published version " << Published->ManifestContent.Version.value()
        << "\n"
        << evacuationsToText(Published->Objects);
  for (const auto &[Address, Host] : Survey.Answered)
    printHost(Out, Host);
  for (const auto &[Address, Reason] : Survey.Unanswered)
    Out << toString(Address) << ": did not answer: " << describe(Reason)
        << "\n";
  return Out.str();
}

Json statusToJson(const SurveyResult &Survey,
                  const std::optional<config::PublishedSet> &Published) {
  Json Hosts = Json::array();
  for (const auto &[Address, Host] : Survey.Answered)
    Hosts.push_back(hostToJson(Address, Host));
  Json Result = {{"hosts", std::move(Hosts)},
                 {"not_heard", unansweredToJson(Survey)},
                 {"version", nullptr},
                 {"evacuations", nullptr}};
  if (!Published)
    return Result;
  Result["version"] = Published->ManifestContent.Version.value();
  Result["evacuations"] = evacuationsToJson(Published->Objects);
  return Result;
}

} // namespace buckthorndeck::operators
