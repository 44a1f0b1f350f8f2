#include "buckthorndeck/base/JsonSchema.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace buckthorndeck;

namespace {

const Json &schema() {
  static const Json Schema = Json::parse(R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["name", "port"],
    "properties": {
      "name": {"type": "string", "minLength": 1},
      "port": {"type": "integer", "minimum": 1, "maximum": 65535},
      "peers": {"type": "array", "items": {
        "type": "object", "additionalProperties": false,
        "properties": {"weight": {"type": "integer", "minimum": 0}}}}
    }})");
  return Schema;
}

bool reports(const std::vector<SchemaError> &Errors, const std::string &Key) {
  return std::any_of(Errors.begin(), Errors.end(),
                     [&](const SchemaError &E) { return E.Key == Key; });
}

} // namespace

TEST_CASE("A document that matches its schema has no errors", "[schema]") {
  const Json Document = {{"name", "a"}, {"port", 1}};
  CHECK(checkSchema("f.json", Document, schema()).empty());
}

TEST_CASE("All violations of a document are reported at once", "[schema]") {
  // Guards against a checker that stops at the first error, which makes an
  // operator run it once per mistake.
  const Json Document = {{"port", 70000},
                         {"colour", "red"},
                         {"peers", {{{"weight", -1}}, {{"size", 2}}}}};
  const auto Errors = checkSchema("f.json", Document, schema());
  CHECK(reports(Errors, "name"));
  CHECK(reports(Errors, "port"));
  CHECK(reports(Errors, "colour"));
  CHECK(reports(Errors, "peers[0].weight"));
  CHECK(reports(Errors, "peers[1].size"));
  CHECK(Errors.size() == 5);
}

TEST_CASE("A violation names file, key, found and expected value", "[schema]") {
  const Json Document = {{"name", "a"}, {"port", "http"}};
  const auto Errors = checkSchema("f.json", Document, schema());
  REQUIRE(Errors.size() == 1);
  CHECK(describe(Errors[0]) == "f.json: port: found \"http\", expected integer "
                               "of at least 1 of at most 65535");
}

TEST_CASE("A document of the wrong type is reported as a whole", "[schema]") {
  const auto Errors = checkSchema("f.json", Json::array(), schema());
  REQUIRE(Errors.size() == 1);
  CHECK(describe(Errors[0]) ==
        "f.json: the document: found [], expected object");
}
