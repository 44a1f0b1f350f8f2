#ifndef BUCKTHORNDECK_CONFIG_INTERNAL_OBJECTFIELDS_H
#define BUCKTHORNDECK_CONFIG_INTERNAL_OBJECTFIELDS_H

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/config/Objects.h"

namespace buckthorndeck::config {

Json objectToJson(const Place &Object);
Json objectToJson(const Service &Object);
Json objectToJson(const BackendServer &Object);
Json objectToJson(const Rule &Object);
Json objectToJson(const EntryHostDrain &Object);
Json objectToJson(const Evacuation &Object);

//! Read the fields of one object. Errors are kept in the reader.
void readObject(FieldReader &Fields, Place &Object);
void readObject(FieldReader &Fields, Service &Object);
void readObject(FieldReader &Fields, BackendServer &Object);
void readObject(FieldReader &Fields, Rule &Object);
void readObject(FieldReader &Fields, EntryHostDrain &Object);
void readObject(FieldReader &Fields, Evacuation &Object);

//! Reads an array of objects into Into. The error states kind and index.
template <typename Object>
Expected<void> readObjects(const Json &Items, const std::string &Kind,
                           const std::string &Step, const std::string &Peer,
                           std::map<ObjectName, Object> &Into) {
  std::size_t Index = 0;
  for (const Json &Item : Items) {
    std::string ItemStep = Step;
    ItemStep.append(" ").append(Kind).append("[");
    ItemStep.append(std::to_string(Index++)).append("]");
    FieldReader Fields(Item, ItemStep, Peer);
    Object Read;
    readObject(Fields, Read);
    if (!Fields.failed() && Into.contains(Read.Name))
      Fields.fail("name",
                  "a name not used before by an object of this kind, found " +
                      Read.Name.value());
    if (Fields.failed())
      return Unexpected(Fields.error());
    Into.emplace(Read.Name, std::move(Read));
  }
  return {};
}

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_INTERNAL_OBJECTFIELDS_H
