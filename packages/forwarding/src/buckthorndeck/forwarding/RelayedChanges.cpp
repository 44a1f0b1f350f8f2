#include "buckthorndeck/forwarding/RelayedChanges.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/forwarding/Limits.h"
#include "buckthorndeck/forwarding/internal/RegistryFields.h"

#include <charconv>

namespace buckthorndeck::forwarding {

namespace {

constexpr const char *Step = "read changes";
constexpr std::string_view Path = "/changes?after=";
constexpr std::string_view ConfigParameter = "&config=";

//! Removes a decimal number from the front of Text.
std::optional<std::uint64_t> takeNumber(std::string_view &Text) {
  std::uint64_t Value = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Code != std::errc())
    return std::nullopt;
  Text.remove_prefix(static_cast<std::size_t>(End - Text.data()));
  return Value;
}

Expected<ServerChange> decodeRemoval(const Json &Value, StoreEra Era,
                                     const std::string &Source) {
  FieldReader Fields(Value, Step, Source);
  ServerChange Result{
      .Name = Fields.text("name", MaxNameBytes, 1),
      .Position = {.Era = Era,
                   .Revision = StoreRevision(Fields.number("revision"))}};
  if (Fields.failed())
    return Unexpected(Fields.error());
  return Result;
}

} // namespace

std::string changesTarget(const ChangeQuery &Query) {
  return std::string(Path) + std::to_string(Query.After.value()) +
         std::string(ConfigParameter) + std::to_string(Query.Config.value());
}

std::optional<ChangeQuery> parseChangesTarget(std::string_view Target) {
  if (!Target.starts_with(Path))
    return std::nullopt;
  Target.remove_prefix(Path.size());
  const auto After = takeNumber(Target);
  if (!After || !Target.starts_with(ConfigParameter))
    return std::nullopt;
  Target.remove_prefix(ConfigParameter.size());
  const auto Config = takeNumber(Target);
  if (!Config || !Target.empty())
    return std::nullopt;
  return ChangeQuery{.After = StoreRevision(*After),
                     .Config = ConfigVersion(*Config)};
}

Bytes encodeChanges(ServerDirectory &Servers, const RouteTable &Routes,
                    const ChangeQuery &Query, StorePosition AsOf,
                    Milliseconds Age, TimePoint Now) {
  const StorePosition After{.Era = AsOf.Era, .Revision = Query.After};
  Json Updated = Json::array();
  Json Removed = Json::array();
  Servers.forEach([&](const Server &Backend) {
    if (Backend.Position <= After)
      return;
    if (Backend.Registered)
      Updated.push_back(encodeServer(Backend, Now));
    else if (Servers.isLatest(Backend))
      Removed.push_back({{"name", Backend.Record.Name},
                         {"revision", Backend.Position.Revision.value()}});
  });
  Json EvacuationList = Json::array();
  Servers.evacuations().forEach([&](const EvacuationChange &Known) {
    // One that this era has not confirmed has no position after which the
    // follower could ask for it.
    if (Known.State.Position > After ||
        (Known.State.Evacuated && Known.State.Position.Era < AsOf.Era))
      EvacuationList.push_back(encodeEvacuation(Known));
  });
  Json Message{{"as_of", AsOf.Revision.value()},
               {"era", AsOf.Era.value()},
               {"age_ms", Age.count()},
               {"updated", std::move(Updated)},
               {"removed", std::move(Removed)},
               {"evacuations", std::move(EvacuationList)}};
  if (Routes.version() > Query.Config)
    Message["routes"] = encodeRoutes(Routes);
  return encodeCbor(Message);
}

Bytes encodeRefusal(StoreEra Era) {
  return encodeCbor(Json{{"era", Era.value()}});
}

std::optional<StoreEra> decodeRefusal(ByteView Data) {
  const auto Document = decodeCbor(Data, Step, "");
  if (!Document)
    return std::nullopt;
  FieldReader Fields(*Document, Step, "");
  const auto Era = readEra(Fields, *Document);
  return Fields.failed() ? std::nullopt : Era;
}

Expected<RelayedChanges> decodeChanges(ByteView Data,
                                       const std::string &Source) {
  const auto Document = decodeCbor(Data, Step, Source);
  if (!Document)
    return Unexpected(Document.error());
  FieldReader Fields(*Document, Step, Source);
  RelayedChanges Result;
  const std::optional<StoreEra> Era = readEra(Fields, *Document);
  Result.NamesEra = Era.has_value();
  Result.Changes.AsOf = {.Era = Era.value_or(StoreEra()),
                         .Revision = StoreRevision(Fields.number("as_of"))};
  Result.Age = Milliseconds(Fields.number("age_ms", MaxMilliseconds));
  const Json *Updated = Fields.array("updated", MaxServers);
  const Json *Removed = Fields.array("removed", MaxServers);
  if (Fields.failed())
    return Unexpected(Fields.error());
  const StoreEra Placed = Result.Changes.AsOf.Era;
  decodeServers(*Updated, Step, Source, Placed, Result.Changes.Servers);
  const auto Failure = decodeElements(
      *Removed,
      [&](const Json &Each) { return decodeRemoval(Each, Placed, Source); },
      Result.Changes.Servers);
  if (Failure)
    return Unexpected(*Failure);
  if (Document->contains("routes")) {
    auto Routes = decodeRoutes((*Document)["routes"], Step, Source);
    if (!Routes)
      return Unexpected(Routes.error());
    Result.Changes.Routes = std::move(*Routes);
  }
  if (const auto Unreadable =
          decodeEvacuations(*Document, Step, Source, Result.Changes))
    return Unexpected(*Unreadable);
  Result.Changes.Events = Result.Changes.Servers.size() +
                          Result.Changes.Evacuations.size() +
                          (Result.Changes.Routes ? 1 : 0);
  return Result;
}

} // namespace buckthorndeck::forwarding
