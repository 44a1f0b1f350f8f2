#include "buckthorndeck/forwarding/Snapshot.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/forwarding/Limits.h"
#include "buckthorndeck/forwarding/internal/RegistryFields.h"

namespace buckthorndeck::forwarding {

namespace {

constexpr const char *Step = "read snapshot";
//! For how long a snapshot lists a removed entry. A copy of the store that
//! still has it is some seconds old.
constexpr Milliseconds RemovedEntryLifetime{60'000};

} // namespace

Bytes encodeSnapshot(ServerDirectory &Servers, const RouteTable &Routes,
                     StorePosition AsOf, TimePoint Now) {
  Json ServerList = Json::array();
  Json Removed = Json::array();
  Servers.forEach([&](const Server &Backend) {
    if (Backend.Registered)
      ServerList.push_back(encodeServer(Backend, Now));
    else if (Servers.isLatest(Backend) &&
             Now - Backend.RemovedAt <= RemovedEntryLifetime)
      Removed.push_back(encodeServer(Backend, Now));
  });
  Json Withheld = Json::array();
  Servers.forEachWithheld([&](const RegistryEntry &Entry) {
    Withheld.push_back(encodeEntry(Entry, Entry.Record.WarmupLeft));
  });
  Json EvacuationList = Json::array();
  Servers.evacuations().forEach([&](const EvacuationChange &Known) {
    EvacuationList.push_back(encodeEvacuation(Known));
  });
  Json Snapshot = encodeRoutes(Routes);
  Snapshot["as_of"] = AsOf.Revision.value();
  Snapshot["era"] = AsOf.Era.value();
  Snapshot["withheld"] = std::move(Withheld);
  Snapshot["removed"] = std::move(Removed);
  Snapshot["servers"] = std::move(ServerList);
  Snapshot["evacuations"] = std::move(EvacuationList);
  return encodeCbor(Snapshot);
}

Expected<RegistryChanges> decodeSnapshot(ByteView Data,
                                         const std::string &Source) {
  const auto Document = decodeCbor(Data, Step, Source);
  if (!Document)
    return Unexpected(Document.error());
  if (!Document->is_object())
    return Unexpected(Error{.Code = ErrorCode::Invalid,
                            .Step = Step,
                            .Peer = Source,
                            .Message = "the snapshot is not a CBOR object"});
  FieldReader Fields(*Document, Step, Source);
  RegistryChanges Changes{
      .AsOf = {.Era = readEra(Fields, *Document).value_or(StoreEra()),
               .Revision = StoreRevision(Fields.number("as_of"))}};
  const Json *ServerList = Fields.array("servers", MaxServers);
  if (Fields.failed())
    return Unexpected(Fields.error());
  const StoreEra Era = Changes.AsOf.Era;
  decodeServers(*ServerList, Step, Source, Era, Changes.Servers);
  // Hosts of earlier versions withhold nothing.
  if (Document->contains("withheld")) {
    const Json *Withheld = Fields.array("withheld", MaxServers);
    if (Fields.failed())
      return Unexpected(Fields.error());
    decodeServers(*Withheld, Step, Source, Era, Changes.Servers);
  }
  // Nor do they list what was removed.
  if (Document->contains("removed")) {
    const Json *Removed = Fields.array("removed", MaxServers);
    if (Fields.failed())
      return Unexpected(Fields.error());
    std::vector<ServerChange> Decoded;
    decodeServers(*Removed, Step, Source, Era, Decoded);
    for (ServerChange &Change : Decoded)
      if (Change.Record)
        Changes.Removed.push_back(
            {.Record = std::move(*Change.Record), .Position = Change.Position});
  }
  if (const auto Unreadable =
          decodeEvacuations(*Document, Step, Source, Changes))
    return Unexpected(*Unreadable);
  auto Routes = decodeRoutes(*Document, Step, Source);
  if (!Routes)
    return Unexpected(Routes.error());
  Changes.Routes = std::move(*Routes);
  return Changes;
}

} // namespace buckthorndeck::forwarding
