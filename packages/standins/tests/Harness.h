#ifndef BUCKTHORNDECK_STANDINS_TESTS_HARNESS_H
#define BUCKTHORNDECK_STANDINS_TESTS_HARNESS_H

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/net/UdpSocket.h"
#include "buckthorndeck/net/WebSocket.h"
#include "buckthorndeck/wire/Body.h"
#include "buckthorndeck/wire/Datagram.h"
#include "buckthorndeck/wire/ServerMessage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <vector>

namespace buckthorndeck::standins {

//! One io_context, run as far as a test needs.
class World {
public:
  World() {
    initLogging({.Threshold = LogLevel::Error, .Program = "standins_tests"});
  }

  Executor where() { return Context.get_executor(); }

  //! Runs Work to its end. The limit only stops a test that would hang.
  template <typename T> T run(Task<T> Work) {
    std::optional<T> Result;
    std::exception_ptr Failure;
    boost::asio::co_spawn(Context, std::move(Work),
                          [&](const std::exception_ptr &Caught, T Value) {
                            Failure = Caught;
                            Result = std::move(Value);
                          });
    runUntil([&] { return Result.has_value(); });
    if (Failure)
      std::rethrow_exception(Failure);
    return std::move(*Result);
  }

  void run(Task<> Work) {
    bool Done = false;
    std::exception_ptr Failure;
    boost::asio::co_spawn(Context, std::move(Work),
                          [&](const std::exception_ptr &Caught) {
                            Failure = Caught;
                            Done = true;
                          });
    runUntil([&] { return Done; });
    if (Failure)
      std::rethrow_exception(Failure);
  }

  //! Runs until Condition holds, testing it after every event.
  void runUntil(const std::function<bool()> &Condition) {
    const TimePoint Limit = Clock::now() + std::chrono::seconds(60);
    Context.restart();
    while (!Condition()) {
      if (Clock::now() > Limit)
        throw std::runtime_error("the test waits for an event that never came");
      Context.run_one_for(std::chrono::seconds(1));
      if (Context.stopped())
        Context.restart();
    }
  }

private:
  boost::asio::io_context Context{1};
};

//! Loopback address with a port that the kernel chooses.
inline UdpEndpoint anyUdp() {
  return {boost::asio::ip::address_v4::loopback(), 0};
}

inline TcpEndpoint anyTcp() {
  return {boost::asio::ip::address_v4::loopback(), 0};
}

//! An entry host whose answers a test writes.
class ScriptedHost {
public:
  using Replies = std::vector<wire::Datagram>;
  using Script = std::function<Replies(const wire::Datagram &)>;

  ScriptedHost(World &In, Script Answers)
      : Shared(std::make_shared<State>(
            State{UdpSocket::bind(In.where(), anyUdp()).value(),
                  std::move(Answers)})) {
    spawn(In.where(), "scripted_host", serve(Shared));
  }
  ScriptedHost(const ScriptedHost &) = delete;
  ScriptedHost &operator=(const ScriptedHost &) = delete;
  ~ScriptedHost() { Shared->Socket.close(); }

  UdpEndpoint endpoint() const { return Shared->Socket.localEndpoint(); }

  //! All received messages of one type.
  template <typename T> std::vector<T> received() const {
    std::vector<T> Result;
    for (const wire::Datagram &Message : Shared->Received)
      if (const T *Found = std::get_if<T>(&Message))
        Result.push_back(*Found);
    return Result;
  }

  //! Sends to whoever sent last.
  void push(const wire::Datagram &Message) {
    Shared->Socket.send(encode(Message), Shared->LastSender);
  }

  UdpEndpoint lastSender() const { return Shared->LastSender; }

private:
  struct State {
    UdpSocket Socket;
    Script Answers;
    std::vector<wire::Datagram> Received;
    UdpEndpoint LastSender;
  };

  static Task<> serve(std::shared_ptr<State> Self) {
    while (true) {
      auto Received = co_await Self->Socket.receive();
      if (!Received)
        co_return;
      auto Message = wire::decode(Received->Payload, "caller");
      if (!Message)
        continue;
      Self->LastSender = Received->Sender;
      Self->Received.push_back(*Message);
      for (const wire::Datagram &Reply : Self->Answers(*Message))
        Self->Socket.send(encode(Reply), Received->Sender);
    }
  }

  std::shared_ptr<State> Shared;
};

//! The datagrams of one whole answer.
inline ScriptedHost::Replies answer(const wire::Request &To,
                                    wire::Outcome Outcome, const Bytes &Body,
                                    const Bytes &Token = {}) {
  ScriptedHost::Replies Result;
  for (wire::BodyPart &Part : wire::splitBody(Body))
    Result.push_back(wire::Answer{.Flow = To.Flow,
                                  .Number = To.Number,
                                  .Result = Outcome,
                                  .Reason = "scripted",
                                  .Token = Token,
                                  .Lifetime = Milliseconds(15'000),
                                  .Part = std::move(Part)});
  return Result;
}

inline wire::Welcome welcome(const wire::Open &To, const std::string &Token,
                             Milliseconds Lifetime = Milliseconds(15'000)) {
  return {.Flow = To.Flow, .Token = toBytes(Token), .Lifetime = Lifetime};
}

//! An entry host's connection to a backend server.
class ServerClient {
public:
  ServerClient(World &In, const TcpEndpoint &Server)
      : In(In), Socket(In.run(WebSocket::connect(Server)).value()) {}

  void send(const wire::ServerCommand &Command) {
    REQUIRE(Socket->send(encode(Command)));
  }

  //! Next message, which must be a T.
  template <typename T> T next() {
    const Json Fields = In.run(Socket->receive()).value();
    const auto Message = wire::decodeServerMessage(Fields, "server").value();
    INFO("message " << Fields);
    REQUIRE(std::holds_alternative<T>(Message));
    return std::get<T>(Message);
  }

  //! True if the connection ended without another message.
  bool ended() { return !In.run(Socket->receive()); }

private:
  World &In;
  WebSocket::Pointer Socket;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_TESTS_HARNESS_H
