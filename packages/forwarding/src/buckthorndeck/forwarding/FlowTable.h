#ifndef BUCKTHORNDECK_FORWARDING_FLOWTABLE_H
#define BUCKTHORNDECK_FORWARDING_FLOWTABLE_H

#include "buckthorndeck/forwarding/Packet.h"
#include "buckthorndeck/net/Task.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace buckthorndeck::forwarding {

/**
 * State of a flow as observed from its caller's packets.
 *
 * It may be incomplete: each packet is forwarded by its token, so flows also
 * continue through a host that has no state of them.
 */
struct Flow {
  ServerToken Token;
  std::uint32_t SynSequence = 0; //!< Valid if SynSeen is set.
  TimePoint FirstPacketAt;       //!< First packet that this host received.
  TimePoint LastPacketAt;
  TimePoint WaitingSince;            //!< First unanswered data; epoch if none.
  std::uint32_t Acknowledged = 0;    //!< Last acknowledged by the caller.
  std::uint32_t EndSequence = 0;     //!< End of the caller's data.
  std::uint32_t Retransmissions = 0; //!< Since the last progress.
  bool SynSeen = false;              //!< This host received its SYN.
  bool Pending = false;              //!< Only its SYN was seen.
  bool Finished = false;             //!< The caller sends no more data.
  bool RequestOpen = false;          //!< A request whose answer has not ended.
  std::uint32_t AnswerStart = 0;     //!< Where the answer to it begins.
  //! Response time that is not yet recorded, since the answer may be a
  //! rejection; 0 if none.
  float HeldResponseMs = 0;
};

//! How a packet changed the state of its flow.
struct FlowUpdate {
  bool Established = false;    //!< First packet after the SYN.
  bool Progress = false;       //!< The packet shows an answer of the server.
  bool StartedWaiting = false; //!< First data since the last response.
  bool Retransmission = false;
  //! Time from the request to the first packet that answers it; 0 if none.
  Clock::duration ResponseTime{0};
  //! Acknowledged so far of the answer to the last request.
  std::uint32_t AnswerBytes = 0;
  bool AnswerEnded = false; //!< By the next request or the caller's FIN.
};

//! State of a flow whose SYN this host did not see.
Flow makeMidstreamFlow(const PacketHeader &Header, TimePoint Now);

//! Updates Tracked with a packet other than a SYN.
FlowUpdate recordPacket(Flow &Tracked, const PacketHeader &Header,
                        TimePoint Now);

//! Whether a SYN with this sequence number is a copy of the flow's own. If this
//! host did not receive that one, the number must shortly precede the flow's
//! data. Otherwise the SYN opens another flow with the same addresses and
//! ports.
bool isSynOf(const Flow &Tracked, std::uint32_t Sequence);

//! Acknowledged so far of the answer to the last request.
inline std::uint32_t answerBytes(const Flow &Tracked) {
  return Tracked.Acknowledged - Tracked.AnswerStart;
}

using FlowMap = boost::unordered_flat_map<FlowKey, Flow, FlowKeyHash>;

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_FLOWTABLE_H
