#ifndef BUCKTHORNDECK_STANDINS_FLOWMESSAGE_H
#define BUCKTHORNDECK_STANDINS_FLOWMESSAGE_H

#include "buckthorndeck/base/Bytes.h"

#include <cstdint>
#include <optional>

//! What callers and servers of packet flows tell each other: a head of fixed
//! size and a body that both can compute.
namespace buckthorndeck::standins {

struct FlowRequest {
  std::uint64_t Id = 0;
  std::uint32_t BodyBytes = 0;
  std::uint32_t AnswerBytes = 0;
  bool Intact = true; //!< Only read: the body is the expected one.
};

struct FlowAnswer {
  std::uint64_t Request = 0;
  std::uint64_t Server = 0; //!< Id of the server that ran it.
  std::uint32_t BodyBytes = 0;
  bool Intact = true; //!< Only read: the body is the expected one.
};

Bytes encode(const FlowRequest &Message);
Bytes encode(const FlowAnswer &Message);

//! Removes a whole message from the front of Received; no value if there is
//! none yet.
std::optional<FlowRequest> takeRequest(Bytes &Received);
std::optional<FlowAnswer> takeAnswer(Bytes &Received);

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_FLOWMESSAGE_H
