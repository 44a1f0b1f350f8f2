#include "buckthorndeck/standins/FlowStream.h"

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/standins/FlowMessage.h"
#include "buckthorndeck/standins/GeneratedBody.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

//! Two ends with a link that loses packets; time is simulated.
struct Pair {
  explicit Pair(double Loss) : Loss(Loss) {}

  FlowStreamOptions side(std::deque<FlowPacket> &Link, std::uint32_t First,
                         std::uint32_t Expected) {
    FlowStreamOptions Options{.FirstSequence = First,
                              .FirstExpected = Expected};
    Options.Send = [this, &Link](const FlowPacket &Packet) {
      if (randomUnit(Random) >= Loss)
        Link.push_back(Packet);
    };
    return Options;
  }

  void run(Milliseconds Time) {
    const TimePoint End = Now + Time;
    for (; Now < End; Now += Milliseconds(10)) {
      deliver(ToServer, Server);
      deliver(ToCaller, Caller);
      Caller.tick(Now);
      Server.tick(Now);
    }
  }

  void deliver(std::deque<FlowPacket> &Link, FlowStream &Receiver) const {
    const std::deque<FlowPacket> Arrived = std::exchange(Link, {});
    for (const FlowPacket &Packet : Arrived)
      Receiver.receive(Packet, Now);
  }

  double Loss;
  RandomEngine Random{7};
  TimePoint Now{};
  std::deque<FlowPacket> ToServer;
  std::deque<FlowPacket> ToCaller;
  // The sequence numbers wrap around within the test.
  FlowStream Caller{side(ToServer, 0xffff'f000U, 500)};
  FlowStream Server{side(ToCaller, 500, 0xffff'f000U)};
};

} // namespace

TEST_CASE("A flow carries every byte in order although a link loses packets") {
  const double Loss = GENERATE(0.0, 0.05, 0.3);
  Pair Ends(Loss);
  const Bytes Sent = generatedBody(3, 100'000);
  Ends.Caller.write(Sent, Ends.Now);
  Ends.run(Milliseconds(120'000));
  CHECK(Ends.Server.received() == Sent);
}

TEST_CASE("A flow is closed once both ends have finished") {
  Pair Ends(0.1);
  Ends.Caller.write(toBytes("question"), Ends.Now);
  Ends.Caller.finish(Ends.Now);
  Ends.run(Milliseconds(5000));
  CHECK(Ends.Server.finishedByPeer());
  CHECK_FALSE(Ends.Caller.closed());
  Ends.Server.write(toBytes("answer"), Ends.Now);
  Ends.Server.finish(Ends.Now);
  Ends.run(Milliseconds(10'000));
  CHECK(Ends.Caller.closed());
  CHECK(Ends.Caller.received() == toBytes("answer"));
}

TEST_CASE("An end gives up when nothing it sends is acknowledged") {
  Pair Ends(1.0);
  Ends.Caller.write(toBytes("question"), Ends.Now);
  Ends.run(Milliseconds(8000));
  CHECK_FALSE(Ends.Caller.gaveUp());
  Ends.run(Milliseconds(5000));
  CHECK(Ends.Caller.gaveUp());
}

TEST_CASE("A message is taken only once it has arrived whole") {
  const Bytes Whole = encode(FlowRequest{.Id = 9, .BodyBytes = 50});
  Bytes Received(Whole.begin(), Whole.end() - 1);
  CHECK_FALSE(takeRequest(Received));
  Received.push_back(Whole.back());
  const auto Message = takeRequest(Received);
  REQUIRE(Message);
  CHECK(Message->Id == 9);
  CHECK(Message->Intact);
  CHECK(Received.empty());
}

TEST_CASE("A message whose body was changed is recognised") {
  Bytes Request = encode(FlowRequest{.Id = 9, .BodyBytes = 50});
  Request[40] ^= 1;
  CHECK_FALSE(takeRequest(Request)->Intact);
  Bytes Answer = encode(FlowAnswer{.Request = 9, .Server = 4, .BodyBytes = 50});
  Answer[40] ^= 1;
  CHECK_FALSE(takeAnswer(Answer)->Intact);
}
