#include "buckthorndeck/operator/CommandLine.h"

#include "buckthorndeck/base/JsonSchema.h"

#include <charconv>
#include <docopt/docopt.h>

namespace buckthorndeck::operators {

namespace {

constexpr const char *Usage =
    R"(buckthornctl: checks and publishes the declared objects.

Usage:
  buckthornctl check [--json] PATH...
  buckthornctl diff [--settings=FILE] [--store=ADDRESS] [--timeout=MS] [--json] PATH...
  buckthornctl publish [--settings=FILE] [--store=ADDRESS] [--timeout=MS] [--json] [--author=NAME] [--base=VERSION] [--wait=MS] [--host=ADDRESS]... PATH...
  buckthornctl show [--settings=FILE] [--store=ADDRESS] [--timeout=MS] [--json] [--namespace=NAME]
  buckthornctl history [--settings=FILE] [--store=ADDRESS] [--timeout=MS] [--json] [--limit=N]
  buckthornctl (drain | undrain) server NAME [--settings=FILE] [--store=ADDRESS] [--timeout=MS] [--json] [--author=NAME] [--wait=MS] [--host=ADDRESS]...
  buckthornctl (drain | undrain) host NAME --namespace=NAME [--settings=FILE] [--store=ADDRESS] [--timeout=MS] [--json] [--author=NAME] [--wait=MS] [--host=ADDRESS]...
  buckthornctl (evacuate | restore) DOMAIN --namespace=NAME [--settings=FILE] [--store=ADDRESS] [--timeout=MS] [--json] [--author=NAME] [--wait=MS] [--host=ADDRESS]...
  buckthornctl status [--settings=FILE] [--store=ADDRESS] [--timeout=MS] [--json] [--host=ADDRESS]...
  buckthornctl explain SERVICE --host=ADDRESS [--timeout=MS] [--json]
  buckthornctl (-h | --help)
  buckthornctl --version

Arguments:
  PATH              Object file, or directory whose *.json files are read.
  NAME              Backend server as "namespace/name", or entry host.
  DOMAIN            Failure domain that gets no new requests.
  SERVICE           Service as "namespace/name".

Options:
  --settings=FILE   JSON file with "store", "author", "timeout_ms", "wait_ms".
  --store=ADDRESS   Key-value service, "a.b.c.d:port".
  --author=NAME     Who publishes; goes into the history.
  --timeout=MS      Limit on reading and writing the store (default 10000).
  --wait=MS         Time for entry hosts to confirm a version (default 10000);
                    0 does not ask them.
  --host=ADDRESS    Sync address of an entry host to ask besides those that the
                    platform lists.
  --base=VERSION    Version that the files were made from, or "current" to
                    replace whatever is published. May be left out only for the
                    first version.
  --namespace=NAME  For show: print this namespace as an object file. For
                    drains of entry hosts and for evacuations: namespace of
                    the object that is published.
  --limit=N         Versions to print, newest first (default 20).
  --json            Print one JSON document on standard output.
  -h --help         Show this text.
  --version         Show the version.

Exit codes:
  0  success
  1  the declared objects or the given name are wrong
  2  wrong usage or wrong settings
  3  the store, or for explain the host, did not answer; nothing was changed
  4  another operator published first; nothing was changed
  5  it is not known whether the change was published; see the history
  6  published, but not in force on every reachable entry host in time
)";

using ParsedArguments = std::map<std::string, docopt::value>;
using Failure = tl::unexpected<std::string>;

constexpr std::uint64_t MaxMilliseconds = 600'000;

const Json &settingsSchema() {
  static const Json Schema = Json::parse(R"({
    "type": "object", "additionalProperties": false,
    "properties": {
      "store": {"type": "string", "description": "address and port of the key-value service"},
      "author": {"type": "string", "minLength": 1, "maxLength": 128},
      "timeout_ms": {"type": "integer", "minimum": 1, "maximum": 600000},
      "wait_ms": {"type": "integer", "minimum": 0, "maximum": 600000}
    }})");
  return Schema;
}

//! Reads typed values of parsed arguments. Keeps only the first error.
class ArgumentReader {
public:
  explicit ArgumentReader(const ParsedArguments &Values) : Values(Values) {}

  bool flag(const char *Name) const { return Values.at(Name).asBool(); }

  std::string text(const char *Name) const {
    const docopt::value &Value = Values.at(Name);
    return Value ? Value.asString() : "";
  }

  std::vector<std::string> texts(const char *Name) const {
    const docopt::value &Value = Values.at(Name);
    return Value ? Value.asStringList() : std::vector<std::string>();
  }

  //! A number from Min to Max; no value if the option is absent or invalid.
  std::optional<std::uint64_t> number(const char *Name, std::uint64_t Min,
                                      std::uint64_t Max) {
    const std::string Text = text(Name);
    if (Text.empty())
      return std::nullopt;
    std::uint64_t Value = 0;
    const char *Last = Text.data() + Text.size();
    const auto [End, Code] = std::from_chars(Text.data(), Last, Value);
    if (Code == std::errc() && End == Last && Value >= Min && Value <= Max)
      return Value;
    fail(std::string(Name) + ": found \"" + Text +
         "\", expected a number from " + std::to_string(Min) + " to " +
         std::to_string(Max));
    return std::nullopt;
  }

  std::optional<TcpEndpoint> address(const char *Name,
                                     const std::string &Text) {
    const auto Parsed = parseTcpEndpoint(Text, Name);
    if (Parsed)
      return *Parsed;
    fail(std::string(Name) + ": found \"" + Text +
         "\", expected an IPv4 address and port");
    return std::nullopt;
  }

  void fail(const std::string &Message) {
    if (FirstError.empty())
      FirstError = Message;
  }

  const std::string &firstError() const { return FirstError; }

private:
  const ParsedArguments &Values;
  std::string FirstError;
};

Command commandOf(const ArgumentReader &Reader) {
  const std::pair<const char *, Command> Names[] = {
      {"check", Command::Check},     {"diff", Command::Diff},
      {"publish", Command::Publish}, {"show", Command::Show},
      {"history", Command::History}, {"drain", Command::Drain},
      {"undrain", Command::Undrain}, {"evacuate", Command::Evacuate},
      {"restore", Command::Restore}, {"status", Command::Status},
      {"explain", Command::Explain}};
  for (const auto &[Name, Value] : Names)
    if (Reader.flag(Name))
      return Value;
  return Command::Help;
}

void readSettings(const std::string &File, ArgumentReader &Reader,
                  Invocation &Result) {
  const auto Settings = readJsonFile(File);
  if (!Settings)
    return Reader.fail(File + ": " + Settings.error().Message);
  const auto Violations = checkSchema(File, *Settings, settingsSchema());
  if (!Violations.empty())
    return Reader.fail(describe(Violations.front()));
  if (Settings->contains("store"))
    Result.Store = Reader.address("store", Settings->at("store"));
  Result.Author = Settings->value("author", Result.Author);
  Result.StoreTimeout =
      Milliseconds(Settings->value("timeout_ms", Result.StoreTimeout.count()));
  Result.Wait = Milliseconds(Settings->value("wait_ms", Result.Wait.count()));
}

void readBase(ArgumentReader &Reader, Invocation &Result) {
  Result.BaseIsCurrent = Reader.text("--base") == "current";
  if (Result.BaseIsCurrent)
    return;
  const auto Version =
      Reader.number("--base", 0, std::numeric_limits<std::int64_t>::max());
  if (Version)
    Result.Base = ConfigVersion(*Version);
}

void readOptions(ArgumentReader &Reader, Invocation &Result) {
  if (!Reader.text("--settings").empty())
    readSettings(Reader.text("--settings"), Reader, Result);
  if (!Reader.text("--store").empty())
    Result.Store = Reader.address("--store", Reader.text("--store"));
  if (!Reader.text("--author").empty())
    Result.Author = Reader.text("--author");
  if (const auto Value = Reader.number("--timeout", 1, MaxMilliseconds))
    Result.StoreTimeout = Milliseconds(*Value);
  if (const auto Value = Reader.number("--wait", 0, MaxMilliseconds))
    Result.Wait = Milliseconds(*Value);
  if (const auto Value = Reader.number("--limit", 1, 200))
    Result.Limit = *Value;
  for (const std::string &Text : Reader.texts("--host"))
    if (const auto Host = Reader.address("--host", Text))
      Result.Hosts.push_back(*Host);
  readBase(Reader, Result);
}

//! Whether a command needs the address of the store.
bool needsStore(const Invocation &CommandLine) {
  return CommandLine.Action != Command::Check &&
         CommandLine.Action != Command::Explain &&
         (CommandLine.Action != Command::Status || CommandLine.Hosts.empty());
}

bool needsAuthor(Command Action) {
  return Action == Command::Publish || Action == Command::Drain ||
         Action == Command::Undrain || Action == Command::Evacuate ||
         Action == Command::Restore;
}

tl::expected<Invocation, std::string> interpret(const ParsedArguments &Values) {
  ArgumentReader Reader(Values);
  Invocation Result{.Action = commandOf(Reader), .Json = Reader.flag("--json")};
  Result.Paths = Reader.texts("PATH");
  const bool NamesDomain =
      Result.Action == Command::Evacuate || Result.Action == Command::Restore;
  Result.Name = Reader.text(Result.Action == Command::Explain ? "SERVICE"
                            : NamesDomain                     ? "DOMAIN"
                                                              : "NAME");
  Result.Namespace = Reader.text("--namespace");
  Result.Target =
      Reader.flag("host") ? DrainTarget::EntryHost : DrainTarget::BackendServer;
  readOptions(Reader, Result);
  if (!Reader.firstError().empty())
    return Failure(Reader.firstError());
  if (needsStore(Result) && !Result.Store)
    return Failure("no store address: give --store or \"store\" in the "
                   "settings file");
  if (needsAuthor(Result.Action) && Result.Author.empty())
    return Failure("no author: give --author or \"author\" in the settings "
                   "file");
  return Result;
}

} // namespace

const char *usage() { return Usage; }

tl::expected<Invocation, std::string>
parseCommandLine(const std::vector<std::string> &Arguments) {
  try {
    return interpret(docopt::docopt_parse(Usage, Arguments, /*help=*/true,
                                          /*version=*/true));
  } catch (const docopt::DocoptExitHelp &) {
    return Invocation{.Action = Command::Help};
  } catch (const docopt::DocoptExitVersion &) {
    return Invocation{.Action = Command::Version};
  } catch (const docopt::DocoptArgumentError &Caught) {
    return Failure(Caught.what());
  }
}

} // namespace buckthorndeck::operators
