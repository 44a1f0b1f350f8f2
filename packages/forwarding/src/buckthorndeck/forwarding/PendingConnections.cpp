#include "buckthorndeck/forwarding/PendingConnections.h"

#include <utility>

namespace buckthorndeck::forwarding {

namespace {

//! Servers answer a SYN within a round trip of a few ms. Callers retransmit it
//! only after 200 ms, while the shortest latency target is 120 ms.
constexpr Milliseconds HandshakeTimeout{40};
//! A SYN is not hedged if its timer is processed later than this, because the
//! delay is then this host's own.
constexpr Milliseconds MaxHedgeLateness{150};
//! Callers retransmit a SYN up to 600 ms after the first copy.
constexpr Milliseconds PendingConnectionLifetime{1500};

} // namespace

PendingConnection *PendingConnections::find(const FlowKey &Key) {
  const auto Found = ByFlow.find(Key);
  return Found == ByFlow.end() ? nullptr : &Found->second;
}

void PendingConnections::start(const FlowKey &Key, PendingConnection Started) {
  ByFlow.insert_or_assign(Key, std::move(Started));
}

void PendingConnections::eraseExpired(TimePoint Now) {
  boost::unordered::erase_if(ByFlow, [&](const auto &Connection) {
    return Now - Connection.second.StartedAt > PendingConnectionLifetime;
  });
}

void PendingConnections::scheduleHedge(const FlowKey &Key, TimePoint Now) {
  Hedges.push_back({.DueAt = Now + HandshakeTimeout, .Flow = Key});
}

std::optional<FlowKey> PendingConnections::takeDueHedge(TimePoint Now) {
  while (!Hedges.empty() && Hedges.front().DueAt <= Now) {
    const Hedge Due = Hedges.front();
    Hedges.pop_front();
    if (Now - Due.DueAt < MaxHedgeLateness)
      return Due.Flow;
  }
  return std::nullopt;
}

TimePoint PendingConnections::nextHedgeTime() const {
  return Hedges.empty() ? TimePoint::max() : Hedges.front().DueAt;
}

} // namespace buckthorndeck::forwarding
