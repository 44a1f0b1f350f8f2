#include "buckthorndeck/entryhost/PacketSettings.h"

#include "SettingsFile.h"
#include "buckthorndeck/entryhost/SettingsReader.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>

using namespace buckthorndeck;
using namespace buckthorndeck::entryhost;

namespace {

Json validSettings() {
  return {{"name", "front-1"},
          {"failure_domain", "north"},
          {"failure_domains", {"north", "middle", "south"}},
          {"packet_listen", "10.1.0.10:8172"},
          {"ready_listen", "10.1.0.10:8167"},
          {"ready_path", "/ready"},
          {"metrics_listen", "10.1.0.10:8166"},
          {"host_ip", "10.1.0.10"},
          {"internal_ports", {7720, 7735}},
          {"seeds", {"10.1.0.10:8166", "10.2.0.40:8166"}},
          {"store", "10.200.1.7:8169"}};
}

} // namespace

TEST_CASE("Valid packet settings are read, with defaults for missing ones",
          "[settings]") {
  const SettingsFile File(validSettings().dump());
  const auto Loaded = loadPacketSettings(File.Path);
  REQUIRE(Loaded);
  CHECK(Loaded->FailureDomainCount == 3);
  CHECK(toString(Loaded->HeartbeatListen) == "10.1.0.10:7720");
  REQUIRE(Loaded->Seeds.size() == 2);
  CHECK(toString(Loaded->Seeds[1]) == "10.2.0.40:7720");
  CHECK(Loaded->ChangePause == Milliseconds(1500));
  CHECK(Loaded->WatchWait == Milliseconds(3000));
  CHECK(Loaded->FlowLifetime == std::chrono::seconds(60));
}

TEST_CASE("A watch that fails is detected within detect_within_ms",
          "[settings]") {
  Json Settings = validSettings();
  Settings["detect_within_ms"] = 5000;
  Settings["store_timeout_ms"] = 1000;
  const SettingsFile File(Settings.dump());
  const auto Loaded = loadPacketSettings(File.Path);
  REQUIRE(Loaded);
  CHECK(Loaded->WatchWait + Loaded->StoreTimeout < Milliseconds(5000));
}

TEST_CASE("A change that a relay fails to pass on is in force within both "
          "apply_within_ms and drain_within_ms",
          "[settings]") {
  // A host that relies on its relay for too long sends flows to servers that
  // have been draining for longer than they serve.
  for (const auto &[ApplyWithin, DrainWithin] :
       {std::pair(3000, 3000), std::pair(6000, 6000), std::pair(6000, 3000),
        std::pair(3000, 9000)}) {
    Json Settings = validSettings();
    Settings["apply_within_ms"] = ApplyWithin;
    Settings["drain_within_ms"] = DrainWithin;
    const SettingsFile File(Settings.dump());
    const auto Loaded = loadPacketSettings(File.Path);
    REQUIRE(Loaded);
    const Milliseconds Shorter(std::min(ApplyWithin, DrainWithin));
    CHECK(Loaded->ChangePause < Shorter);
    CHECK(Loaded->FreshnessLimit + Loaded->StoreTimeout < Shorter);
    // Relays that work must not be given up, with three levels of them.
    CHECK(5 * Loaded->RelayWait + 4 * Loaded->RelayPause <
          Loaded->FreshnessLimit);
  }
}

TEST_CASE("The error for a wrong or missing packet setting names it",
          "[settings]") {
  struct TestCase {
    const char *Field;
    Json Value; //!< Discarded: the field is missing.
  };
  const Json Missing(Json::value_t::discarded);
  const TestCase Cases[] = {{"name", ""},
                            {"name", Missing},
                            {"failure_domain", 3},
                            {"failure_domains", Json::array()},
                            {"packet_listen", "host:80"},
                            {"packet_listen", Missing},
                            {"ready_path", "ready"},
                            {"store", "10.1.0.1:99999"},
                            {"host_ip", "10.1.0.256"},
                            {"internal_ports", Json::array()},
                            {"seeds", {"nobody"}},
                            {"flow_lifetime_s", 0},
                            {"drain_within_ms", 0},
                            {"processor_share", -1},
                            {"log_level", "loud"}};
  for (const TestCase &Case : Cases) {
    INFO(Case.Field);
    Json Settings = validSettings();
    if (Case.Value.is_discarded())
      Settings.erase(Case.Field);
    else
      Settings[Case.Field] = Case.Value;
    const SettingsFile File(Settings.dump());
    const auto Loaded = loadPacketSettings(File.Path);
    REQUIRE_FALSE(Loaded);
    bool FieldNamed = false;
    for (const SchemaError &Violation : Loaded.error())
      FieldNamed = FieldNamed ||
                   describe(Violation).find(Case.Field) != std::string::npos;
    CHECK(FieldNamed);
  }
}

TEST_CASE("Packet settings that this version does not know are ignored",
          "[settings]") {
  Json Settings = validSettings();
  Settings["of_a_later_platform"] = {{"nested", true}};
  const SettingsFile File(Settings.dump());
  CHECK(loadPacketSettings(File.Path));
}

TEST_CASE("docs/settings.md describes the packet settings", "[settings]") {
  std::ifstream Page(BUCKTHORNDECK_SOURCE "/docs/settings.md");
  std::ostringstream Text;
  Text << Page.rdbuf();
  CHECK(Text.str().find(describeSchema(packetSettingsSchema())) !=
        std::string::npos);
}
