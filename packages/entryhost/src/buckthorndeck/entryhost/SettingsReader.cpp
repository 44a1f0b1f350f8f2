#include "buckthorndeck/entryhost/SettingsReader.h"

#include <algorithm>
#include <random>

namespace buckthorndeck::entryhost {

TcpEndpoint SettingsReader::tcp(const char *Key) {
  return unwrap(Key, parseTcpEndpoint(text(Key), "read settings"));
}

UdpEndpoint SettingsReader::udp(const char *Key) {
  return unwrap(Key, parseUdpEndpoint(text(Key), "read settings"));
}

UdpEndpoint SettingsReader::udp(const char *IpKey, const char *PortsKey) {
  const std::string Address =
      text(IpKey) + ":" +
      std::to_string(Document.at(PortsKey).at(0).get<int>());
  return unwrap(IpKey, parseUdpEndpoint(Address, "read settings"));
}

std::vector<UdpEndpoint> SettingsReader::udpList(const char *Key) {
  std::vector<UdpEndpoint> Result;
  for (const Json &Item : Document.value(Key, Json::array()))
    Result.push_back(unwrap(
        Key, parseUdpEndpoint(Item.get<std::string>(), "read settings")));
  return Result;
}

std::string SettingsReader::text(const char *Key) const {
  return Document.value(Key, std::string());
}

std::map<std::string, std::string>
SettingsReader::textMap(const char *Key) const {
  return Document.value(Key, std::map<std::string, std::string>());
}

LogLevel SettingsReader::logLevel(const char *Key) const {
  const auto Text = value<std::string>(Key);
  if (Text == "debug")
    return LogLevel::Debug;
  if (Text == "warn")
    return LogLevel::Warn;
  if (Text == "error")
    return LogLevel::Error;
  return LogLevel::Info;
}

std::uint64_t SettingsReader::seed(const char *Key) const {
  const auto Configured = value<std::uint64_t>(Key);
  if (Configured != 0)
    return Configured;
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

std::string describeSchema(const Json &Schema) {
  std::string Table = "| setting | type | range | default | meaning |\n"
                      "|---|---|---|---|---|\n";
  const Json &Required = Schema["required"];
  for (const auto &[Name, Rule] : Schema["properties"].items()) {
    const bool IsRequired =
        std::find(Required.begin(), Required.end(), Name) != Required.end();
    std::string Range = "-";
    if (Rule.contains("minimum"))
      Range = Rule["minimum"].dump() + " to " +
              (Rule.contains("maximum") ? Rule["maximum"].dump() : "2^64 - 1");
    if (Rule.contains("enum"))
      Range = Rule["enum"].dump();
    const std::string Default = IsRequired ? "required"
                                : Rule.contains("default")
                                    ? "`" + Rule["default"].dump() + "`"
                                    : "none";
    Table += "| `" + Name + "` | " + Rule["type"].get<std::string>() + " | " +
             Range + " | " + Default + " | " +
             Rule["description"].get<std::string>() + " |\n";
  }
  return Table;
}

} // namespace buckthorndeck::entryhost
