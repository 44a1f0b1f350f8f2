#include "buckthorndeck/standins/FlowMessage.h"

#include "buckthorndeck/standins/GeneratedBody.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace buckthorndeck::standins {

namespace endian = boost::endian;

namespace {

constexpr std::size_t RequestHeadBytes = 16;
constexpr std::size_t AnswerHeadBytes = 20;

Bytes withBody(Bytes Head, std::uint64_t Seed, std::size_t Length) {
  const Bytes Body = generatedBody(Seed, Length);
  Head.insert(Head.end(), Body.begin(), Body.end());
  return Head;
}

//! Removes a head and its body, and returns whether the body is the expected
//! one.
bool takeBody(Bytes &Received, std::size_t HeadBytes, std::uint64_t Seed,
              std::size_t Length) {
  const Bytes Body = generatedBody(Seed, Length);
  const auto First = Received.begin() + static_cast<std::ptrdiff_t>(HeadBytes);
  const auto Last = First + static_cast<std::ptrdiff_t>(Length);
  const bool Intact = std::equal(First, Last, Body.begin(), Body.end());
  Received.erase(Received.begin(), Last);
  return Intact;
}

//! Differs for each server, so that parts of two answers never fit.
std::uint64_t answerSeed(const FlowAnswer &Message) {
  return Message.Request * 31 + Message.Server;
}

} // namespace

Bytes encode(const FlowRequest &Message) {
  Bytes Head(RequestHeadBytes);
  endian::store_big_u64(Head.data(), Message.Id);
  endian::store_big_u32(Head.data() + 8, Message.BodyBytes);
  endian::store_big_u32(Head.data() + 12, Message.AnswerBytes);
  return withBody(std::move(Head), Message.Id, Message.BodyBytes);
}

Bytes encode(const FlowAnswer &Message) {
  Bytes Head(AnswerHeadBytes);
  endian::store_big_u64(Head.data(), Message.Request);
  endian::store_big_u64(Head.data() + 8, Message.Server);
  endian::store_big_u32(Head.data() + 16, Message.BodyBytes);
  return withBody(std::move(Head), answerSeed(Message), Message.BodyBytes);
}

std::optional<FlowRequest> takeRequest(Bytes &Received) {
  if (Received.size() < RequestHeadBytes)
    return std::nullopt;
  FlowRequest Message{.Id = endian::load_big_u64(Received.data()),
                      .BodyBytes = endian::load_big_u32(Received.data() + 8),
                      .AnswerBytes =
                          endian::load_big_u32(Received.data() + 12)};
  if (Received.size() - RequestHeadBytes < Message.BodyBytes)
    return std::nullopt;
  Message.Intact =
      takeBody(Received, RequestHeadBytes, Message.Id, Message.BodyBytes);
  return Message;
}

std::optional<FlowAnswer> takeAnswer(Bytes &Received) {
  if (Received.size() < AnswerHeadBytes)
    return std::nullopt;
  FlowAnswer Message{.Request = endian::load_big_u64(Received.data()),
                     .Server = endian::load_big_u64(Received.data() + 8),
                     .BodyBytes = endian::load_big_u32(Received.data() + 16)};
  if (Received.size() - AnswerHeadBytes < Message.BodyBytes)
    return std::nullopt;
  Message.Intact = takeBody(Received, AnswerHeadBytes, answerSeed(Message),
                            Message.BodyBytes);
  return Message;
}

} // namespace buckthorndeck::standins
