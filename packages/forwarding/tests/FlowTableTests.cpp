#include "buckthorndeck/forwarding/FlowTable.h"

#include "Samples.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

const ServerToken Token(7);

//! A flow whose open was answered.
Flow openedFlow() {
  Flow Known{.Token = Token, .SeenAt = Start, .Opening = true};
  recordPacket(Known, makeData(makeFlow(1), Token, 1001, 5000, 0), Start);
  return Known;
}

} // namespace

TEST_CASE("The first packet after an open shows that the server answered",
          "[flows]") {
  Flow Known{.Token = Token, .SeenAt = Start, .Opening = true};
  const FlowUpdate Update =
      recordPacket(Known, makeData(makeFlow(1), Token, 1001, 5000, 0), Start);
  CHECK(Update.Established);
  CHECK(Update.Progress);
}

TEST_CASE("A response is timed from its request", "[flows]") {
  Flow Known = openedFlow();
  const FlowUpdate Request =
      recordPacket(Known, makeData(makeFlow(1), Token, 1001, 5000), Start);
  CHECK(Request.StartedWaiting);
  CHECK_FALSE(Request.Progress);
  const FlowUpdate Response =
      recordPacket(Known, makeData(makeFlow(1), Token, 1101, 6200, 0),
                   Start + Milliseconds(30));
  CHECK(Response.Progress);
  CHECK(Response.ResponseTime == Milliseconds(30));
}

TEST_CASE("Data that is sent again without progress is a retransmission",
          "[flows]") {
  Flow Known = openedFlow();
  const PacketHeader Request = makeData(makeFlow(1), Token, 1001, 5000);
  recordPacket(Known, Request, Start);
  CHECK(recordPacket(Known, Request, Start).Retransmission);
  CHECK(Known.Retransmissions == 1);
  // The same data with a higher acknowledgement is not.
  PacketHeader Answered = Request;
  Answered.Acknowledged = 6000;
  const FlowUpdate Update = recordPacket(Known, Answered, Start);
  CHECK_FALSE(Update.Retransmission);
  CHECK(Known.Retransmissions == 0);
}

TEST_CASE("Numbers that wrap around still show progress", "[flows]") {
  Flow Known{.Token = Token, .SeenAt = Start, .Opening = true};
  recordPacket(Known, makeData(makeFlow(1), Token, 0xffffffb0, 0xfffffff0, 0),
               Start);
  const FlowUpdate Update = recordPacket(
      Known, makeData(makeFlow(1), Token, 0xffffffb0, 0x10, 100), Start);
  CHECK(Update.Progress);
  CHECK(Update.StartedWaiting);
  CHECK(recordPacket(Known, makeData(makeFlow(1), Token, 0x14, 0x10, 10), Start)
            .Retransmission == false);
}

TEST_CASE("The first packet of a flow from another host proves nothing",
          "[flows]") {
  // After a change of the routers a retransmission to a dead server arrives at
  // a host that has never seen the flow.
  const PacketHeader Request = makeData(makeFlow(1), Token, 1001, 5000);
  Flow Known = adoptFlow(Request, Start);
  const FlowUpdate Update = recordPacket(Known, Request, Start);
  CHECK_FALSE(Update.Progress);
  CHECK(Update.StartedWaiting);
  CHECK(recordPacket(Known, Request, Start).Retransmission);
}
