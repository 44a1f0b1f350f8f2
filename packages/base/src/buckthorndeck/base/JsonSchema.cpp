#include "buckthorndeck/base/JsonSchema.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace buckthorndeck {

namespace {

constexpr std::size_t MaxFoundLength = 80;

//! A step of a path as valijson prints it: "[name]" or "[3]".
std::string stripBrackets(const std::string &Step) {
  if (Step.size() >= 2 && Step.front() == '[' && Step.back() == ']')
    return Step.substr(1, Step.size() - 2);
  return Step;
}

//! Follows one path through a document and, as far as it describes the path,
//! through the schema.
class PathWalk {
public:
  PathWalk(const Json &Document, const Json &Schema)
      : Value(&Document), Rule(&Schema) {}

  void enter(const std::string &Name) {
    if (Value && Value->is_array())
      enterItem(Name);
    else
      enterProperty(Name);
  }

  const std::string &key() const { return Key; }
  const Json *value() const { return Value; }
  const Json *rule() const { return Rule; }

private:
  void enterItem(const std::string &Name) {
    Key.append("[").append(Name).append("]");
    const std::size_t Index = std::stoul(Name);
    Value = Index < Value->size() ? &(*Value)[Index] : nullptr;
    Rule = child(Rule, "items");
  }

  void enterProperty(const std::string &Name) {
    if (!Key.empty())
      Key += '.';
    Key += Name;
    Value = child(Value, Name);
    const Json *Properties = child(Rule, "properties");
    const Json *Named = child(Properties, Name);
    Rule = Named ? Named : child(Rule, "additionalProperties");
  }

  static const Json *child(const Json *Parent, const std::string &Name) {
    if (!Parent || !Parent->is_object() || !Parent->contains(Name))
      return nullptr;
    return &Parent->at(Name);
  }

  const Json *Value;
  const Json *Rule;
  std::string Key;
};

std::string describeType(const Json &Rule) {
  if (Rule.contains("enum"))
    return "one of " + Rule["enum"].dump();
  std::string Text = Rule.value("type", std::string("a value"));
  const auto Append = [&](const char *Word, const char *Name) {
    if (Rule.contains(Name))
      Text += std::string(" ") + Word + " " + Rule[Name].dump();
  };
  Append("of at least", "minimum");
  Append("of at most", "maximum");
  Append("with at least this many characters:", "minLength");
  Append("with at most this many characters:", "maxLength");
  Append("with at least this many items:", "minItems");
  Append("with at most this many items:", "maxItems");
  Append("that matches", "pattern");
  return Text;
}

std::string describeExpected(const Json *Rule) {
  if (!Rule || !Rule->is_object())
    return "no such key";
  std::string Text = describeType(*Rule);
  if (Rule->contains("description"))
    Text += " (" + (*Rule)["description"].get<std::string>() + ")";
  return Text;
}

std::string abbreviate(const Json *Value) {
  if (!Value)
    return "nothing";
  std::string Text = Value->dump();
  if (Text.size() > MaxFoundLength)
    Text = Text.substr(0, MaxFoundLength) + "...";
  return Text;
}

//! Unknown and missing keys, named one by one; the library reports only that
//! the object around them is wrong.
void checkKeys(const PathWalk &Walk, const std::string &File,
               std::vector<SchemaError> &Errors) {
  const Json *Rule = Walk.rule();
  const Json *Value = Walk.value();
  if (!Rule || !Value || !Value->is_object() || !Rule->is_object())
    return;
  const Json None = Json::object();
  const Json &Properties =
      Rule->contains("properties") ? Rule->at("properties") : None;
  const std::string Prefix = Walk.key().empty() ? "" : Walk.key() + ".";
  const bool Closed = Rule->contains("additionalProperties") &&
                      Rule->at("additionalProperties") == false;
  for (const auto &[Name, Item] : Value->items())
    if (Closed && !Properties.contains(Name))
      Errors.push_back({.File = File,
                        .Key = Prefix + Name,
                        .Found = abbreviate(&Item),
                        .Expected = "no such key"});
  if (!Rule->contains("required"))
    return;
  for (const Json &Name : Rule->at("required"))
    if (!Value->contains(Name.get<std::string>()))
      Errors.push_back({.File = File,
                        .Key = Prefix + Name.get<std::string>(),
                        .Found = "nothing",
                        .Expected = describeExpected(
                            Properties.contains(Name.get<std::string>())
                                ? &Properties.at(Name.get<std::string>())
                                : &None)});
}

//! An object's own entry repeats what its keys' entries say.
bool isKeyViolation(const PathWalk &Walk) {
  return Walk.value() && Walk.value()->is_object() && Walk.rule() &&
         Walk.rule()->is_object() &&
         Walk.rule()->value("type", std::string("object")) == "object";
}

bool isInside(const std::string &Key, const std::string &Parent) {
  return Key.size() > Parent.size() && Key.starts_with(Parent) &&
         (Key[Parent.size()] == '.' || Key[Parent.size()] == '[');
}

//! Removes entries that only say that something inside them is wrong.
void removeParents(std::vector<SchemaError> &Errors) {
  const std::vector<SchemaError> All = Errors;
  std::erase_if(Errors, [&](const SchemaError &Candidate) {
    return std::any_of(All.begin(), All.end(), [&](const SchemaError &Other) {
      return isInside(Other.Key, Candidate.Key);
    });
  });
}

} // namespace

std::string describe(const SchemaError &Violation) {
  return Violation.File + ": " +
         (Violation.Key.empty() ? "the document" : Violation.Key) + ": found " +
         Violation.Found + ", expected " + Violation.Expected;
}

std::vector<SchemaError> checkSchema(const std::string &File,
                                     const Json &Document, const Json &Schema) {
  valijson::Schema Compiled;
  valijson::SchemaParser Parser;
  const valijson::adapters::NlohmannJsonAdapter SchemaAdapter(Schema);
  Parser.populateSchema(SchemaAdapter, Compiled);
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  const valijson::adapters::NlohmannJsonAdapter DocumentAdapter(Document);
  std::vector<SchemaError> Errors;
  if (Validator.validate(Compiled, DocumentAdapter, &Results))
    return Errors;
  std::set<std::string> Seen;
  valijson::ValidationResults::Error Failure;
  while (Results.popError(Failure)) {
    PathWalk Walk(Document, Schema);
    for (std::size_t Step = 1; Step < Failure.context.size(); ++Step)
      Walk.enter(stripBrackets(Failure.context[Step]));
    if (!Seen.insert(Walk.key()).second)
      continue;
    if (isKeyViolation(Walk))
      checkKeys(Walk, File, Errors);
    else
      Errors.push_back({.File = File,
                        .Key = Walk.key(),
                        .Found = abbreviate(Walk.value()),
                        .Expected = describeExpected(Walk.rule())});
  }
  removeParents(Errors);
  return Errors;
}

Expected<Json> readJsonFile(const std::string &File) {
  const auto Failed = [&](ErrorCode Code, const std::string &Message) {
    return Unexpected(Error{.Code = Code,
                            .Step = "read JSON file",
                            .Peer = File,
                            .Message = Message});
  };
  std::ifstream Stream(File);
  if (!Stream)
    return Failed(ErrorCode::NotFound, "the file cannot be opened");
  std::ostringstream Text;
  Text << Stream.rdbuf();
  try {
    return Json::parse(Text.str());
  } catch (const Json::parse_error &Caught) {
    return Failed(ErrorCode::Invalid, Caught.what());
  }
}

} // namespace buckthorndeck
