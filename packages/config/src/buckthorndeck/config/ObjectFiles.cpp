#include "buckthorndeck/config/ObjectFiles.h"

#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/config/internal/Kinds.h"
#include "buckthorndeck/config/internal/ObjectFields.h"

#include <algorithm>
#include <filesystem>
#include <set>

namespace buckthorndeck::config {

namespace {

//! JSON schema of an object file. It repeats the ranges of Limits.h, so that an
//! error message can state them. A reference may contain a slash, so that
//! validate() can report a reference to another namespace as such.
const Json &fileSchema() {
  static const Json Schema = Json::parse(R"({
    "type": "object", "additionalProperties": false, "required": ["namespace"],
    "properties": {
      "namespace": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"},
      "places": {"type": "array", "items": {
        "type": "object", "additionalProperties": false,
        "required": ["name", "region", "failure_domain"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"},
          "region": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"},
          "failure_domain": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"}}}},
      "services": {"type": "array", "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "address"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"},
          "address": {"type": "string", "minLength": 9, "maxLength": 21,
                      "description": "IPv4 address and UDP port"}}}},
      "backend_servers": {"type": "array", "items": {
        "type": "object", "additionalProperties": false,
        "required": ["name", "place", "service", "address", "generation", "slots"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"},
          "place": {"type": "string", "minLength": 1, "maxLength": 127},
          "service": {"type": "string", "minLength": 1, "maxLength": 127},
          "address": {"type": "string", "minLength": 9, "maxLength": 21,
                      "description": "IPv4 address and TCP port"},
          "generation": {"type": "integer", "minimum": 1, "maximum": 9007199254740991},
          "slots": {"type": "integer", "minimum": 1, "maximum": 1024},
          "connections": {"type": "integer", "minimum": 1, "maximum": 1000000},
          "draining": {"type": "boolean"}}}},
      "rules": {"type": "array", "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "service", "operations"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"},
          "service": {"type": "string", "minLength": 1, "maxLength": 127},
          "operations": {"type": "array", "minItems": 1, "maxItems": 64, "items": {
            "type": "object", "additionalProperties": false, "required": ["name", "idempotent"],
            "properties": {
              "name": {"type": "string", "pattern": "^[A-Za-z0-9_.-]{1,32}$"},
              "idempotent": {"type": "boolean"}}}},
          "objective": {"type": "string", "enum": ["continuity", "balance"]},
          "max_in_flight": {"type": "integer", "minimum": 1, "maximum": 1000000,
                            "description": "requests per entry host"},
          "max_queued": {"type": "integer", "minimum": 0, "maximum": 1000000,
                         "description": "waiting requests per entry host"}}}},
      "entry_host_drains": {"type": "array", "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "host"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"},
          "host": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"}}}},
      "evacuations": {"type": "array", "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "failure_domain"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"},
          "failure_domain": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"}}}}
    }})");
  return Schema;
}

//! Default values of the optional fields of a kind.
Json defaultsOf(const std::string &Kind) {
  if (Kind == "backend_server")
    return {{"connections", BackendServer().Connections}, {"draining", false}};
  if (Kind == "rule")
    return {{"objective", "continuity"},
            {"max_in_flight", Rule().MaxInFlight},
            {"max_queued", Rule().MaxQueued}};
  return Json::object();
}

//! Prefixes the names in one object with the namespace unless they have one.
void expandNames(Json &Item, const std::string &Namespace) {
  for (const char *Field : {"name", "place", "service"}) {
    const auto Found = Item.find(Field);
    if (Found == Item.end())
      continue;
    const std::string Short = Found->get<std::string>();
    if (Short.find('/') == std::string::npos)
      *Found = std::string(Namespace).append("/").append(Short);
  }
}

//! Result of checking one file against the schema.
struct FileCheck {
  std::vector<ConfigError> Errors;
  //! Keys such as "rules[2]" of objects that violate the schema.
  std::set<std::string> InvalidObjects;
  bool HasErrorsOutsideObjects = false; //!< Then no object is read.
};

//! Records a violation. Splits its key, such as "rules[2].service", into object
//! and field, and adds the object's name if the document has it.
void addViolation(const SchemaError &Violation, const Json &Document,
                  FileCheck &Result) {
  ConfigError Mistake{.File = Violation.File,
                      .Message = "found " + Violation.Found + ", expected " +
                                 Violation.Expected};
  const std::string &Key = Violation.Key;
  const std::size_t Open = Key.find('[');
  const std::size_t Close = Key.find(']');
  if (Close == std::string::npos || Open > Close) {
    Result.HasErrorsOutsideObjects = true;
    Mistake.Field = Key;
    Result.Errors.push_back(std::move(Mistake));
    return;
  }
  const std::string Element = Key.substr(0, Close + 1);
  Mistake.Object = Element;
  if (Close + 2 < Key.size())
    Mistake.Field = Key.substr(Close + 2);
  const Json::json_pointer Name("/" + Key.substr(0, Open) + "/" +
                                Key.substr(Open + 1, Close - Open - 1) +
                                "/name");
  if (Document.contains(Name) && Document[Name].is_string())
    Mistake.Object += " " + Document[Name].get<std::string>();
  // An object with an unknown field is still read and validated, to report its
  // other errors too.
  if (Violation.Expected != "no such key")
    Result.InvalidObjects.insert(Element);
  Result.Errors.push_back(std::move(Mistake));
}

FileCheck checkFileSchema(const ObjectFile &File) {
  FileCheck Result;
  for (const SchemaError &Violation :
       checkSchema(File.Name, File.Document, fileSchema()))
    addViolation(Violation, File.Document, Result);
  return Result;
}

//! Reads the objects of one file into the set.
class FileReader {
public:
  FileReader(const ObjectFile &File, const FileCheck &Checked,
             DeclaredSet &Result, UnreadParts &Unread)
      : File(File), Checked(Checked), Result(Result), Unread(Unread),
        Namespace(File.Document.at("namespace").get<std::string>()) {}

  template <typename Object>
  void operator()(const KindName &Kind, std::map<ObjectName, Object> &Map) {
    const auto Items = File.Document.find(Kind.Plural);
    if (Items == File.Document.end() || !Items->is_array())
      return;
    for (std::size_t Index = 0; Index < Items->size(); ++Index) {
      std::string Element = Kind.Plural;
      Element.append("[").append(std::to_string(Index)).append("]");
      if (Checked.InvalidObjects.contains(Element))
        recordUnread(Kind, (*Items)[Index]);
      else
        add(Kind, (*Items)[Index], Map);
    }
  }

private:
  void recordUnread(const KindName &Kind, const Json &Item) {
    std::string Name;
    if (Item.is_object() && Item.contains("name") && Item["name"].is_string())
      Name = Item["name"].get<std::string>();
    Unread.Objects.insert(
        {.Kind = Kind.Singular, .Name = ObjectName(Namespace + "/" + Name)});
  }

  template <typename Object>
  void add(const KindName &Kind, Json Item, std::map<ObjectName, Object> &Map) {
    expandNames(Item, Namespace);
    Json WithDefaults = defaultsOf(Kind.Singular);
    WithDefaults.update(Item);
    FieldReader Fields(WithDefaults, "read object", File.Name);
    Object Parsed;
    readObject(Fields, Parsed);
    const ObjectId Id{.Kind = Kind.Singular, .Name = Parsed.Name};
    if (Fields.failed()) {
      report(Id, "", Fields.error().Message);
      return;
    }
    const auto [Existing, Inserted] = Result.Sources.emplace(Id, File.Name);
    if (Inserted)
      Map.emplace(Parsed.Name, std::move(Parsed));
    else
      report(Id, "name",
             "an object of this kind and name is already declared in " +
                 Existing->second);
  }

  void report(const ObjectId &Id, std::string Field, std::string Message) {
    Result.Errors.push_back({.File = File.Name,
                             .Object = describe(Id),
                             .Field = std::move(Field),
                             .Message = std::move(Message)});
  }

  const ObjectFile &File;
  const FileCheck &Checked;
  DeclaredSet &Result;
  UnreadParts &Unread;
  std::string Namespace;
};

void append(std::vector<ConfigError> &Errors, std::vector<ConfigError> More) {
  std::move(More.begin(), More.end(), std::back_inserter(Errors));
}

//! Files named by Paths, each of them once.
std::set<std::string> listFiles(const std::vector<std::string> &Paths,
                                std::vector<ConfigError> &Errors) {
  namespace fs = std::filesystem;
  std::set<std::string> Files;
  for (const std::string &Path : Paths) {
    try {
      if (!fs::is_directory(Path)) {
        Files.insert(fs::path(Path).lexically_normal().string());
        continue;
      }
      for (const auto &Entry : fs::recursive_directory_iterator(Path))
        if (Entry.is_regular_file() && Entry.path().extension() == ".json")
          Files.insert(Entry.path().lexically_normal().string());
    } catch (const fs::filesystem_error &Caught) {
      Errors.push_back({.File = Path, .Message = Caught.code().message()});
    }
  }
  return Files;
}

} // namespace

DeclaredSet checkFiles(const std::vector<ObjectFile> &Files,
                       UnreadParts Unread) {
  DeclaredSet Result;
  for (const ObjectFile &File : Files) {
    FileCheck Checked = checkFileSchema(File);
    append(Result.Errors, std::move(Checked.Errors));
    Unread.WholeFiles = Unread.WholeFiles || Checked.HasErrorsOutsideObjects;
    if (!Checked.HasErrorsOutsideObjects)
      forEachKind(Result.Objects, FileReader(File, Checked, Result, Unread));
  }
  append(Result.Errors, validate(Result.Objects, Result.Sources, Unread));
  return Result;
}

DeclaredSet checkPaths(const std::vector<std::string> &Paths) {
  std::vector<ConfigError> Errors;
  std::vector<ObjectFile> Files;
  UnreadParts Unread;
  for (const std::string &Name : listFiles(Paths, Errors)) {
    auto Document = readJsonFile(Name);
    if (Document)
      Files.push_back({.Name = Name, .Document = std::move(*Document)});
    else
      Errors.push_back({.File = Name, .Message = Document.error().Message});
  }
  Unread.WholeFiles = !Errors.empty();
  DeclaredSet Result = checkFiles(Files, std::move(Unread));
  append(Result.Errors, std::move(Errors));
  return Result;
}

Json namespaceToJson(const ObjectSet &Objects, const std::string &Namespace) {
  Json Result = {{"namespace", Namespace}};
  forEachKind(Objects, [&](const KindName &Kind, const auto &Map) {
    for (const auto &[Name, Object] : Map) {
      if (namespaceOf(Name) != Namespace)
        continue;
      Json Item = objectToJson(Object);
      for (const char *Field : {"name", "place", "service"})
        if (Item.contains(Field))
          Item[Field] = Item[Field].template get<std::string>().substr(
              Namespace.size() + 1);
      Result[Kind.Plural].push_back(std::move(Item));
    }
  });
  return Result;
}

} // namespace buckthorndeck::config
