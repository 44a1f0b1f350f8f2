#include "buckthorndeck/standins/TcpProxy.h"

#include "Harness.h"
#include "buckthorndeck/net/HttpClient.h"
#include "buckthorndeck/net/HttpServer.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

constexpr Milliseconds Patient{10'000};
constexpr Milliseconds Impatient{50};

//! A server that answers every call, behind a proxy.
struct Fixture {
  Fixture()
      : Server(*HttpServer::bind(In.where(), anyTcp())),
        Proxy(std::move(*TcpProxy::start(In.where(), Server.localEndpoint()))) {
    spawn(In.where(), "server",
          Server.serve([](HttpRequest) { return answer(); }));
  }

  static Task<std::optional<HttpResponse>> answer() {
    co_return HttpResponse();
  }

  //! Whether a call through the proxy is answered in time.
  bool answers(Milliseconds Timeout) {
    HttpRequest Request;
    const Expected<HttpResponse> Answer =
        In.run(callHttp(Proxy->endpoint(), std::move(Request), Timeout));
    return Answer.has_value();
  }

  World In;
  HttpServer Server;
  std::unique_ptr<TcpProxy> Proxy;
};

} // namespace

TEST_CASE("A proxy without faults passes calls and answers on") {
  Fixture Link;
  CHECK(Link.answers(Patient));
}

TEST_CASE("A held direction keeps calls unanswered until the fault ends") {
  Fixture Link;
  TcpLinkFaults Faults;
  SECTION("to the server") { Faults.HoldToServer = true; }
  SECTION("from the server") { Faults.HoldFromServer = true; }
  Link.Proxy->setFaults(Faults);
  CHECK_FALSE(Link.answers(Impatient));
  Link.Proxy->setFaults({});
  CHECK(Link.answers(Patient));
}

TEST_CASE("A proxy that refuses resets new connections") {
  Fixture Link;
  CHECK(Link.answers(Patient));
  TcpLinkFaults Faults;
  Faults.Refuse = true;
  Link.Proxy->setFaults(Faults);
  Link.Proxy->reset();
  CHECK_FALSE(Link.answers(Patient));
}
