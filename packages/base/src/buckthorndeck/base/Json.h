#ifndef BUCKTHORNDECK_BASE_JSON_H
#define BUCKTHORNDECK_BASE_JSON_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Error.h"

#include <nlohmann/json.hpp>

namespace buckthorndeck {

using Json = nlohmann::json;

//! Decodes one CBOR item that fills View. Trailing bytes are an error.
Expected<Json> decodeCbor(ByteView View, const std::string &Step,
                          const std::string &Peer);

//! Encodes Value as CBOR.
Bytes encodeCbor(const Json &Value);

//! A CBOR byte string that holds Value.
Json binary(Bytes Value);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_JSON_H
