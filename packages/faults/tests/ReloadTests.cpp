#include "buckthorndeck/faults/PacketSite.h"
#include "buckthorndeck/faults/TemporaryDirectory.h"

#include "RunTask.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace buckthorndeck;
using namespace buckthorndeck::faults;

namespace {

//! Returns once the host has logged a line that contains Text.
Task<> waitLogged(const PacketSite &Site, const PacketSiteHost &Host,
                  std::string Text) {
  while (true) {
    std::ostringstream Lines;
    Lines << std::ifstream(Site.logFile(Host)).rdbuf();
    if (Lines.str().find(Text) != std::string::npos)
      co_return;
    co_await sleepFor(Milliseconds(10));
  }
}

Task<> reloadBadThenGood(PacketSite &Site) {
  co_await Site.start();
  PacketSiteHost &Host = Site.hosts().front();
  Json Settings = Host.Settings;
  Settings["log_level"] = "loud";
  Site.writeSettings(Host, Settings.dump());
  Host.Process->reload();
  co_await waitLogged(Site, Host, "event=settings_rejected");
  co_await waitLogged(Site, Host, "log_level");
  // A file that is being written may be cut off.
  Site.writeSettings(Host, "{\"name\": ");
  Host.Process->reload();
  co_await waitLogged(Site, Host, "a JSON document");
  Settings["log_level"] = "debug";
  Site.writeSettings(Host, Settings.dump());
  Host.Process->reload();
  co_await waitLogged(Site, Host, "event=settings_reloaded");
  CHECK(Host.Process->running());
  CHECK(Site.router().hostsInRotation() == Site.hosts().size());
  co_await Site.stop();
}

} // namespace

TEST_CASE("A host that is told to reload bad settings names the field, keeps "
          "the old ones and serves on") {
  const std::string Directory = makeTemporaryDirectory();
  boost::asio::io_context Context(1);
  PacketSite Site(Context.get_executor(), {.Program = BUCKTHORNDECK_PROGRAM,
                                           .Directory = Directory,
                                           .Hosts = 2,
                                           .Domains = 1});
  runTask(Context, reloadBadThenGood(Site));
  std::filesystem::remove_all(Directory);
}
