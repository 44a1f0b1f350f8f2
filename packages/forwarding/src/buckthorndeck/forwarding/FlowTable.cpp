#include "buckthorndeck/forwarding/FlowTable.h"

namespace buckthorndeck::forwarding {

namespace {

//! A caller sends less while copies of its SYN may still arrive.
constexpr std::uint32_t MaxBytesBeforeSynCopy = 1 << 20;

//! Whether First follows Second; sequence numbers wrap around.
bool isAfter(std::uint32_t First, std::uint32_t Second) {
  return static_cast<std::int32_t>(First - Second) > 0;
}

//! Records the acknowledged data. Returns whether the packet shows that the
//! server has sent new data.
bool updateProgress(Flow &Tracked, const PacketHeader &Header) {
  if (Tracked.Pending) {
    Tracked.Pending = false;
    Tracked.Acknowledged = Header.Acknowledged;
    Tracked.EndSequence = Header.Sequence;
    // A request may have no data.
    Tracked.RequestOpen = true;
    Tracked.AnswerStart = Header.Acknowledged;
    return true;
  }
  if (!Header.Acknowledges ||
      !isAfter(Header.Acknowledged, Tracked.Acknowledged))
    return false;
  Tracked.Acknowledged = Header.Acknowledged;
  return true;
}

} // namespace

Flow makeMidstreamFlow(const PacketHeader &Header, TimePoint Now) {
  return {.Token = Header.Token,
          .FirstPacketAt = Now,
          .LastPacketAt = Now,
          .Acknowledged = Header.Acknowledged,
          .EndSequence = Header.Sequence,
          .AnswerStart = Header.Acknowledged};
}

FlowUpdate recordPacket(Flow &Tracked, const PacketHeader &Header,
                        TimePoint Now) {
  FlowUpdate Update{.Established = Tracked.Pending};
  Update.Progress = updateProgress(Tracked, Header);
  if (Update.Progress) {
    Tracked.Retransmissions = 0;
    if (Tracked.WaitingSince != TimePoint{})
      Update.ResponseTime = Now - Tracked.WaitingSince;
    Tracked.WaitingSince = TimePoint{};
  }
  Update.AnswerBytes = answerBytes(Tracked);
  const bool Answered = Tracked.RequestOpen && Update.AnswerBytes > 0;
  if (Answered && Header.Finish) {
    Update.AnswerEnded = true;
    Tracked.RequestOpen = false;
  }
  if (Header.DataBytes > 0) {
    const std::uint32_t End = Header.Sequence + Header.DataBytes;
    if (isAfter(End, Tracked.EndSequence)) {
      Tracked.EndSequence = End;
      Update.AnswerEnded = Answered;
      Tracked.RequestOpen = true;
      Tracked.AnswerStart = Tracked.Acknowledged;
      if (Tracked.WaitingSince == TimePoint{}) {
        Tracked.WaitingSince = Now;
        Update.StartedWaiting = true;
      }
    } else if (!Update.Progress) {
      ++Tracked.Retransmissions;
      Update.Retransmission = true;
    }
  }
  Tracked.Finished = Tracked.Finished || Header.Finish;
  Tracked.LastPacketAt = Now;
  return Update;
}

bool isSynOf(const Flow &Tracked, std::uint32_t Sequence) {
  if (Tracked.SynSeen)
    return Sequence == Tracked.SynSequence;
  return Tracked.EndSequence - Sequence <= MaxBytesBeforeSynCopy;
}

} // namespace buckthorndeck::forwarding
