#ifndef BUCKTHORNDECK_FORWARDING_FLOWWINDOW_H
#define BUCKTHORNDECK_FORWARDING_FLOWWINDOW_H

#include "buckthorndeck/net/Task.h"

#include <array>
#include <cstdint>

namespace buckthorndeck::forwarding {

/**
 * Counts flows within a sliding window of fixed memory. A flow counts for the
 * window's length and at most a sixteenth of it longer, never shorter.
 */
class FlowWindow {
public:
  explicit FlowWindow(Clock::duration Length = std::chrono::seconds(1))
      : BucketTime(bucketTime(Length)) {}

  void record(TimePoint Now);
  //! Earliest time at which fewer than Limit flows count; Limit is above 0.
  TimePoint availableAt(std::uint32_t Limit, TimePoint Now);
  //! Flows that count now keep counting for the new length.
  void setLength(Clock::duration Length, TimePoint Now);

private:
  static constexpr std::int64_t BucketsPerWindow = 16;
  static constexpr std::int64_t BucketCount = BucketsPerWindow + 1;

  static Clock::duration bucketTime(Clock::duration Length) {
    return (Length + Clock::duration(BucketsPerWindow - 1)) / BucketsPerWindow;
  }
  void advance(TimePoint Now);
  std::uint32_t &bucket(std::int64_t Number) {
    return Buckets[static_cast<std::size_t>(Number + BucketCount) %
                   BucketCount];
  }

  Clock::duration BucketTime;
  std::int64_t Current = 0; //!< Number of the newest bucket since the epoch.
  std::uint32_t Sum = 0;
  std::array<std::uint32_t, BucketCount> Buckets{};
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_FLOWWINDOW_H
