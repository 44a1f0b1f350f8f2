#include "buckthorndeck/base/FieldReader.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace buckthorndeck;

namespace {

const Json &fields() {
  static const Json Fields = {
      {"n", 7u},        {"neg", -1},       {"real", 7.0},
      {"flag", true},   {"text", "abc"},   {"bytes", binary({1, 2, 3})},
      {"list", {1, 2}}, {"null", nullptr}, {"map", Json::object()}};
  return Fields;
}

struct BadField {
  const char *Name;
  std::function<void(FieldReader &)> Read;
};

} // namespace

TEST_CASE("Fields of the right type and range are read", "[fields]") {
  FieldReader Reader(fields(), "read", "peer");
  CHECK(Reader.number("n") == 7);
  CHECK(Reader.number("n", /*Max=*/7, /*Min=*/7) == 7);
  CHECK(Reader.flag("flag"));
  CHECK(Reader.text("text", /*MaxLength=*/3, /*MinLength=*/3) == "abc");
  CHECK(Reader.bytes("bytes", /*MaxLength=*/3) == Bytes{1, 2, 3});
  REQUIRE(Reader.array("list", /*MaxLength=*/2));
  CHECK(Reader.array("list", 2)->size() == 2);
  CHECK_FALSE(Reader.failed());
}

TEST_CASE("A missing, mistyped or out-of-range field is refused", "[fields]") {
  const std::vector<BadField> Rows = {
      {"missing number", [](FieldReader &R) { R.number("none"); }},
      {"missing flag", [](FieldReader &R) { R.flag("none"); }},
      {"missing text", [](FieldReader &R) { R.text("none", 9); }},
      {"missing bytes", [](FieldReader &R) { R.bytes("none", 9); }},
      {"missing array", [](FieldReader &R) { R.array("none", 9); }},
      {"number over the maximum", [](FieldReader &R) { R.number("n", 6); }},
      {"number under the minimum", [](FieldReader &R) { R.number("n", 9, 8); }},
      {"negative number", [](FieldReader &R) { R.number("neg"); }},
      {"real number", [](FieldReader &R) { R.number("real"); }},
      {"boolean as number", [](FieldReader &R) { R.number("flag"); }},
      {"null as number", [](FieldReader &R) { R.number("null"); }},
      {"number as flag", [](FieldReader &R) { R.flag("n"); }},
      {"text too long", [](FieldReader &R) { R.text("text", 2); }},
      {"text too short", [](FieldReader &R) { R.text("text", 9, 4); }},
      {"bytes as text", [](FieldReader &R) { R.text("bytes", 9); }},
      {"bytes too long", [](FieldReader &R) { R.bytes("bytes", 2); }},
      {"text as bytes", [](FieldReader &R) { R.bytes("text", 9); }},
      {"array too long", [](FieldReader &R) { R.array("list", 1); }},
      {"map as array", [](FieldReader &R) { R.array("map", 9); }},
  };
  for (const BadField &Row : Rows) {
    INFO(Row.Name);
    FieldReader Reader(fields(), "read", "peer");
    Row.Read(Reader);
    REQUIRE(Reader.failed());
    CHECK(Reader.error().Code == ErrorCode::Invalid);
    CHECK(Reader.error().Step == "read");
    CHECK(Reader.error().Peer == "peer");
  }
}

TEST_CASE("A message that is not a map has no readable field", "[fields]") {
  for (const Json &Value : {Json(), Json(1), Json("a"), Json::array({1})}) {
    FieldReader Reader(Value, "read", "peer");
    CHECK(Reader.failed());
    CHECK(Reader.number("n", 9, 3) == 3);
    CHECK(Reader.text("t", 9).empty());
  }
}

TEST_CASE("The first bad field is the one reported", "[fields]") {
  // Guards against an error that names a field which was only read after the
  // one that is wrong.
  FieldReader Reader(fields(), "read", "peer");
  Reader.flag("n");
  Reader.number("none");
  CHECK(Reader.error().Message.find("field n:") == 0);
  CHECK(Reader.number("n") == 0);
}
