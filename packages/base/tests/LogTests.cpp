#include "buckthorndeck/base/Log.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>

using namespace buckthorndeck;

namespace {

using Fields = std::map<std::string, std::string>;

//! Reads one possibly quoted value that starts at Position.
std::optional<std::string> parseValue(const std::string &Line,
                                      std::size_t &Position) {
  if (Position >= Line.size() || Line[Position] != '"') {
    const std::size_t End = std::min(Line.find(' ', Position), Line.size());
    const std::string Value = Line.substr(Position, End - Position);
    Position = End;
    return Value;
  }
  std::string Value;
  for (++Position; Position < Line.size() && Line[Position] != '"';
       ++Position) {
    if (Line[Position] != '\\') {
      Value += Line[Position];
      continue;
    }
    const char Escape = Line.at(++Position);
    const std::size_t Known = std::string("nrt\"\\").find(Escape);
    if (Known != std::string::npos) {
      Value += "\n\r\t\"\\"[Known];
    } else if (Escape == 'x') {
      Value += static_cast<char>(
          std::stoi(Line.substr(Position + 1, 2), nullptr, 16));
      Position += 2;
    } else {
      return std::nullopt;
    }
  }
  if (Position >= Line.size())
    return std::nullopt;
  ++Position;
  return Value;
}

std::optional<Fields> parseLine(const std::string &Line) {
  Fields Result;
  std::size_t Position = 0;
  while (Position < Line.size()) {
    const std::size_t Equals = Line.find('=', Position);
    if (Equals == std::string::npos)
      return std::nullopt;
    const std::string Key = Line.substr(Position, Equals - Position);
    Position = Equals + 1;
    const auto Value = parseValue(Line, Position);
    if (!Value || !Result.emplace(Key, *Value).second)
      return std::nullopt;
    if (Position < Line.size() && Line[Position++] != ' ')
      return std::nullopt;
  }
  return Result;
}

//! Sends what is written to standard error into a string.
class CapturedStderr {
public:
  CapturedStderr() : Previous(std::cerr.rdbuf(Text.rdbuf())) {}
  ~CapturedStderr() { std::cerr.rdbuf(Previous); }
  CapturedStderr(const CapturedStderr &) = delete;
  CapturedStderr &operator=(const CapturedStderr &) = delete;
  std::string text() const { return Text.str(); }

private:
  std::ostringstream Text;
  std::streambuf *Previous;
};

} // namespace

TEST_CASE("Any value can be parsed back from its one line", "[log]") {
  // Guards against a caller's text that forges a field or a second line.
  std::string AllBytes;
  for (int Code = 0; Code < 256; ++Code)
    AllBytes += static_cast<char>(Code);
  const std::string Values[] = {
      "plain",       "",          " ",        "a b",      "\"quoted\"",
      "back\\slash", "end\\",     "a\nb\r\n", "tab\tnul", std::string(1, '\0'),
      "\x1b[31mred", "k=v x=\"y", "gärð",     "\x7f",     AllBytes};
  for (const std::string &Value : Values) {
    const std::string Line = formatFields({{"a", Value}, {"b", "end"}});
    INFO(Line);
    for (char C : Line)
      CHECK((static_cast<unsigned char>(C) >= 0x20 && C != 0x7f));
    CHECK(parseLine(Line) == Fields{{"a", Value}, {"b", "end"}});
  }
}

TEST_CASE("Only values that need quotes have them", "[log]") {
  CHECK(formatFields({{"host", "a-1.x:80"}, {"n", 5}, {"ok", true}}) ==
        "host=a-1.x:80 n=5 ok=true");
  CHECK(formatFields({{"text", ""}, {"other", "x y"}}) ==
        R"(text="" other="x y")");
}

TEST_CASE("A log line holds program, event and fields", "[log]") {
  // The program name is part of the layout pattern of the log library, where
  // a percent sign starts a conversion.
  CapturedStderr Captured;
  initLogging({.Program = "name %m %n"});
  log(LogLevel::Info, "first event", {{"peer", "a b"}});
  log(LogLevel::Debug, "below_threshold");
  const std::string Text = Captured.text();
  INFO(Text);
  REQUIRE(std::count(Text.begin(), Text.end(), '\n') == 1);
  const auto Parsed = parseLine(Text.substr(0, Text.size() - 1));
  REQUIRE(Parsed);
  CHECK(Parsed->at("program") == "name %m %n");
  CHECK(Parsed->at("event") == "first event");
  CHECK(Parsed->at("peer") == "a b");
  CHECK(Parsed->at("level") == "INFO");
}
