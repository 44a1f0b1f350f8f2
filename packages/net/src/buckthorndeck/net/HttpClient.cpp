#include "buckthorndeck/net/HttpClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace buckthorndeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {
constexpr std::size_t MaxResponseBytes = 4 * 1024 * 1024;
} // namespace

Task<Expected<HttpResponse>> callHttp(TcpEndpoint Peer, HttpRequest Request,
                                      Milliseconds Timeout) {
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
  Stream.expires_after(Timeout);
  auto [ConnectCode] =
      co_await Stream.async_connect(Peer, asio::as_tuple(asio::use_awaitable));
  if (ConnectCode)
    co_return Failed(ErrorCode::Unavailable, ConnectCode.message());

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
  auto [ReadCode, Read] = co_await http::async_read(
      Stream, Buffer, Parser, asio::as_tuple(asio::use_awaitable));
  if (ReadCode)
    co_return Failed(ErrorCode::Timeout, ReadCode.message());
  co_return HttpResponse{.Status = Parser.get().result_int(),
                         .Body = std::move(Parser.get().body())};
}

} // namespace buckthorndeck
