#ifndef BUCKTHORNDECK_FORWARDING_FLOWTABLE_H
#define BUCKTHORNDECK_FORWARDING_FLOWTABLE_H

#include "buckthorndeck/forwarding/Packet.h"
#include "buckthorndeck/net/Task.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace buckthorndeck::forwarding {

/**
 * What a host remembers of a flow whose packets it sees.
 *
 * Nothing depends on it being complete: the token in each packet decides where
 * it goes, so that a flow goes on through a host that never saw it.
 */
struct Flow {
  ServerToken Token;
  TimePoint SeenAt;
  TimePoint WaitingSince; //!< First data without a response; epoch if none.
  std::uint32_t Acknowledged = 0;    //!< Last that the caller acknowledged.
  std::uint32_t SentUpTo = 0;        //!< End of the caller's data.
  std::uint32_t Retransmissions = 0; //!< Since the last sign of the server.
  bool Opening = false;              //!< Only its opening packet was seen.
  bool Finished = false;             //!< The caller sends no more data.
};

//! How a packet changed what is known of its flow.
struct FlowUpdate {
  bool Established = false;    //!< First packet after the opening one.
  bool Progress = false;       //!< The server has answered something.
  bool StartedWaiting = false; //!< First data since the last response.
  bool Retransmission = false;
  //! Time from the request to the first packet that answers it; 0 if none.
  Clock::duration ResponseTime{0};
};

//! A flow whose opening packet this host did not see.
Flow adoptFlow(const PacketHeader &Header, TimePoint Now);

//! Updates Known with a packet that does not open the flow.
FlowUpdate recordPacket(Flow &Known, const PacketHeader &Header, TimePoint Now);

using FlowMap = boost::unordered_flat_map<FlowKey, Flow, FlowKeyHash>;

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_FLOWTABLE_H
