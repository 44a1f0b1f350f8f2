#include "buckthorndeck/standins/TcpProxy.h"

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/TcpListener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <list>

namespace buckthorndeck::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t ChunkBytes = 16 * 1024;
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

enum class Direction : std::uint8_t { ToServer, FromServer };

void closeWithReset(tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace

struct TcpProxy::State {
  struct Connection {
    tcp::socket Caller;
    tcp::socket Server;
    bool Silent = false;
  };

  State(const Executor &Where, tcp::acceptor Acceptor,
        const TcpEndpoint &Server)
      : Where(Where), Acceptor(std::move(Acceptor)), Server(Server),
        Changed(Where) {}

  bool holds(const Connection &Link, Direction Way) const {
    return Link.Silent || (Way == Direction::ToServer ? Faults.HoldToServer
                                                      : Faults.HoldFromServer);
  }
  void closeAll();

  static Task<> accept(std::shared_ptr<State> Self);
  static Task<> connect(std::shared_ptr<State> Self,
                        std::shared_ptr<Connection> Link);
  static Task<> relay(std::shared_ptr<State> Self,
                      std::shared_ptr<Connection> Link, Direction Way);

  Executor Where;
  tcp::acceptor Acceptor;
  TcpEndpoint Server;
  Notifier Changed;
  TcpLinkFaults Faults;
  std::list<std::weak_ptr<Connection>> Links;
  bool Stopped = false;
};

void TcpProxy::State::closeAll() {
  for (const auto &Each : Links)
    if (const auto Link = Each.lock()) {
      closeWithReset(Link->Caller);
      closeWithReset(Link->Server);
    }
  Links.clear();
  Changed.notifyAll();
}

Task<> TcpProxy::State::relay(std::shared_ptr<State> Self,
                              std::shared_ptr<Connection> Link, Direction Way) {
  tcp::socket &From = Way == Direction::ToServer ? Link->Caller : Link->Server;
  tcp::socket &To = Way == Direction::ToServer ? Link->Server : Link->Caller;
  Bytes Chunk(ChunkBytes);
  while (true) {
    const auto [ReadCode, Count] =
        co_await From.async_read_some(asio::buffer(Chunk), AsTuple);
    if (Self->Faults.Delay.count() > 0)
      co_await sleepFor(Self->Faults.Delay);
    while (Self->holds(*Link, Way) && !Self->Stopped && To.is_open())
      co_await Self->Changed.wait();
    boost::system::error_code Ignored;
    if (ReadCode) {
      To.shutdown(tcp::socket::shutdown_send, Ignored);
      co_return;
    }
    const auto [WriteCode, Written] =
        co_await asio::async_write(To, asio::buffer(Chunk, Count), AsTuple);
    if (WriteCode) {
      From.close(Ignored);
      co_return;
    }
  }
}

Task<> TcpProxy::State::connect(std::shared_ptr<State> Self,
                                std::shared_ptr<Connection> Link) {
  const auto [Code] =
      co_await Link->Server.async_connect(Self->Server, AsTuple);
  if (Code) {
    closeWithReset(Link->Caller);
    co_return;
  }
  spawn(Self->Where, "proxy_to_server", relay(Self, Link, Direction::ToServer));
  spawn(Self->Where, "proxy_from_server",
        relay(Self, Link, Direction::FromServer));
}

Task<> TcpProxy::State::accept(std::shared_ptr<State> Self) {
  while (true) {
    auto Socket = co_await acceptTcp(Self->Acceptor);
    if (!Socket)
      co_return;
    if (Self->Faults.Refuse) {
      closeWithReset(*Socket);
      continue;
    }
    auto Link = std::make_shared<Connection>(Connection{
        .Caller = std::move(*Socket), .Server = tcp::socket(Self->Where)});
    Self->Links.remove_if([](const auto &Each) { return Each.expired(); });
    Self->Links.push_back(Link);
    spawn(Self->Where, "proxy_connect", connect(Self, Link));
  }
}

TcpProxy::TcpProxy(std::shared_ptr<State> Shared) : Shared(std::move(Shared)) {}

TcpProxy::~TcpProxy() {
  Shared->Stopped = true;
  boost::system::error_code Ignored;
  Shared->Acceptor.close(Ignored);
  Shared->closeAll();
}

Expected<std::unique_ptr<TcpProxy>> TcpProxy::start(const Executor &Where,
                                                    const TcpEndpoint &Server) {
  const TcpEndpoint Local(asio::ip::address_v4::loopback(), 0);
  auto Acceptor = listenTcp(Where, Local);
  if (!Acceptor)
    return Unexpected(Acceptor.error());
  auto Shared = std::make_shared<State>(Where, std::move(*Acceptor), Server);
  spawn(Where, "proxy", State::accept(Shared));
  return std::unique_ptr<TcpProxy>(new TcpProxy(std::move(Shared)));
}

TcpEndpoint TcpProxy::endpoint() const {
  return Shared->Acceptor.local_endpoint();
}

void TcpProxy::setFaults(const TcpLinkFaults &Faults) {
  Shared->Faults = Faults;
  Shared->Changed.notifyAll();
}

void TcpProxy::reset() { Shared->closeAll(); }

void TcpProxy::silence() {
  for (const auto &Each : Shared->Links)
    if (const auto Link = Each.lock())
      Link->Silent = true;
}

} // namespace buckthorndeck::standins
