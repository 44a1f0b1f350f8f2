#include "buckthorndeck/config/internal/ObjectFields.h"

#include "buckthorndeck/config/Limits.h"

namespace buckthorndeck::config {

namespace {

ObjectName readName(FieldReader &Fields, const char *Field) {
  return ObjectName(Fields.text(Field, MaxFullNameLength, 1));
}

std::uint32_t readNumber(FieldReader &Fields, const char *Field,
                         std::uint64_t Max, std::uint64_t Min) {
  return static_cast<std::uint32_t>(Fields.number(Field, Max, Min));
}

const char *toString(Objective Goal) {
  return Goal == Objective::Balance ? "balance" : "continuity";
}

Objective readObjective(FieldReader &Fields) {
  const std::string Text = Fields.text("objective", 16);
  if (Text != "balance" && Text != "continuity")
    Fields.fail("objective", "continuity or balance");
  return Text == "balance" ? Objective::Balance : Objective::Continuity;
}

} // namespace

Json objectToJson(const Place &Object) {
  return {{"name", Object.Name.value()},
          {"region", Object.Region.value()},
          {"failure_domain", Object.FailureDomain.value()}};
}

Json objectToJson(const Service &Object) {
  return {{"name", Object.Name.value()}, {"address", Object.Address.value()}};
}

Json objectToJson(const BackendServer &Object) {
  return {{"name", Object.Name.value()},
          {"place", Object.Place.value()},
          {"service", Object.Service.value()},
          {"address", Object.Address},
          {"generation", Object.ServerGeneration.value()},
          {"slots", Object.Slots},
          {"connections", Object.Connections},
          {"draining", Object.Draining}};
}

Json objectToJson(const Rule &Object) {
  Json Operations = Json::array();
  for (const Operation &Allowed : Object.Operations)
    Operations.push_back(
        {{"name", Allowed.Name}, {"idempotent", Allowed.Idempotent}});
  return {{"name", Object.Name.value()},
          {"service", Object.Service.value()},
          {"operations", std::move(Operations)},
          {"objective", toString(Object.Goal)},
          {"max_in_flight", Object.MaxInFlight},
          {"max_queued", Object.MaxQueued}};
}

Json objectToJson(const EntryHostDrain &Object) {
  return {{"name", Object.Name.value()}, {"host", Object.Host.value()}};
}

Json objectToJson(const Evacuation &Object) {
  return {{"name", Object.Name.value()},
          {"failure_domain", Object.FailureDomain.value()}};
}

void readObject(FieldReader &Fields, Place &Object) {
  Object.Name = readName(Fields, "name");
  Object.Region = RegionName(Fields.text("region", MaxNameLength, 1));
  Object.FailureDomain =
      FailureDomainName(Fields.text("failure_domain", MaxNameLength, 1));
}

void readObject(FieldReader &Fields, Service &Object) {
  Object.Name = readName(Fields, "name");
  Object.Address = ServiceAddress(Fields.text("address", MaxAddressLength, 1));
}

void readObject(FieldReader &Fields, BackendServer &Object) {
  Object.Name = readName(Fields, "name");
  Object.Place = readName(Fields, "place");
  Object.Service = readName(Fields, "service");
  Object.Address = Fields.text("address", MaxAddressLength, 1);
  Object.ServerGeneration =
      Generation(Fields.number("generation", MaxGeneration, 1));
  Object.Slots = readNumber(Fields, "slots", MaxSlots, 1);
  Object.Connections = readNumber(Fields, "connections", MaxConnections, 1);
  Object.Draining = Fields.flag("draining");
}

void readObject(FieldReader &Fields, Rule &Object) {
  Object.Name = readName(Fields, "name");
  Object.Service = readName(Fields, "service");
  const Json *Operations = Fields.array("operations", MaxOperations);
  if (!Operations)
    return;
  for (const Json &Item : *Operations) {
    FieldReader Inner(Item, "read operation", "");
    Operation Read;
    Read.Name = Inner.text("name", MaxOperationLength, 1);
    Read.Idempotent = Inner.flag("idempotent");
    if (Inner.failed())
      return Fields.fail(
          "operations",
          "operations with name and idempotent, found an invalid one: " +
              Inner.error().Message);
    Object.Operations.push_back(std::move(Read));
  }
  Object.Goal = readObjective(Fields);
  Object.MaxInFlight = readNumber(Fields, "max_in_flight", MaxRequestLimit, 1);
  Object.MaxQueued = readNumber(Fields, "max_queued", MaxRequestLimit, 0);
}

void readObject(FieldReader &Fields, EntryHostDrain &Object) {
  Object.Name = readName(Fields, "name");
  Object.Host = EntryHostName(Fields.text("host", MaxNameLength, 1));
}

void readObject(FieldReader &Fields, Evacuation &Object) {
  Object.Name = readName(Fields, "name");
  Object.FailureDomain =
      FailureDomainName(Fields.text("failure_domain", MaxNameLength, 1));
}

} // namespace buckthorndeck::config
