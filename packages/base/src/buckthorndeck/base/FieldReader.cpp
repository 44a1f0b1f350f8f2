#include "buckthorndeck/base/FieldReader.h"

namespace buckthorndeck {

FieldReader::FieldReader(const Json &Object, std::string Step, std::string Peer)
    : Object(Object), Step(std::move(Step)), Peer(std::move(Peer)) {
  if (!Object.is_object())
    Failure = Error{.Code = ErrorCode::Invalid,
                    .Step = this->Step,
                    .Peer = this->Peer,
                    .Message = "the message is not a map"};
}

void FieldReader::fail(const char *Name, const std::string &Expected) {
  if (Failure)
    return;
  Failure =
      Error{.Code = ErrorCode::Invalid,
            .Step = Step,
            .Peer = Peer,
            .Message = std::string("field ") + Name + ": expected " + Expected};
}

const Json *FieldReader::find(const char *Name) {
  if (Failure)
    return nullptr;
  auto Found = Object.find(Name);
  if (Found == Object.end()) {
    fail(Name, "a value, found none");
    return nullptr;
  }
  return &*Found;
}

std::uint64_t FieldReader::number(const char *Name, std::uint64_t Max,
                                  std::uint64_t Min) {
  const Json *Field = find(Name);
  if (!Field)
    return Min;
  if (!Field->is_number_unsigned() || Field->get<std::uint64_t>() > Max ||
      Field->get<std::uint64_t>() < Min) {
    fail(Name, "an integer from " + std::to_string(Min) + " to " +
                   std::to_string(Max));
    return Min;
  }
  return Field->get<std::uint64_t>();
}

double FieldReader::real(const char *Name, double Max) {
  const Json *Field = find(Name);
  if (!Field)
    return 0;
  // Also refuses NaN, which CBOR can hold.
  if (!Field->is_number() ||
      !(Field->get<double>() >= 0 && Field->get<double>() <= Max)) {
    // A text or a list may be as long as the document.
    fail(Name, "a number from 0 to " + Json(Max).dump() + ", found " +
                   (Field->is_number() ? Field->dump()
                                       : std::string(Field->type_name())));
    return 0;
  }
  return Field->get<double>();
}

bool FieldReader::flag(const char *Name) {
  const Json *Field = find(Name);
  if (!Field)
    return false;
  if (!Field->is_boolean()) {
    fail(Name, "a boolean");
    return false;
  }
  return Field->get<bool>();
}

std::string FieldReader::text(const char *Name, std::size_t MaxLength,
                              std::size_t MinLength) {
  const Json *Field = find(Name);
  if (!Field)
    return {};
  if (!Field->is_string() ||
      Field->get_ref<const std::string &>().size() > MaxLength ||
      Field->get_ref<const std::string &>().size() < MinLength) {
    fail(Name, "text of " + std::to_string(MinLength) + " to " +
                   std::to_string(MaxLength) + " bytes");
    return {};
  }
  return Field->get<std::string>();
}

Bytes FieldReader::bytes(const char *Name, std::size_t MaxLength) {
  const Json *Field = find(Name);
  if (!Field)
    return {};
  if (!Field->is_binary() || Field->get_binary().size() > MaxLength) {
    fail(Name,
         "a byte string of at most " + std::to_string(MaxLength) + " bytes");
    return {};
  }
  return Field->get_binary();
}

const Json *FieldReader::array(const char *Name, std::size_t MaxLength) {
  const Json *Field = find(Name);
  if (!Field)
    return nullptr;
  if (!Field->is_array() || Field->size() > MaxLength) {
    fail(Name, "an array of at most " + std::to_string(MaxLength) + " items");
    return nullptr;
  }
  return Field;
}

} // namespace buckthorndeck
