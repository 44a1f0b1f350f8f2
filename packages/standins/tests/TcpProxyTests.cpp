#include "buckthorndeck/standins/TcpProxy.h"

#include "buckthorndeck/net/HttpClient.h"
#include "buckthorndeck/net/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

constexpr Milliseconds Patient{10'000};
constexpr Milliseconds Impatient{50};

//! A server that answers every call, behind a proxy.
struct Fixture {
  Fixture()
      : Server(*HttpServer::bind(
            Context.get_executor(),
            TcpEndpoint(boost::asio::ip::address_v4::loopback(), 0))),
        Proxy(std::move(
            *TcpProxy::start(Context.get_executor(), Server.localEndpoint()))) {
    spawn(Context.get_executor(), "server",
          Server.serve([](HttpRequest) { return answer(); }));
  }

  static Task<std::optional<HttpResponse>> answer() {
    co_return HttpResponse();
  }

  //! Whether a call through the proxy is answered in time.
  bool answers(Milliseconds Timeout) {
    std::optional<bool> Result;
    spawn(Context.get_executor(), "call", call(*this, Timeout, Result));
    while (!Result)
      Context.run_one();
    return *Result;
  }

  static Task<> call(Fixture &Self, Milliseconds Timeout,
                     std::optional<bool> &Result) {
    HttpRequest Request;
    const Expected<HttpResponse> Answer =
        co_await callHttp(Self.Proxy->endpoint(), std::move(Request), Timeout);
    Result = Answer.has_value();
  }

  boost::asio::io_context Context{1};
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
