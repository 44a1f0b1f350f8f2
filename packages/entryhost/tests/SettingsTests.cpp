#include "buckthorndeck/entryhost/Settings.h"

#include "SettingsFile.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace buckthorndeck;
using namespace buckthorndeck::entryhost;

namespace {

Json validSettings() {
  const std::string AnyPort = "127.0.0.1:0";
  return {{"name", "entry-1"},
          {"region", "north"},
          {"failure_domain", "hall"},
          {"caller_listen", AnyPort},
          {"peer_listen", AnyPort},
          {"sync_listen", AnyPort},
          {"metrics_listen", AnyPort},
          {"platform", "127.0.0.1:9"},
          {"fleet_key", std::string(64, 'a')}};
}

} // namespace

TEST_CASE("Valid settings are read, with defaults for missing ones",
          "[settings]") {
  const SettingsFile File(validSettings().dump());
  const auto Loaded = loadSettings(File.Path);
  REQUIRE(Loaded);
  CHECK(Loaded->Name == EntryHostName("entry-1"));
  CHECK(Loaded->TokenLifetime == Milliseconds(15'000));
  CHECK(Loaded->RandomSeed != 0);
}

TEST_CASE("Every wrong setting is reported with its key", "[settings]") {
  // Guards against a host that starts with an invalid or unknown setting.
  struct TestCase {
    const char *Key;
    Json Value;
  };
  const std::vector<TestCase> Cases{{"name", "Entry 1"},
                                    {"caller_listen", "localhost:1"},
                                    {"peer_listen", "1.2.3.4:99999"},
                                    {"sync_listen", 80},
                                    {"fleet_key", "abc"},
                                    {"token_lifetime_ms", 10},
                                    {"ledger_entries", "many"},
                                    {"log_level", "loud"},
                                    {"platform", "300.1.1.1:1"},
                                    {"seeds", {"nowhere"}},
                                    {"colour", "red"}};
  for (const TestCase &Case : Cases) {
    INFO(Case.Key);
    Json Wrong = validSettings();
    Wrong[Case.Key] = Case.Value;
    const SettingsFile File(Wrong.dump());
    const auto Loaded = loadSettings(File.Path);
    REQUIRE_FALSE(Loaded);
    CHECK(std::any_of(Loaded.error().begin(), Loaded.error().end(),
                      [&](const SchemaError &Violation) {
                        return Violation.File == File.Path &&
                               Violation.Key.starts_with(Case.Key);
                      }));
  }
}

TEST_CASE("A missing setting and a file that is not JSON are reported",
          "[settings]") {
  Json Missing = validSettings();
  Missing.erase("fleet_key");
  const SettingsFile File(Missing.dump());
  const auto Loaded = loadSettings(File.Path);
  REQUIRE_FALSE(Loaded);
  CHECK(Loaded.error().front().Key == "fleet_key");
  const SettingsFile Broken("{");
  CHECK_FALSE(loadSettings(Broken.Path));
  CHECK_FALSE(loadSettings("/nonexistent/settings.json"));
}

TEST_CASE("docs/settings.md describes the settings that the program accepts",
          "[settings][docs]") {
  // Guards against a page that no longer matches the schema.
  std::ifstream Page(BUCKTHORNDECK_SOURCE "/docs/settings.md");
  std::ostringstream Text;
  Text << Page.rdbuf();
  CHECK(Text.str().find(describeSettings()) != std::string::npos);
}
