#include "buckthorndeck/base/Json.h"

namespace buckthorndeck {

namespace {

//! Deeper than any message of the protocols. The library's decoder calls
//! itself for every level, so 2 MB of nested arrays would overflow the stack.
constexpr std::size_t MaxDepth = 32;

//! Builds a value from the decoder's events and stops it at MaxDepth.
class LimitedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

public:
  explicit LimitedBuilder(Json &Result)
      : Base(Result, /*allow_exceptions_=*/false) {}

  // The names are the library's.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_object(std::size_t Length) {
    return ++Depth <= MaxDepth && Base::start_object(Length);
  }
  bool start_array(std::size_t Length) {
    return ++Depth <= MaxDepth && Base::start_array(Length);
  }
  bool end_object() {
    --Depth;
    return Base::end_object();
  }
  bool end_array() {
    --Depth;
    return Base::end_array();
  }
  // NOLINTEND(readability-identifier-naming)

private:
  std::size_t Depth = 0;
};

//! Whether View is one CBOR item, which is then in Result.
bool parseCbor(ByteView View, Json &Result) {
  LimitedBuilder Builder(Result);
  try {
    return Json::sax_parse(View.begin(), View.end(), &Builder,
                           Json::input_format_t::cbor, /*strict=*/true);
  } catch (const Json::exception &) {
    // The library throws for a stated length beyond its own limit even when
    // exceptions are off.
    return false;
  }
}

} // namespace

Expected<Json> decodeCbor(ByteView View, const std::string &Step,
                          const std::string &Peer) {
  Json Value;
  if (!parseCbor(View, Value))
    return Unexpected(Error{.Code = ErrorCode::Invalid,
                            .Step = Step,
                            .Peer = Peer,
                            .Message = "not a CBOR item"});
  return Value;
}

Bytes encodeCbor(const Json &Value) { return Json::to_cbor(Value); }

Json binary(Bytes Value) { return Json::binary(std::move(Value)); }

} // namespace buckthorndeck
