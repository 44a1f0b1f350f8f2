#include "buckthorndeck/entryhost/Settings.h"

#include "SettingsFile.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace buckthorndeck;
using namespace buckthorndeck::entryhost;

namespace {

Json goodSettings() {
  const std::string Any = "127.0.0.1:0";
  return {{"name", "entry-1"},
          {"region", "north"},
          {"failure_domain", "hall"},
          {"caller_listen", Any},
          {"peer_listen", Any},
          {"sync_listen", Any},
          {"metrics_listen", Any},
          {"platform", "127.0.0.1:9"},
          {"fleet_key", std::string(64, 'a')}};
}

} // namespace

TEST_CASE("Good settings are read with their defaults", "[settings]") {
  const SettingsFile File(goodSettings().dump());
  const auto Read = loadSettings(File.Path);
  REQUIRE(Read);
  CHECK(Read->Name == EntryHostName("entry-1"));
  CHECK(Read->TokenLifetime == Milliseconds(15'000));
  CHECK(Read->RandomSeed != 0);
}

TEST_CASE("Every wrong setting is reported with its key", "[settings]") {
  // Guards against a host that starts with a setting it has not understood.
  struct Row {
    const char *Key;
    Json Value;
  };
  const std::vector<Row> Table{{"name", "Entry 1"},
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
  for (const Row &Case : Table) {
    INFO(Case.Key);
    Json Wrong = goodSettings();
    Wrong[Case.Key] = Case.Value;
    const SettingsFile File(Wrong.dump());
    const auto Read = loadSettings(File.Path);
    REQUIRE_FALSE(Read);
    CHECK(std::any_of(Read.error().begin(), Read.error().end(),
                      [&](const SchemaError &Violation) {
                        return Violation.File == File.Path &&
                               Violation.Key.starts_with(Case.Key);
                      }));
  }
}

TEST_CASE("A missing setting and a file that is not JSON are reported",
          "[settings]") {
  Json Missing = goodSettings();
  Missing.erase("fleet_key");
  const SettingsFile File(Missing.dump());
  const auto Read = loadSettings(File.Path);
  REQUIRE_FALSE(Read);
  CHECK(Read.error().front().Key == "fleet_key");
  const SettingsFile Broken("{");
  CHECK_FALSE(loadSettings(Broken.Path));
  CHECK_FALSE(loadSettings("/nonexistent/settings.json"));
}

TEST_CASE("The page of settings lists what the program accepts",
          "[settings][docs]") {
  // Guards against documentation that drifts from the schema.
  std::ifstream Page(BUCKTHORNDECK_SOURCE "/docs/settings.md");
  std::ostringstream Text;
  Text << Page.rdbuf();
  CHECK(Text.str().find(describeSettings()) != std::string::npos);
}
