#ifndef BUCKTHORNDECK_ENTRYHOST_SETTINGSREADER_H
#define BUCKTHORNDECK_ENTRYHOST_SETTINGSREADER_H

#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/net/Endpoint.h"

#include <map>
#include <string>
#include <vector>

namespace buckthorndeck::entryhost {

/**
 * Reads the fields of a settings file that matches its schema, and collects the
 * errors that the schema cannot express, such as an address out of range.
 */
class SettingsReader {
public:
  //! All arguments must outlive the reader.
  SettingsReader(const std::string &File, const Json &Document,
                 const Json &Schema, std::vector<SchemaError> &Errors)
      : File(File), Document(Document), Schema(Schema), Errors(Errors) {}

  TcpEndpoint tcp(const char *Key);
  UdpEndpoint udp(const char *Key);
  //! Joins the IP address in IpKey and the first port in the array PortsKey.
  UdpEndpoint udp(const char *IpKey, const char *PortsKey);
  std::vector<UdpEndpoint> udpList(const char *Key);
  std::string text(const char *Key) const;
  //! An object with texts as values; empty if it is absent.
  std::map<std::string, std::string> textMap(const char *Key) const;
  //! Number of items of an array.
  std::size_t count(const char *Key) const { return Document.at(Key).size(); }
  LogLevel logLevel(const char *Key) const;
  //! The configured seed; if it is 0, a random one from the system.
  std::uint64_t seed(const char *Key) const;

  //! The field, or its default in the schema.
  template <typename T> T value(const char *Key) const {
    const Json &Default = Schema["properties"][Key]["default"];
    return Document.value(Key, Default.get<T>());
  }

private:
  template <typename T> T unwrap(const char *Key, const Expected<T> &Value) {
    if (Value)
      return *Value;
    Errors.push_back({.File = File,
                      .Key = Key,
                      .Found = Document.at(Key).dump(),
                      .Expected = Value.error().Message});
    return T();
  }

  const std::string &File;
  const Json &Document;
  const Json &Schema;
  std::vector<SchemaError> &Errors;
};

/**
 * Reads File, checks it against Schema and passes it to Read, which returns the
 * fields as Settings. Fails with all errors that were found.
 */
template <typename Settings, typename Reader>
tl::expected<Settings, std::vector<SchemaError>>
loadSettingsFile(const std::string &File, const Json &Schema, Reader Read) {
  const auto Document = readJsonFile(File);
  if (!Document) {
    const SchemaError Failure{.File = File,
                              .Found = Document.error().Message,
                              .Expected = "a JSON document"};
    return tl::unexpected(std::vector<SchemaError>{Failure});
  }
  std::vector<SchemaError> Errors = checkSchema(File, *Document, Schema);
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  SettingsReader Fields(File, *Document, Schema, Errors);
  Settings Result = Read(Fields);
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Result;
}

//! A Markdown table of the settings that Schema describes.
std::string describeSchema(const Json &Schema);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_SETTINGSREADER_H
