#include "buckthorndeck/standins/PacketRouter.h"

#include "Harness.h"
#include "buckthorndeck/net/HttpServer.h"

#include <catch2/catch.hpp>
#include <deque>
#include <set>

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

const FailureDomainName North("north");
const FailureDomainName South("south");

//! Hosts whose readiness a test sets, and the routers that ask them.
struct Fixture {
  struct Host {
    std::optional<HttpServer> Server;
    bool Ready = true;
  };

  explicit Fixture(const std::vector<FailureDomainName> &Domains) {
    PacketRouterOptions Options{.ReadyPath = "/ready"};
    std::uint16_t Port = 1;
    for (const FailureDomainName &Domain : Domains) {
      Host &Added = Hosts.emplace_back();
      Added.Server = std::move(*HttpServer::bind(In.where(), anyTcp()));
      spawn(In.where(), "host", Added.Server->serve([&Added](HttpRequest) {
        return answer(Added.Ready);
      }));
      Options.Hosts.push_back(
          {.Domain = Domain,
           .Packets = {boost::asio::ip::address_v4::loopback(), Port++},
           .Ready = Added.Server->localEndpoint()});
    }
    Router.emplace(In.where(), Options);
  }

  static Task<std::optional<HttpResponse>> answer(bool Ready) {
    HttpResponse Answer;
    Answer.Status = Ready ? 200 : 503;
    co_return Answer;
  }

  void waitInRotation(std::size_t Count) {
    In.runUntil([&] { return Router->hostsInRotation() == Count; });
  }

  //! Ports of the hosts that get flows of Domain.
  std::set<std::uint16_t> hostsOf(const FailureDomainName &Domain) const {
    std::set<std::uint16_t> Ports;
    for (std::uint16_t Port = 1; Port < 200; ++Port) {
      const forwarding::FlowKey Flow{.Caller = {.Ip = 1, .Port = Port}};
      if (const auto Host = Router->route(Flow, Domain))
        Ports.insert(Host->port());
    }
    return Ports;
  }

  World In;
  std::deque<Host> Hosts;
  std::optional<PacketRouter> Router;
};

} // namespace

TEST_CASE("Routers spread flows over the hosts of a failure domain") {
  Fixture Site({North, North, South});
  CHECK(Site.hostsOf(North).empty());
  Site.waitInRotation(3);
  CHECK(Site.hostsOf(North) == std::set<std::uint16_t>{1, 2});
  CHECK(Site.hostsOf(South) == std::set<std::uint16_t>{3});
}

TEST_CASE("A host that is not ready leaves the rotation, and comes back") {
  Fixture Site({North, North});
  Site.waitInRotation(2);
  Site.Hosts[0].Ready = false;
  Site.waitInRotation(1);
  CHECK(Site.hostsOf(North) == std::set<std::uint16_t>{2});
  Site.Hosts[0].Ready = true;
  Site.waitInRotation(2);
  CHECK(Site.hostsOf(North) == std::set<std::uint16_t>{1, 2});
}

TEST_CASE("A failure domain with few hosts in rotation uses all, one without "
          "any those of another") {
  Fixture Site({North, North, North, South});
  Site.waitInRotation(4);
  Site.Hosts[0].Ready = Site.Hosts[1].Ready = false;
  Site.waitInRotation(2);
  CHECK(Site.hostsOf(North).size() == 3);
  Site.Hosts[2].Ready = false;
  Site.waitInRotation(1);
  CHECK(Site.hostsOf(North) == std::set<std::uint16_t>{4});
}
