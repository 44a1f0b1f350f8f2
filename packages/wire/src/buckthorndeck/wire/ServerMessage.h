#ifndef BUCKTHORNDECK_WIRE_SERVERMESSAGE_H
#define BUCKTHORNDECK_WIRE_SERVERMESSAGE_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Json.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

//! Messages between an entry host and a backend server, one CBOR map each
//! over WebSocket. Ids are chosen by the entry host and never reused on one
//! connection.
namespace buckthorndeck::wire {

//! Why a server did not start a request.
enum class Refusal : std::uint8_t {
  Busy = 0,
  Draining = 1,
  Cold = 2,
  WrongService = 3,
};

const char *toString(Refusal Value);

// Server to entry host.

//! First message on a connection.
struct ServerHello {
  ObjectName Server;
  Generation ServerGeneration;
  ObjectName Service;
  std::uint32_t Slots = 0; //!< Requests that it runs at the same time.
};

//! The request ran to its end.
struct ServerDone {
  std::uint64_t Id = 0;
  bool Ok = false;
  Bytes Body;
};

//! The request was not started and will not be.
struct ServerRefused {
  std::uint64_t Id = 0;
  Refusal Reason = Refusal::Busy;
};

//! The request was cancelled or overran its deadline.
struct ServerCancelled {
  std::uint64_t Id = 0;
  bool Started = true; //!< False proves that nothing ran.
};

struct ServerEvent {
  std::uint64_t Id = 0;
  Sequence Number;
  Bytes Body;
};

//! The subscription is over.
struct ServerEnded {
  std::uint64_t Id = 0;
  Refusal Reason = Refusal::Draining;
};

//! The server takes no new work from now on and finishes what it has.
struct ServerDraining {};

// Entry host to server.

struct RunCommand {
  std::uint64_t Id = 0;
  ObjectName Service;
  std::string Operation;
  std::chrono::milliseconds Deadline{0}; //!< Time left.
  Bytes Body;
};

struct CancelCommand {
  std::uint64_t Id = 0;
};

struct SubscribeCommand {
  std::uint64_t Id = 0;
  ObjectName Service;
  std::string Operation;
  Sequence After;
};

struct UnsubscribeCommand {
  std::uint64_t Id = 0;
};

using ServerMessage =
    std::variant<ServerHello, ServerDone, ServerRefused, ServerCancelled,
                 ServerEvent, ServerEnded, ServerDraining>;
using ServerCommand = std::variant<RunCommand, CancelCommand, SubscribeCommand,
                                   UnsubscribeCommand>;

Json encode(const ServerMessage &Message);
Json encode(const ServerCommand &Command);
Expected<ServerMessage> decodeServerMessage(const Json &Fields,
                                            const std::string &Peer);
Expected<ServerCommand> decodeServerCommand(const Json &Fields,
                                            const std::string &Peer);

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_SERVERMESSAGE_H
