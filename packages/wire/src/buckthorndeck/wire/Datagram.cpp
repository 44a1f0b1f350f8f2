#include "buckthorndeck/wire/Datagram.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/wire/Envelope.h"

#include <limits>

namespace buckthorndeck::wire {

namespace {

// Message types on the wire; never reused for another message.
enum class Type : unsigned {
  Open = 1,
  Request = 2,
  Subscribe = 3,
  Unsubscribe = 4,
  Cancel = 5,
  Welcome = 6,
  Answer = 7,
  Event = 8,
  Subscribed = 9,
  Accepted = 10,
};

constexpr std::uint64_t MaxLifetimeMs = 3'600'000;
constexpr std::uint64_t MaxAttempt = 1'000;

std::uint64_t count(std::chrono::milliseconds Value) {
  return Value.count() < 0 ? 0 : static_cast<std::uint64_t>(Value.count());
}

void writePart(Json &Fields, const BodyPart &Part) {
  Fields["part"] = Part.Part;
  Fields["parts"] = Part.Parts;
  Fields["total"] = Part.TotalBytes;
  Fields["digest"] = Part.BodyDigest.value();
  Fields["body"] = binary(Part.Body);
}

BodyPart readPart(FieldReader &Reader) {
  BodyPart Part;
  Part.Parts =
      static_cast<std::uint32_t>(Reader.number("parts", MaxParts, /*Min=*/1));
  Part.Part = static_cast<std::uint32_t>(Reader.number("part", MaxParts - 1));
  Part.TotalBytes =
      static_cast<std::uint32_t>(Reader.number("total", MaxBodyBytes));
  Part.BodyDigest = Digest(Reader.number("digest"));
  Part.Body = Reader.bytes("body", MaxPartBytes);
  if (Part.Part >= Part.Parts)
    Reader.fail("part", "an index below the number of parts");
  return Part;
}

void writeToken(Json &Fields, const Bytes &Token,
                std::chrono::milliseconds Lifetime) {
  Fields["token"] = binary(Token);
  Fields["lifetime"] = count(Lifetime);
}

std::chrono::milliseconds readLifetime(FieldReader &Reader) {
  return std::chrono::milliseconds(Reader.number("lifetime", MaxLifetimeMs));
}

Bytes readToken(FieldReader &Reader) {
  return Reader.bytes("token", MaxTokenBytes);
}

FlowId readFlow(FieldReader &Reader) { return FlowId(Reader.number("flow")); }

Sequence readSequence(FieldReader &Reader) {
  return Sequence(Reader.number("seq"));
}

ServiceAddress readService(FieldReader &Reader) {
  return ServiceAddress(Reader.text("svc", MaxAddressBytes, 1));
}

std::string readOperation(FieldReader &Reader) {
  return Reader.text("op", MaxOperationBytes, 1);
}

std::uint32_t readAttempt(FieldReader &Reader) {
  return static_cast<std::uint32_t>(Reader.number("attempt", MaxAttempt, 1));
}

Bytes envelope(Type Kind, Json Fields) {
  return encodeEnvelope(static_cast<unsigned>(Kind), std::move(Fields));
}

struct Encoder {
  Bytes operator()(const Open &M) const {
    return envelope(Type::Open,
                    {{"flow", M.Flow.value()}, {"svc", M.Service.value()}});
  }

  Bytes operator()(const Request &M) const {
    Json Fields = {{"flow", M.Flow.value()},   {"seq", M.Number.value()},
                   {"svc", M.Service.value()}, {"op", M.Operation},
                   {"attempt", M.Attempt},     {"deadline", count(M.Deadline)},
                   {"idem", M.Idempotent},     {"token", binary(M.Token)}};
    writePart(Fields, M.Part);
    return envelope(Type::Request, std::move(Fields));
  }

  Bytes operator()(const Subscribe &M) const {
    return envelope(Type::Subscribe, {{"flow", M.Flow.value()},
                                      {"svc", M.Service.value()},
                                      {"op", M.Operation},
                                      {"after", M.After.value()},
                                      {"attempt", M.Attempt},
                                      {"token", binary(M.Token)}});
  }

  Bytes operator()(const Unsubscribe &M) const {
    return envelope(Type::Unsubscribe, {{"flow", M.Flow.value()},
                                        {"svc", M.Service.value()},
                                        {"token", binary(M.Token)}});
  }

  Bytes operator()(const Cancel &M) const {
    return envelope(Type::Cancel, {{"flow", M.Flow.value()},
                                   {"seq", M.Number.value()},
                                   {"svc", M.Service.value()},
                                   {"token", binary(M.Token)}});
  }

  Bytes operator()(const Welcome &M) const {
    Json Fields = {{"flow", M.Flow.value()}};
    writeToken(Fields, M.Token, M.Lifetime);
    return envelope(Type::Welcome, std::move(Fields));
  }

  Bytes operator()(const Answer &M) const {
    Json Fields = {{"flow", M.Flow.value()},
                   {"seq", M.Number.value()},
                   {"outcome", static_cast<unsigned>(M.Result)},
                   {"reason", M.Reason}};
    writeToken(Fields, M.Token, M.Lifetime);
    writePart(Fields, M.Part);
    return envelope(Type::Answer, std::move(Fields));
  }

  Bytes operator()(const Event &M) const {
    return envelope(Type::Event, {{"flow", M.Flow.value()},
                                  {"seq", M.Number.value()},
                                  {"body", binary(M.Body)}});
  }

  Bytes operator()(const Subscribed &M) const {
    Json Fields = {{"flow", M.Flow.value()}, {"pos", M.Position.value()}};
    writeToken(Fields, M.Token, M.Lifetime);
    return envelope(Type::Subscribed, std::move(Fields));
  }

  Bytes operator()(const Accepted &M) const {
    return envelope(Type::Accepted,
                    {{"flow", M.Flow.value()}, {"seq", M.Number.value()}});
  }
};

Request readRequest(FieldReader &Reader) {
  return Request{.Flow = readFlow(Reader),
                 .Number = readSequence(Reader),
                 .Service = readService(Reader),
                 .Operation = readOperation(Reader),
                 .Attempt = readAttempt(Reader),
                 .Deadline = std::chrono::milliseconds(
                     Reader.number("deadline", MaxDeadline.count())),
                 .Idempotent = Reader.flag("idem"),
                 .Token = readToken(Reader),
                 .Part = readPart(Reader)};
}

Answer readAnswer(FieldReader &Reader) {
  constexpr auto LastOutcome = static_cast<std::uint64_t>(Outcome::Reopen);
  return Answer{.Flow = readFlow(Reader),
                .Number = readSequence(Reader),
                .Result =
                    static_cast<Outcome>(Reader.number("outcome", LastOutcome)),
                .Reason = Reader.text("reason", MaxReasonBytes),
                .Token = readToken(Reader),
                .Lifetime = readLifetime(Reader),
                .Part = readPart(Reader)};
}

Subscribe readSubscribe(FieldReader &Reader) {
  return Subscribe{.Flow = readFlow(Reader),
                   .Service = readService(Reader),
                   .Operation = readOperation(Reader),
                   .After = Sequence(Reader.number("after")),
                   .Attempt = readAttempt(Reader),
                   .Token = readToken(Reader)};
}

Datagram readFields(Type Kind, FieldReader &Reader) {
  switch (Kind) {
  case Type::Open:
    return Open{.Flow = readFlow(Reader), .Service = readService(Reader)};
  case Type::Request:
    return readRequest(Reader);
  case Type::Subscribe:
    return readSubscribe(Reader);
  case Type::Unsubscribe:
    return Unsubscribe{.Flow = readFlow(Reader),
                       .Service = readService(Reader),
                       .Token = readToken(Reader)};
  case Type::Cancel:
    return Cancel{.Flow = readFlow(Reader),
                  .Number = readSequence(Reader),
                  .Service = readService(Reader),
                  .Token = readToken(Reader)};
  case Type::Welcome:
    return Welcome{.Flow = readFlow(Reader),
                   .Token = readToken(Reader),
                   .Lifetime = readLifetime(Reader)};
  case Type::Answer:
    return readAnswer(Reader);
  case Type::Event:
    return Event{.Flow = readFlow(Reader),
                 .Number = readSequence(Reader),
                 .Body = Reader.bytes("body", MaxPartBytes)};
  case Type::Subscribed:
    return Subscribed{.Flow = readFlow(Reader),
                      .Position = Sequence(Reader.number("pos")),
                      .Token = readToken(Reader),
                      .Lifetime = readLifetime(Reader)};
  case Type::Accepted:
    return Accepted{.Flow = readFlow(Reader), .Number = readSequence(Reader)};
  }
  Reader.fail("type", "a known message type");
  return Open{};
}

} // namespace

const char *toString(Outcome Value) {
  switch (Value) {
  case Outcome::Ok:
    return "ok";
  case Outcome::Failed:
    return "failed";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Reopen:
    return "reopen";
  }
  return "invalid";
}

Bytes encode(const Datagram &Message) { return std::visit(Encoder{}, Message); }

Expected<Datagram> decode(ByteView Payload, const std::string &Peer) {
  const std::string Step = "decode datagram";
  auto Opened = decodeEnvelope(Payload, Step, Peer);
  if (!Opened)
    return Unexpected(Opened.error());
  FieldReader Reader(Opened->Fields, Step, Peer);
  Datagram Message = readFields(static_cast<Type>(Opened->Type), Reader);
  if (Reader.failed())
    return Unexpected(Reader.error());
  return Message;
}

} // namespace buckthorndeck::wire
