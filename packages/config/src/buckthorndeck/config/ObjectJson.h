#ifndef BUCKTHORNDECK_CONFIG_OBJECTJSON_H
#define BUCKTHORNDECK_CONFIG_OBJECTJSON_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Json.h"

#include <string>

namespace buckthorndeck::config {

struct ObjectSet;

/**
 * The stored form: {"places": [...], ...} with full names, every field
 * present and objects in the order of their names, so that equal sets have
 * equal text.
 */
Json toJson(const ObjectSet &Objects);

//! Reads the stored form. Peer names its origin in the error. Checks types
//! and ranges of fields; references are checked by validate().
Expected<ObjectSet> fromJson(const Json &Value, const std::string &Peer = "");

//! XXH3-64 over the text of the stored form.
Digest digestOf(const ObjectSet &Objects);

//! A digest as 16 hexadecimal digits, since JSON readers round large numbers.
std::string formatDigest(Digest Value);
Expected<Digest> parseDigest(const std::string &Text);

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_OBJECTJSON_H
