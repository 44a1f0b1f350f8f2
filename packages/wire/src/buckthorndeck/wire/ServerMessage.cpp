#include "buckthorndeck/wire/ServerMessage.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/wire/Datagram.h"

#include <algorithm>

namespace buckthorndeck::wire {

namespace {

constexpr std::size_t MaxTypeBytes = 16;
constexpr std::uint64_t MaxSlots = 1024;
constexpr auto LastRefusal = static_cast<std::uint64_t>(Refusal::WrongService);

struct MessageEncoder {
  Json operator()(const ServerHello &M) const {
    return {{"type", "hello"},
            {"server", M.Server.value()},
            {"generation", M.ServerGeneration.value()},
            {"service", M.Service.value()},
            {"slots", M.Slots}};
  }
  Json operator()(const ServerDone &M) const {
    return {
        {"type", "done"}, {"id", M.Id}, {"ok", M.Ok}, {"body", binary(M.Body)}};
  }
  Json operator()(const ServerRefused &M) const {
    return {{"type", "refused"},
            {"id", M.Id},
            {"reason", static_cast<unsigned>(M.Reason)}};
  }
  Json operator()(const ServerCancelled &M) const {
    return {{"type", "cancelled"}, {"id", M.Id}, {"started", M.Started}};
  }
  Json operator()(const ServerEvent &M) const {
    return {{"type", "event"},
            {"id", M.Id},
            {"seq", M.Number.value()},
            {"body", binary(M.Body)}};
  }
  Json operator()(const ServerEnded &M) const {
    return {{"type", "ended"},
            {"id", M.Id},
            {"reason", static_cast<unsigned>(M.Reason)}};
  }
  Json operator()(const ServerDraining &) const {
    return {{"type", "draining"}};
  }
};

struct CommandEncoder {
  Json operator()(const RunCommand &M) const {
    const auto TimeLeft = std::max<std::int64_t>(0, M.Deadline.count());
    return {{"type", "run"},
            {"id", M.Id},
            {"service", M.Service.value()},
            {"op", M.Operation},
            {"deadline", static_cast<std::uint64_t>(TimeLeft)},
            {"body", binary(M.Body)}};
  }
  Json operator()(const CancelCommand &M) const {
    return {{"type", "cancel"}, {"id", M.Id}};
  }
  Json operator()(const SubscribeCommand &M) const {
    return {{"type", "subscribe"},
            {"id", M.Id},
            {"service", M.Service.value()},
            {"op", M.Operation},
            {"after", M.After.value()}};
  }
  Json operator()(const UnsubscribeCommand &M) const {
    return {{"type", "unsubscribe"}, {"id", M.Id}};
  }
};

std::uint64_t readId(FieldReader &Reader) { return Reader.number("id"); }

ObjectName readName(FieldReader &Reader, const char *Field) {
  return ObjectName(Reader.text(Field, MaxObjectNameBytes, 1));
}

Refusal readRefusal(FieldReader &Reader) {
  return static_cast<Refusal>(Reader.number("reason", LastRefusal));
}

std::string readOperation(FieldReader &Reader) {
  return Reader.text("op", MaxOperationBytes, 1);
}

ServerMessage readMessage(const std::string &Type, FieldReader &Reader) {
  if (Type == "hello")
    return ServerHello{
        .Server = readName(Reader, "server"),
        .ServerGeneration = Generation(Reader.number("generation")),
        .Service = readName(Reader, "service"),
        .Slots =
            static_cast<std::uint32_t>(Reader.number("slots", MaxSlots, 1))};
  if (Type == "done")
    return ServerDone{.Id = readId(Reader),
                      .Ok = Reader.flag("ok"),
                      .Body = Reader.bytes("body", MaxBodyBytes)};
  if (Type == "refused")
    return ServerRefused{.Id = readId(Reader), .Reason = readRefusal(Reader)};
  if (Type == "cancelled")
    return ServerCancelled{.Id = readId(Reader),
                           .Started = Reader.flag("started")};
  if (Type == "event")
    return ServerEvent{.Id = readId(Reader),
                       .Number = Sequence(Reader.number("seq")),
                       .Body = Reader.bytes("body", MaxPartBytes)};
  if (Type == "ended")
    return ServerEnded{.Id = readId(Reader), .Reason = readRefusal(Reader)};
  if (Type != "draining")
    Reader.fail("type", "a known server message");
  return ServerDraining{};
}

ServerCommand readCommand(const std::string &Type, FieldReader &Reader) {
  if (Type == "run")
    return RunCommand{.Id = readId(Reader),
                      .Service = readName(Reader, "service"),
                      .Operation = readOperation(Reader),
                      .Deadline = std::chrono::milliseconds(
                          Reader.number("deadline", MaxDeadline.count())),
                      .Body = Reader.bytes("body", MaxBodyBytes)};
  if (Type == "cancel")
    return CancelCommand{.Id = readId(Reader)};
  if (Type == "subscribe")
    return SubscribeCommand{.Id = readId(Reader),
                            .Service = readName(Reader, "service"),
                            .Operation = readOperation(Reader),
                            .After = Sequence(Reader.number("after"))};
  if (Type != "unsubscribe")
    Reader.fail("type", "a known command");
  return UnsubscribeCommand{.Id = readId(Reader)};
}

} // namespace

const char *toString(Refusal Value) {
  switch (Value) {
  case Refusal::Busy:
    return "busy";
  case Refusal::Draining:
    return "draining";
  case Refusal::Cold:
    return "cold";
  case Refusal::WrongService:
    return "wrong_service";
  }
  return "invalid";
}

Json encode(const ServerMessage &Message) {
  return std::visit(MessageEncoder{}, Message);
}

Json encode(const ServerCommand &Command) {
  return std::visit(CommandEncoder{}, Command);
}

Expected<ServerMessage> decodeServerMessage(const Json &Fields,
                                            const std::string &Peer) {
  FieldReader Reader(Fields, "decode server message", Peer);
  const std::string Type = Reader.text("type", MaxTypeBytes);
  ServerMessage Message = readMessage(Type, Reader);
  if (Reader.failed())
    return Unexpected(Reader.error());
  return Message;
}

Expected<ServerCommand> decodeServerCommand(const Json &Fields,
                                            const std::string &Peer) {
  FieldReader Reader(Fields, "decode command", Peer);
  const std::string Type = Reader.text("type", MaxTypeBytes);
  ServerCommand Command = readCommand(Type, Reader);
  if (Reader.failed())
    return Unexpected(Reader.error());
  return Command;
}

} // namespace buckthorndeck::wire
