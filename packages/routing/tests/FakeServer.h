#ifndef BUCKTHORNDECK_ROUTING_TESTS_FAKESERVER_H
#define BUCKTHORNDECK_ROUTING_TESTS_FAKESERVER_H

#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/WebSocket.h"
#include "buckthorndeck/wire/ServerMessage.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthorndeck::routing {

//! A backend server that answers as the test decides.
class FakeServer {
public:
  using OnCommand =
      std::function<void(FakeServer &, const wire::ServerCommand &)>;

  FakeServer(const Executor &Where, const std::string &Name, OnCommand Answer,
             std::uint32_t Slots = 2)
      : Hello{.Server = ObjectName("ns/" + Name),
              .ServerGeneration = Generation(1),
              .Service = ObjectName("ns/service"),
              .Slots = Slots},
        Changed(Where), Where(Where), Answer(std::move(Answer)),
        Listener(*WebSocketListener::bind(
            Where, *parseTcpEndpoint("127.0.0.1:0", "bind"))) {
    spawn(Where, "fake_server", Listener.serve([this](WebSocket::Pointer Link) {
      return serveConnection(this, std::move(Link));
    }));
  }

  config::BackendServer declaration() const {
    return {.Name = Hello.Server,
            .Place = ObjectName("ns/place"),
            .Service = Hello.Service,
            .Address = toString(Listener.localEndpoint()),
            .ServerGeneration = Hello.ServerGeneration,
            .Slots = Hello.Slots};
  }

  void send(const wire::ServerMessage &Message) {
    Current->send(wire::encode(Message));
  }
  void sendDone(std::uint64_t Id, bool Ok = true) {
    send(wire::ServerDone{.Id = Id, .Ok = Ok, .Body = toBytes("answer")});
  }
  //! Closes the connection without an answer.
  void disconnect() { Current->close(); }

  //! Ids of the commands of one type, in order of arrival.
  template <typename Command> std::vector<std::uint64_t> ids() const {
    std::vector<std::uint64_t> Result;
    for (const wire::ServerCommand &Received : Commands)
      if (const auto *Match = std::get_if<Command>(&Received))
        Result.push_back(Match->Id);
    return Result;
  }
  template <typename Command> Task<> waitFor(std::size_t Count) {
    while (ids<Command>().size() < Count)
      co_await Changed.wait();
  }

  wire::ServerHello Hello; //!< First message on every connection.
  std::vector<wire::ServerCommand> Commands;
  int Connections = 0;
  bool IsConnected = false; //!< Whether the last connection is open.
  //! Notified when a command arrives or a connection is opened or closed.
  Notifier Changed;

private:
  static Task<> serveConnection(FakeServer *Self, WebSocket::Pointer Link) {
    Self->Current = Link;
    ++Self->Connections;
    Self->IsConnected = true;
    Link->send(wire::encode(wire::ServerMessage(Self->Hello)));
    Self->Changed.notifyAll();
    while (true) {
      auto Received = co_await Link->receive();
      if (!Received)
        break;
      auto Command = wire::decodeServerCommand(*Received, Link->peer());
      REQUIRE(Command.has_value());
      Self->Commands.push_back(*Command);
      Self->Answer(*Self, *Command);
      Self->Changed.notifyAll();
    }
    Self->IsConnected = false;
    Self->Changed.notifyAll();
  }

  Executor Where;
  OnCommand Answer;
  WebSocketListener Listener;
  WebSocket::Pointer Current;
};

//! Answers no command, so that the test can do so itself.
inline void answerNothing(FakeServer & /*Server*/,
                          const wire::ServerCommand & /*Command*/) {}

//! Answers every request at once.
inline void answerAll(FakeServer &Server, const wire::ServerCommand &Command) {
  if (const auto *Run = std::get_if<wire::RunCommand>(&Command))
    Server.sendDone(Run->Id);
}

//! Refuses every request.
template <wire::Refusal Reason>
void refuseAll(FakeServer &Server, const wire::ServerCommand &Command) {
  if (const auto *Run = std::get_if<wire::RunCommand>(&Command))
    Server.send(wire::ServerRefused{.Id = Run->Id, .Reason = Reason});
}

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_TESTS_FAKESERVER_H
