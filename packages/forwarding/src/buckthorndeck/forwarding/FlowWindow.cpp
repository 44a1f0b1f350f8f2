#include "buckthorndeck/forwarding/FlowWindow.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

void FlowWindow::advance(TimePoint Now) {
  const std::int64_t Next = Now.time_since_epoch() / BucketTime;
  // The steady clock of a caller may lag behind by a batch of packets.
  if (Next <= Current)
    return;
  const std::int64_t Passed =
      std::min<std::int64_t>(Next - Current, BucketCount);
  for (std::int64_t Step = 0; Step < Passed; ++Step) {
    auto &Expired = bucket(Next - Step);
    Sum -= Expired;
    Expired = 0;
  }
  Current = Next;
}

void FlowWindow::record(TimePoint Now) {
  advance(Now);
  ++bucket(Current);
  ++Sum;
}

TimePoint FlowWindow::availableAt(std::uint32_t Limit, TimePoint Now) {
  advance(Now);
  std::uint32_t Left = Sum;
  std::int64_t Oldest = Current - BucketsPerWindow;
  while (Left >= Limit) {
    Left -= bucket(Oldest);
    ++Oldest;
  }
  // Bucket N stops counting when bucket N + BucketCount begins.
  return Oldest == Current - BucketsPerWindow
             ? TimePoint{}
             : TimePoint{} + BucketTime * (Oldest - 1 + BucketCount);
}

void FlowWindow::setLength(Clock::duration Length, TimePoint Now) {
  if (bucketTime(Length) == BucketTime)
    return;
  advance(Now);
  const std::uint32_t Counted = Sum;
  *this = FlowWindow(Length);
  advance(Now);
  bucket(Current) = Counted;
  Sum = Counted;
}

} // namespace buckthorndeck::forwarding
