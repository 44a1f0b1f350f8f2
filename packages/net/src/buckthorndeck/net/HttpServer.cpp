#include "buckthorndeck/net/HttpServer.h"

#include "buckthorndeck/net/TcpListener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace buckthorndeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t MaxRequestBytes = 2 * 1024 * 1024;
constexpr std::chrono::seconds IdleTimeout{60};

Task<> serveConnection(tcp::socket Socket, HttpHandler Handler) {
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer;
  while (true) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MaxRequestBytes);
    Stream.expires_after(IdleTimeout);
    auto [ReadCode, Read] = co_await http::async_read(
        Stream, Buffer, Parser, asio::as_tuple(asio::use_awaitable));
    if (ReadCode)
      co_return;
    auto &Message = Parser.get();
    HttpRequest Request{.Method = std::string(Message.method_string()),
                        .Target = std::string(Message.target()),
                        .Body = std::move(Message.body())};
    const bool KeepAlive = Message.keep_alive();
    Stream.expires_never();
    std::optional<HttpResponse> Answer = co_await Handler(std::move(Request));
    if (!Answer)
      co_return;
    http::response<http::string_body> Response(
        static_cast<http::status>(Answer->Status), 11);
    Response.set(http::field::content_type, Answer->ContentType);
    for (const HttpHeader &Header : Answer->Headers)
      Response.set(Header.Name, Header.Value);
    Response.keep_alive(KeepAlive);
    Response.body() = std::move(Answer->Body);
    Response.prepare_payload();
    Stream.expires_after(IdleTimeout);
    auto [WriteCode, Written] = co_await http::async_write(
        Stream, Response, asio::as_tuple(asio::use_awaitable));
    if (WriteCode || !KeepAlive)
      co_return;
  }
}

} // namespace

HttpServer::HttpServer(tcp::acceptor Acceptor)
    : Acceptor(std::move(Acceptor)), Local(this->Acceptor.local_endpoint()) {}

Expected<HttpServer> HttpServer::bind(const Executor &Where,
                                      const TcpEndpoint &Local) {
  auto Acceptor = listenTcp(Where, Local);
  if (!Acceptor)
    return Unexpected(Acceptor.error());
  return HttpServer(std::move(*Acceptor));
}

Task<> HttpServer::serve(HttpHandler Handler) {
  while (true) {
    auto Socket = co_await acceptTcp(Acceptor);
    if (!Socket)
      co_return;
    spawn(Acceptor.get_executor(), "http_connection",
          serveConnection(std::move(*Socket), Handler));
  }
}

void HttpServer::close() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
}

} // namespace buckthorndeck
