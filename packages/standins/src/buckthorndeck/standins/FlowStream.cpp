#include "buckthorndeck/standins/FlowStream.h"

#include <algorithm>
#include <utility>

namespace buckthorndeck::standins {

namespace {

// The platform's packet ends: see docs/standins.md.
constexpr std::size_t PacketsInFlight = 16;
constexpr Milliseconds FirstInterval{200};
constexpr Milliseconds MaxInterval{1600};
constexpr unsigned MaxResends = 8;

} // namespace

FlowStream::FlowStream(FlowStreamOptions Given)
    : Options(std::move(Given)), Base(Options.FirstSequence),
      Expected(Options.FirstExpected), Interval(FirstInterval) {}

bool FlowStream::gaveUp() const { return Resends > MaxResends; }

std::uint32_t FlowStream::span() const {
  const bool EndPending = Finishing && !FinishAcknowledged;
  return static_cast<std::uint32_t>(Outgoing.size()) + (EndPending ? 1 : 0);
}

void FlowStream::sendSegment(std::uint32_t Offset, std::size_t Length,
                             bool Finish) {
  FlowPacket Packet{.Source = Options.Local,
                    .Destination = Options.Remote,
                    .Token = Token,
                    .Sequence = Base + Offset,
                    .Acknowledged = Expected,
                    .Acknowledges = true,
                    .Finish = Finish};
  const auto First = Outgoing.begin() + static_cast<std::ptrdiff_t>(Offset);
  Packet.Data.assign(First, First + static_cast<std::ptrdiff_t>(Length));
  Options.Send(Packet);
}

void FlowStream::sendAcknowledgement() { sendSegment(0, 0, false); }

void FlowStream::pump(TimePoint Now) {
  const std::size_t Window = PacketsInFlight * MaxPacketData;
  while (Sent < span() && Sent < Window) {
    const std::size_t Length = std::min(
        MaxPacketData,
        Outgoing.size() - std::min<std::size_t>(Sent, Outgoing.size()));
    const bool Last = Finishing && Sent + Length == Outgoing.size();
    sendSegment(Sent, Length, Last);
    Sent += static_cast<std::uint32_t>(Length) + (Last ? 1 : 0);
  }
  if (Sent > 0 && ResendAt == TimePoint::max())
    ResendAt = Now + Interval;
}

void FlowStream::write(ByteView Data, TimePoint Now) {
  Outgoing.insert(Outgoing.end(), Data.begin(), Data.end());
  pump(Now);
}

void FlowStream::finish(TimePoint Now) {
  Finishing = true;
  pump(Now);
}

void FlowStream::acknowledge(std::uint32_t Acknowledged, TimePoint Now) {
  const std::uint32_t Advance = Acknowledged - Base;
  if (Advance == 0 || Advance > Sent)
    return;
  const std::size_t DataBytes = std::min<std::size_t>(Advance, Outgoing.size());
  FinishAcknowledged = FinishAcknowledged || Advance > DataBytes;
  Outgoing.erase(Outgoing.begin(),
                 Outgoing.begin() + static_cast<std::ptrdiff_t>(DataBytes));
  Base += Advance;
  Sent -= Advance;
  Resends = 0;
  Interval = FirstInterval;
  ResendAt = Sent > 0 ? Now + Interval : TimePoint::max();
}

void FlowStream::receive(const FlowPacket &Packet, TimePoint Now) {
  Token = Packet.Token;
  if (Packet.Acknowledges)
    acknowledge(Packet.Acknowledged, Now);
  const bool Carries = !Packet.Data.empty() || Packet.Finish;
  if (Carries && Packet.Sequence == Expected && !PeerFinished) {
    Incoming.insert(Incoming.end(), Packet.Data.begin(), Packet.Data.end());
    Expected += static_cast<std::uint32_t>(Packet.Data.size());
    PeerFinished = Packet.Finish;
    Expected += Packet.Finish ? 1 : 0;
  }
  if (Carries)
    sendAcknowledgement();
  pump(Now);
}

void FlowStream::tick(TimePoint Now) {
  if (Now < ResendAt || gaveUp())
    return;
  // The other end keeps nothing that arrives out of order.
  Sent = 0;
  ++Resends;
  Interval = std::min(Interval * 2, MaxInterval);
  ResendAt = Now + Interval;
  pump(Now);
}

} // namespace buckthorndeck::standins
