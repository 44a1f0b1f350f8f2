#include "Harness.h"
#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/standins/BackendServer.h"

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

const ObjectName Floor("exchange/trading-floor");

BackendServerOptions floorServer() {
  return {.Name = ObjectName("exchange/floor-1"), .Service = Floor};
}

wire::RunCommand run(std::uint64_t Id, const std::string &Operation,
                     Milliseconds Deadline = Milliseconds(60'000)) {
  return {.Id = Id,
          .Service = Floor,
          .Operation = Operation,
          .Deadline = Deadline,
          .Body = toBytes("lot 7")};
}

} // namespace

TEST_CASE("A backend server says who it is, runs a request and logs the run",
          "[server]") {
  World In;
  auto Server = BackendServer::start(In.where(), floorServer()).value();
  ServerClient Client(In, Server.endpoint());
  const auto Hello = Client.next<wire::ServerHello>();
  CHECK(Hello.Server == ObjectName("exchange/floor-1"));
  CHECK(Hello.Service == Floor);
  CHECK(Hello.Slots == 2);
  Client.send(run(1, "bid"));
  const auto Done = Client.next<wire::ServerDone>();
  CHECK(Done.Ok);
  CHECK(Done.Body == toBytes("lot 7"));
  REQUIRE(Server.runs().size() == 1);
  CHECK(Server.runs()[0].BodyDigest == digestOf("lot 7"));
}
