#ifndef BUCKTHORNDECK_WIRE_TESTS_SAMPLES_H
#define BUCKTHORNDECK_WIRE_TESTS_SAMPLES_H

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/wire/Datagram.h"
#include "buckthorndeck/wire/ServerMessage.h"

#include <vector>

//! One message of each type, each as long as its limits allow.
namespace buckthorndeck::wire {

inline constexpr std::uint64_t MaxNumber = UINT64_MAX;

inline BodyPart longestPart() {
  const Bytes Body(MaxPartBytes, 0xff);
  return {.Part = MaxParts - 1,
          .Parts = MaxParts,
          .TotalBytes = MaxBodyBytes,
          .BodyDigest = Digest(MaxNumber),
          .Body = Body};
}

inline std::vector<Datagram> longestDatagrams() {
  const FlowId Flow(MaxNumber);
  const Sequence Number(MaxNumber);
  const ServiceAddress Service("255.255.255.255:65535");
  const std::string Operation(MaxOperationBytes, 'o');
  const Bytes Token(MaxTokenBytes, 0xff);
  const std::chrono::milliseconds Lifetime(3'600'000);
  return {
      Open{.Flow = Flow, .Service = Service},
      Request{.Flow = Flow,
              .Number = Number,
              .Service = Service,
              .Operation = Operation,
              .Attempt = 1000,
              .Deadline = MaxDeadline,
              .Idempotent = true,
              .Token = Token,
              .Part = longestPart()},
      Subscribe{.Flow = Flow,
                .Service = Service,
                .Operation = Operation,
                .After = Number,
                .Attempt = 1000,
                .Token = Token},
      Unsubscribe{.Flow = Flow, .Service = Service, .Token = Token},
      Cancel{
          .Flow = Flow, .Number = Number, .Service = Service, .Token = Token},
      Welcome{.Flow = Flow, .Token = Token, .Lifetime = Lifetime},
      Answer{.Flow = Flow,
             .Number = Number,
             .Result = Outcome::Reopen,
             .Reason = std::string(MaxReasonBytes, 'r'),
             .Token = Token,
             .Lifetime = Lifetime,
             .Part = longestPart()},
      Event{.Flow = Flow, .Number = Number, .Body = Bytes(MaxPartBytes, 0xff)},
      Subscribed{.Flow = Flow,
                 .Position = Number,
                 .Token = Token,
                 .Lifetime = Lifetime}};
}

inline std::vector<ServerMessage> serverMessages() {
  const ObjectName Name(std::string(MaxObjectNameBytes, 'n'));
  return {ServerHello{.Server = Name,
                      .ServerGeneration = Generation(MaxNumber),
                      .Service = Name,
                      .Slots = 1024},
          ServerDone{.Id = MaxNumber, .Ok = true, .Body = Bytes(5000, 1)},
          ServerRefused{.Id = 0, .Reason = Refusal::WrongService},
          ServerCancelled{.Id = 1, .Started = false},
          ServerEvent{.Id = 1,
                      .Number = Sequence(MaxNumber),
                      .Body = Bytes(MaxPartBytes, 2)},
          ServerEnded{.Id = 1, .Reason = Refusal::Draining},
          ServerDraining{}};
}

inline std::vector<ServerCommand> serverCommands() {
  const ObjectName Name(std::string(MaxObjectNameBytes, 'n'));
  const std::string Operation(MaxOperationBytes, 'o');
  return {RunCommand{.Id = MaxNumber,
                     .Service = Name,
                     .Operation = Operation,
                     .Deadline = MaxDeadline,
                     .Body = Bytes(5000, 1)},
          CancelCommand{.Id = 1},
          SubscribeCommand{.Id = 1,
                           .Service = Name,
                           .Operation = Operation,
                           .After = Sequence(MaxNumber)},
          UnsubscribeCommand{.Id = 1}};
}

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_TESTS_SAMPLES_H
