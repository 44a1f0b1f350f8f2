#ifndef BUCKTHORNDECK_BASE_JSONSCHEMA_H
#define BUCKTHORNDECK_BASE_JSONSCHEMA_H

#include "buckthorndeck/base/Json.h"

#include <string>
#include <vector>

namespace buckthorndeck {

//! One violation of a schema in a JSON file.
struct SchemaError {
  std::string File;
  std::string Key;      //!< Path such as "listen.port" or "hosts[2].name".
  std::string Found;    //!< The value found, as JSON, cut if long.
  std::string Expected; //!< What the schema asks for, in words.
};

//! "file: key: found X, expected Y".
std::string describe(const SchemaError &Violation);

/**
 * Checks Document against a JSON Schema and returns every violation.
 *
 * File only names the document in the errors. A property's "description" in
 * the schema becomes part of the expected text.
 */
std::vector<SchemaError> checkSchema(const std::string &File,
                                     const Json &Document, const Json &Schema);

//! Reads and parses a JSON file. A syntax error names line and column.
Expected<Json> readJsonFile(const std::string &File);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_JSONSCHEMA_H
