#include "buckthorndeck/forwarding/FlowTable.h"

namespace buckthorndeck::forwarding {

namespace {

//! Whether First comes after Second in a sequence that wraps.
bool isAfter(std::uint32_t First, std::uint32_t Second) {
  return static_cast<std::int32_t>(First - Second) > 0;
}

//! Whether the packet shows that the server has sent something new.
bool showsProgress(Flow &Known, const PacketHeader &Header) {
  if (Known.Opening) {
    Known.Opening = false;
    Known.Acknowledged = Header.Acknowledged;
    Known.SentUpTo = Header.Sequence;
    return true;
  }
  if (!Header.Acknowledges || !isAfter(Header.Acknowledged, Known.Acknowledged))
    return false;
  Known.Acknowledged = Header.Acknowledged;
  return true;
}

} // namespace

Flow adoptFlow(const PacketHeader &Header, TimePoint Now) {
  return {.Token = Header.Token,
          .SeenAt = Now,
          .Acknowledged = Header.Acknowledged,
          .SentUpTo = Header.Sequence};
}

FlowUpdate recordPacket(Flow &Known, const PacketHeader &Header,
                        TimePoint Now) {
  FlowUpdate Update{.Established = Known.Opening};
  Update.Progress = showsProgress(Known, Header);
  if (Update.Progress) {
    Known.Retransmissions = 0;
    if (Known.WaitingSince != TimePoint{})
      Update.ResponseTime = Now - Known.WaitingSince;
    Known.WaitingSince = TimePoint{};
  }
  if (Header.DataBytes > 0) {
    const std::uint32_t End = Header.Sequence + Header.DataBytes;
    if (isAfter(End, Known.SentUpTo)) {
      Known.SentUpTo = End;
      if (Known.WaitingSince == TimePoint{}) {
        Known.WaitingSince = Now;
        Update.StartedWaiting = true;
      }
    } else if (!Update.Progress) {
      ++Known.Retransmissions;
      Update.Retransmission = true;
    }
  }
  Known.Finished = Known.Finished || Header.Finish;
  Known.SeenAt = Now;
  return Update;
}

} // namespace buckthorndeck::forwarding
