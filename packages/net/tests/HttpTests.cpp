#include "buckthorndeck/net/HttpClient.h"
#include "buckthorndeck/net/HttpServer.h"

#include "RunTask.h"
#include "SlowResponder.h"
#include "buckthorndeck/net/Notifier.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace buckthorndeck;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

//! Long enough for any answer; a test that reaches it has failed.
constexpr Milliseconds Patient{60'000};

//! A server whose handler reacts to the target of the request.
class TestServer {
public:
  TestServer() {
    auto Bound = HttpServer::bind(Context.get_executor(), loopbackTcp());
    REQUIRE(Bound);
    Server.emplace(std::move(*Bound));
    const HttpHandler Handler = [this](HttpRequest Request) {
      return answer(*this, std::move(Request));
    };
    spawn(Context.get_executor(), "serve", Server->serve(Handler));
  }

  Expected<HttpResponse> call(HttpRequest Request,
                              Milliseconds Timeout = Patient) {
    Expected<HttpResponse> Result;
    runTask(Context, callInto(Server->localEndpoint(), std::move(Request),
                              Timeout, Result));
    return Result;
  }

  static Task<> callInto(TcpEndpoint Peer, HttpRequest Request,
                         Milliseconds Timeout, Expected<HttpResponse> &Result) {
    Result = co_await callHttp(Peer, std::move(Request), Timeout);
  }

  asio::io_context Context;
  std::optional<HttpServer> Server;
  Notifier Never{Context.get_executor()};
  int Calls = 0;

private:
  static Task<std::optional<HttpResponse>> answer(TestServer &Self,
                                                  HttpRequest Request) {
    ++Self.Calls;
    if (Request.Target == "/close")
      co_return std::nullopt;
    if (Request.Target == "/hang")
      co_await Self.Never.wait();
    if (Request.Target == "/huge")
      co_return HttpResponse{.Body = std::string(5 * 1024 * 1024, 'x')};
    if (Request.Target == "/echo")
      co_return HttpResponse{.Status = 200,
                             .Body = Request.Method + " " + Request.Body};
    co_return HttpResponse{.Status = 404, .Body = "{}"};
  }
};

//! Sends Text over a new connection and returns what comes until its end.
Task<> exchange(TcpEndpoint Peer, std::string Text, std::string &Answer) {
  tcp::socket Socket(co_await asio::this_coro::executor);
  co_await Socket.async_connect(Peer, asio::use_awaitable);
  co_await asio::async_write(Socket, asio::buffer(Text), asio::use_awaitable);
  boost::system::error_code End;
  co_await asio::async_read(Socket, asio::dynamic_buffer(Answer),
                            asio::redirect_error(asio::use_awaitable, End));
}

} // namespace

TEST_CASE("A request reaches the handler and its answer comes back", "[http]") {
  TestServer Test;
  const auto Answer =
      Test.call({.Method = "PUT", .Target = "/echo", .Body = "body"});
  REQUIRE(Answer);
  CHECK(Answer->Status == 200);
  CHECK(Answer->Body == "PUT body");
}

TEST_CASE("A status other than 200 is an answer and no error", "[http]") {
  TestServer Test;
  const auto Answer = Test.call({.Target = "/none"});
  REQUIRE(Answer);
  CHECK(Answer->Status == 404);
  CHECK(Answer->Body == "{}");
}

TEST_CASE("A connection closed without an answer may have had an effect",
          "[http]") {
  TestServer Test;
  const auto Answer = Test.call({.Target = "/close"});
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Code == ErrorCode::Timeout);
  CHECK(Answer.error().Step == "GET /close");
  CHECK(Answer.error().Peer == toString(Test.Server->localEndpoint()));
}

TEST_CASE("A timeout after the request was sent may have had an effect",
          "[http]") {
  TestServer Test;
  const auto Answer = Test.call({.Target = "/hang"}, Milliseconds(100));
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Code == ErrorCode::Timeout);
}

TEST_CASE("A request that was never sent had no effect", "[http]") {
  asio::io_context Context;
  tcp::acceptor Full(Context, loopbackTcp());
  Expected<HttpResponse> Answer;
  SECTION("because the port is closed") {
    const TcpEndpoint Peer = Full.local_endpoint();
    Full.close();
    runTask(Context, TestServer::callInto(Peer, {}, Patient, Answer));
  }
  SECTION("because connecting takes longer than the timeout") {
    // One connection fills a listen queue of length 0, and the kernel then
    // drops further connection requests.
    Full.listen(0);
    tcp::socket Filler(Context);
    Filler.connect(Full.local_endpoint());
    runTask(Context, TestServer::callInto(Full.local_endpoint(), {},
                                          Milliseconds(100), Answer));
  }
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Code == ErrorCode::Unavailable);
}

TEST_CASE("An unknown method is an error and no exception", "[http]") {
  TestServer Test;
  const auto Answer = Test.call({.Method = "NO SUCH", .Target = "/echo"});
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Code == ErrorCode::Invalid);
  CHECK(Test.Calls == 0);
}

TEST_CASE("Bodies up to their limits pass whole", "[http]") {
  TestServer Test;
  const std::string Body(2 * 1024 * 1024, 'b');
  const auto Answer =
      Test.call({.Method = "POST", .Target = "/echo", .Body = Body});
  REQUIRE(Answer);
  CHECK(Answer->Body == "POST " + Body);
}

TEST_CASE("A request body over the limit never reaches the handler", "[http]") {
  TestServer Test;
  const auto Answer =
      Test.call({.Method = "POST",
                 .Target = "/echo",
                 .Body = std::string(2 * 1024 * 1024 + 1, 'b')});
  CHECK_FALSE(Answer);
  CHECK(Test.Calls == 0);
}

TEST_CASE("A response over the limit is refused", "[http]") {
  TestServer Test;
  const auto Answer = Test.call({.Target = "/huge"});
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Code == ErrorCode::TooLarge);
}

TEST_CASE("A peer that does not speak HTTP only loses its connection",
          "[http]") {
  TestServer Test;
  std::string Nothing;
  runTask(Test.Context, exchange(Test.Server->localEndpoint(),
                                 "no such protocol\r\n\r\n", Nothing));
  CHECK(Nothing.empty());
  CHECK(Test.call({.Target = "/echo"}));
}

TEST_CASE("Two requests on one connection are answered in order", "[http]") {
  TestServer Test;
  std::string Answers;
  runTask(Test.Context,
          exchange(Test.Server->localEndpoint(),
                   "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n"
                   "GET /none HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                   Answers));
  INFO(Answers);
  const std::size_t First = Answers.find("HTTP/1.1 200");
  const std::size_t Second = Answers.find("HTTP/1.1 404");
  CHECK(First == 0);
  CHECK((Second != std::string::npos && Second > First));
}

namespace {

//! A pause that a call with TransferTimeouts allows.
constexpr Milliseconds PartPause{300};
//! The whole response of a SlowResponder takes longer than either limit.
constexpr CallTimeouts TransferTimeouts{.Response = Milliseconds(1000),
                                        .Pause = Milliseconds(1000)};

Expected<HttpResponse> callSlow(bool Stalls, CallTimeouts Timeouts) {
  asio::io_context Context;
  const SlowResponder Responder(Context, std::string(500'000, 'x'), PartPause,
                                Stalls);
  Expected<HttpResponse> Result;
  runTask(Context,
          [](TcpEndpoint Peer, CallTimeouts Timeouts,
             Expected<HttpResponse> &Result) -> Task<> {
            Result = co_await callHttp(Peer, HttpRequest(), Timeouts);
          }(Responder.endpoint(), Timeouts, Result));
  return Result;
}

} // namespace

TEST_CASE("A response that keeps arriving is not cut off", "[http]") {
  // Guards against limits on a whole transfer: a large response over a slow
  // link was cut off at each attempt.
  const auto Answer = callSlow(/*Stalls=*/false, TransferTimeouts);
  REQUIRE(Answer);
  CHECK(Answer->Body.size() == 500'000);
}

TEST_CASE("A response that stops arriving is given up", "[http]") {
  const TimePoint Started = Clock::now();
  const auto Answer = callSlow(/*Stalls=*/true, TransferTimeouts);
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Code == ErrorCode::Timeout);
  CHECK(Clock::now() - Started >= PartPause + *TransferTimeouts.Pause);
}

TEST_CASE("Without a limit on pauses, the response limit is for the whole call",
          "[http]") {
  const auto Answer =
      callSlow(/*Stalls=*/false, {.Response = Milliseconds(700)});
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Code == ErrorCode::Timeout);
}
