#ifndef BUCKTHORNDECK_FORWARDING_PENDINGCONNECTIONS_H
#define BUCKTHORNDECK_FORWARDING_PENDINGCONNECTIONS_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/forwarding/Packet.h"
#include "buckthorndeck/net/Task.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <optional>
#include <vector>

namespace buckthorndeck::forwarding {

//! A flow whose SYN no server has answered.
struct PendingConnection {
  Bytes Packet;               //!< Its SYN.
  std::uint32_t Sequence = 0; //!< Of the SYN.
  //! Servers that the SYN was sent to; copies go to the last one.
  std::vector<ServerToken> Tried;
  TimePoint StartedAt;
};

/**
 * The flows whose SYN no server has answered, and when to send their SYN to
 * another server (hedging).
 */
class PendingConnections {
public:
  //! Null if there is none.
  PendingConnection *find(const FlowKey &Key);
  //! Adds a connection in place of an earlier one of the same flow.
  void start(const FlowKey &Key, PendingConnection Started);
  void erase(const FlowKey &Key) { ByFlow.erase(Key); }
  void eraseExpired(TimePoint Now);

  //! Hedges the SYN if it is still unanswered one HandshakeTimeout after Now.
  void scheduleHedge(const FlowKey &Key, TimePoint Now);
  void cancelHedges() { Hedges.clear(); }
  //! Removes the hedges that are due and returns the flow of the first one that
  //! is not late.
  std::optional<FlowKey> takeDueHedge(TimePoint Now);
  //! TimePoint::max() if there is none.
  TimePoint nextHedgeTime() const;

private:
  struct Hedge {
    TimePoint DueAt;
    FlowKey Flow;
  };

  boost::unordered_flat_map<FlowKey, PendingConnection, FlowKeyHash> ByFlow;
  std::deque<Hedge> Hedges; //!< In the order of DueAt.
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_PENDINGCONNECTIONS_H
