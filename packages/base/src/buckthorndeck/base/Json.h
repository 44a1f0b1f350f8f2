#ifndef BUCKTHORNDECK_BASE_JSON_H
#define BUCKTHORNDECK_BASE_JSON_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Error.h"

#include <nlohmann/json.hpp>

namespace buckthorndeck {

using Json = nlohmann::json;

//! Levels of arrays and maps in one CBOR item. Messages nest less than half as
//! deep.
inline constexpr std::size_t MaxCborDepth = 32;

//! Decodes one CBOR item that fills View. Trailing bytes, tags, lengths that
//! are not stated up front and more than MaxCborDepth levels are errors.
Expected<Json> decodeCbor(ByteView View, const std::string &Step,
                          const std::string &Peer);

//! Encodes Value as CBOR.
Bytes encodeCbor(const Json &Value);

//! A CBOR byte string that holds Value.
Json binary(Bytes Value);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_JSON_H
