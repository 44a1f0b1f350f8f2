#include "buckthorndeck/net/HttpClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

#include <algorithm>

namespace buckthorndeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t MaxResponseBytes = 4 * 1024 * 1024;
//! A peer that can be reached accepts a connection within milliseconds. A call
//! may wait far longer for its response.
constexpr Milliseconds MaxConnectTime{1000};
// A response may take long on purpose. A peer that no longer acknowledges
// probes is noticed within the idle time and the probes: 3 s.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

//! Makes the kernel notice a connection that has gone silent.
void enableKeepAlive(asio::ip::tcp::socket &Socket) {
  using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  // Without the options a silent connection lasts until the call's timeout.
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(Idle(KeepAliveIdleSeconds), Ignored);
  Socket.set_option(Interval(KeepAliveIntervalSeconds), Ignored);
  Socket.set_option(Probes(KeepAliveProbes), Ignored);
}

} // namespace

Task<Expected<HttpResponse>> callHttp(TcpEndpoint Peer, HttpRequest Request,
                                      Milliseconds Timeout) {
  return callHttp(Peer, std::move(Request), CallTimeouts{.Response = Timeout});
}

Task<Expected<HttpResponse>> callHttp(TcpEndpoint Peer, HttpRequest Request,
                                      CallTimeouts Timeouts) {
  const std::string Step = Request.Method + " " + Request.Target;
  const auto Failed = [&](ErrorCode Code, const std::string &Message) {
    return Unexpected(Error{.Code = Code,
                            .Step = Step,
                            .Peer = toString(Peer),
                            .Message = Message});
  };

  // The library throws on a method that it does not know.
  const http::verb Method = http::string_to_verb(Request.Method);
  if (Method == http::verb::unknown)
    co_return Failed(ErrorCode::Invalid, "unknown method");

  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  const TimePoint Deadline = Clock::now() + Timeouts.Response;
  Stream.expires_after(std::min(Timeouts.Response, MaxConnectTime));
  auto [ConnectCode] =
      co_await Stream.async_connect(Peer, asio::as_tuple(asio::use_awaitable));
  if (ConnectCode)
    co_return Failed(ErrorCode::Unavailable, ConnectCode.message());
  enableKeepAlive(Stream.socket());
  Stream.expires_at(Deadline);

  http::request<http::string_body> Message(Method, Request.Target, 11);
  Message.set(http::field::host, toString(Peer));
  Message.set(http::field::content_type, "application/json");
  Message.body() = std::move(Request.Body);
  Message.prepare_payload();
  auto [WriteCode, Written] = co_await http::async_write(
      Stream, Message, asio::as_tuple(asio::use_awaitable));
  if (WriteCode)
    co_return Failed(ErrorCode::Timeout, WriteCode.message());

  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxResponseBytes);
  Parser.eager(true);
  while (!Parser.is_done()) {
    auto [ReadCode, Read] = co_await http::async_read_some(
        Stream, Buffer, Parser, asio::as_tuple(asio::use_awaitable));
    if (ReadCode == http::error::body_limit)
      co_return Failed(ErrorCode::TooLarge,
                       "the response has more than " +
                           std::to_string(MaxResponseBytes) + " bytes");
    if (ReadCode)
      co_return Failed(ErrorCode::Timeout, ReadCode.message());
    if (Timeouts.Pause)
      Stream.expires_after(*Timeouts.Pause);
  }
  HttpResponse Response{.Status = Parser.get().result_int(),
                        .Body = std::move(Parser.get().body())};
  for (const auto &Field : Parser.get())
    Response.Headers.push_back({.Name = std::string(Field.name_string()),
                                .Value = std::string(Field.value())});
  co_return Response;
}

} // namespace buckthorndeck
