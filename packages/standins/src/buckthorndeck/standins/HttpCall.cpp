#include "buckthorndeck/standins/HttpCall.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>

namespace buckthorndeck::standins {

std::optional<HttpCall> parseHttpCall(const HttpRequest &Request) {
  const auto Target = boost::urls::parse_origin_form(Request.Target);
  if (!Target)
    return std::nullopt;
  HttpCall Result{.Method = Request.Method, .Path = Target->path()};
  for (const auto &Parameter : Target->params())
    Result.Query[Parameter.key] = Parameter.value;
  return Result;
}

std::optional<std::uint64_t> numberIn(const HttpCall &Received,
                                      const std::string &Name,
                                      std::optional<std::uint64_t> Default) {
  const auto Found = Received.Query.find(Name);
  if (Found == Received.Query.end())
    return Default;
  const std::string &Text = Found->second;
  std::uint64_t Value = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::string textIn(const HttpCall &Received, const std::string &Name) {
  const auto Found = Received.Query.find(Name);
  return Found == Received.Query.end() ? std::string() : Found->second;
}

} // namespace buckthorndeck::standins
