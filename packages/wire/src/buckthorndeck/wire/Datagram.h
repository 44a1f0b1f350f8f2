#ifndef BUCKTHORNDECK_WIRE_DATAGRAM_H
#define BUCKTHORNDECK_WIRE_DATAGRAM_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/base/Ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace buckthorndeck::wire {

inline constexpr unsigned ProtocolVersion = 1;
//! Longest datagram between callers and hosts. MaxPeerDatagramBytes leaves room
//! for the relay envelope around it.
inline constexpr std::size_t MaxDatagramBytes = 1400;
//! Longest datagram between hosts, MAC included: a 1,500-byte Ethernet frame
//! without its IPv4 (20) and UDP (8) headers.
inline constexpr std::size_t MaxPeerDatagramBytes = 1472;
inline constexpr std::size_t MaxPartBytes = 1000;
inline constexpr std::uint32_t MaxParts = 1100;
inline constexpr std::size_t MaxBodyBytes = 1024 * 1024;
inline constexpr std::size_t MaxOperationBytes = 32;
inline constexpr std::size_t MaxTokenBytes = 160;
inline constexpr std::size_t MaxReasonBytes = 64;
inline constexpr std::size_t MaxAddressBytes = 21;
//! Limits on names keep the longest token within MaxTokenBytes.
inline constexpr std::size_t MaxHostNameBytes = 32;
inline constexpr std::size_t MaxObjectNameBytes = 56;
inline constexpr std::chrono::milliseconds MaxDeadline{120'000};

//! What became of a request, as told to its caller.
enum class Outcome : std::uint8_t {
  Ok = 0,
  Failed = 1,  //!< The server ran it and reported an error.
  NotRun = 2,  //!< It was not run and never will be.
  Unknown = 3, //!< It may have run, and will not be run again.
  Reopen = 4,  //!< Not run; get a new token and send it as a new request.
};

const char *toString(Outcome Value);

//! One part of a body that may span several datagrams.
struct BodyPart {
  std::uint32_t Part = 0;  //!< Index from 0.
  std::uint32_t Parts = 1; //!< Count, at least 1.
  std::uint32_t TotalBytes = 0;
  Digest BodyDigest; //!< XXH3-64 of the whole body.
  Bytes Body;        //!< At most MaxPartBytes.
};

//! Caller asks for a token.
struct Open {
  FlowId Flow;
  ServiceAddress Service;
};

//! Caller sends one part of a request.
struct Request {
  FlowId Flow;
  Sequence Number;
  ServiceAddress Service;
  std::string Operation;
  std::uint32_t Attempt = 1; //!< From 1, raised with each retransmission.
  std::chrono::milliseconds Deadline{0}; //!< Time left.
  bool Idempotent = false;
  Bytes Token; //!< Empty if the caller has none.
  BodyPart Part;
};

//! Caller opens a subscription or keeps it alive.
struct Subscribe {
  FlowId Flow;
  ServiceAddress Service;
  std::string Operation;
  Sequence After;            //!< Last event received; 0 for none.
  std::uint32_t Attempt = 1; //!< Keepalives in a row without an answer, plus 1.
  Bytes Token;
};

struct Unsubscribe {
  FlowId Flow;
  ServiceAddress Service;
  Bytes Token;
};

//! Caller no longer wants the answer.
struct Cancel {
  FlowId Flow;
  Sequence Number;
  ServiceAddress Service;
  Bytes Token;
};

//! Entry host grants a token.
struct Welcome {
  FlowId Flow;
  Bytes Token;
  std::chrono::milliseconds Lifetime{0};
};

//! Entry host sends one part of an answer.
struct Answer {
  FlowId Flow;
  Sequence Number;
  Outcome Result = Outcome::Unknown;
  std::string Reason; //!< Why, for results other than Ok.
  Bytes Token;        //!< A fresh token, or empty.
  std::chrono::milliseconds Lifetime{0};
  BodyPart Part;
};

//! Entry host passes on one event of a subscription.
struct Event {
  FlowId Flow;
  Sequence Number;
  Bytes Body; //!< At most MaxPartBytes.
};

//! Entry host confirms a subscription or a keepalive.
struct Subscribed {
  FlowId Flow;
  Sequence Position; //!< Last event sent so far.
  Bytes Token;
  std::chrono::milliseconds Lifetime{0};
};

//! Entry host has the whole request and works on it. Answers a repeated
//! attempt, so that the caller neither sends the body again nor takes the home
//! for dead.
struct Accepted {
  FlowId Flow;
  Sequence Number;
};

//! Everything that passes between callers and entry hosts.
using Datagram = std::variant<Open, Request, Subscribe, Unsubscribe, Cancel,
                              Welcome, Answer, Event, Subscribed, Accepted>;

//! Encodes as the CBOR array [version, type, fields].
Bytes encode(const Datagram &Message);

//! Decodes and checks every field's type and range. Peer goes into the error.
Expected<Datagram> decode(ByteView Payload, const std::string &Peer);

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_DATAGRAM_H
