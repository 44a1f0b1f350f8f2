#ifndef BUCKTHORNDECK_CONFIG_OBJECTJSON_H
#define BUCKTHORNDECK_CONFIG_OBJECTJSON_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Json.h"

#include <string>

namespace buckthorndeck::config {

struct ObjectSet;

/**
 * The stored form of a set: {"places": [...], ...} with full names.
 *
 * Every field is present and objects are in the order of their names, so that
 * equal sets have the same text. Evacuations are left out while there are none,
 * so that the text is also the one of versions that do not know them.
 */
Json toJson(const ObjectSet &Objects);

//! Reads the stored form. Checks types and ranges of fields and fails with
//! Invalid; references are checked by validate(). Peer is the source of Value,
//! for the error.
Expected<ObjectSet> fromJson(const Json &Value, const std::string &Peer = "");

//! XXH3-64 of the text of the stored form.
Digest digestOf(const ObjectSet &Objects);

//! A digest as 16 hexadecimal digits; as a JSON number it could be rounded.
std::string formatDigest(Digest Value);
//! Reads the result of formatDigest(); fails with Invalid.
Expected<Digest> parseDigest(const std::string &Text);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_OBJECTJSON_H
