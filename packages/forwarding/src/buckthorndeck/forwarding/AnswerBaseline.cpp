#include "buckthorndeck/forwarding/AnswerBaseline.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace buckthorndeck::forwarding {

namespace {

//! Lower bound of bucket 1, in bytes. Bucket 0 has the unanswered flows.
constexpr float FirstBucketBytes = 64;
constexpr std::size_t BucketsPerOctave = 2;
//! Buckets with the lower bounds 256 and 2,048 bytes, see rejectionLimit().
constexpr std::size_t MinLimitBucket = 5;
constexpr std::size_t MaxLimitBucket = 11;
//! A rejection has less than an eighth of the median: with a spread of 0.6 only
//! one good answer in 3,700 is that small.
constexpr std::size_t LimitDistance = 3 * BucketsPerOctave;
//! Sum of weights at which old answers are forgotten as fast as new ones come.
//! A server that answers all the time has a weight of 1 in 14 s.
constexpr float MaxTotalWeight = 64;
constexpr std::uint32_t MinRecords = 30;
//! Records between two evaluations of the histogram.
constexpr std::uint32_t UpdateInterval = 16;
//! With a larger share of small answers the size does not tell rejections.
constexpr double MaxRejectedShare = 0.5;
//! Assumed least share. Keeps a few lost flows from ejecting a server.
constexpr double MinRejectedShare = 0.01;

std::size_t bucketOf(std::uint32_t Bytes, std::size_t Count) {
  if (Bytes == 0)
    return 0;
  const float Octaves = std::log2(static_cast<float>(Bytes) / FirstBucketBytes);
  const float Index = std::floor(BucketsPerOctave * Octaves) + 1;
  return static_cast<std::size_t>(
      std::clamp(Index, 1.0F, static_cast<float>(Count - 1)));
}

} // namespace

void AnswerBaseline::record(std::uint32_t Bytes, float Weight) {
  const float Decay = 1 - Weight / MaxTotalWeight;
  for (float &Bucket : Buckets)
    Bucket *= Decay;
  Buckets[bucketOf(Bytes, BucketCount)] += Weight;
  ++Records;
  if (Records % UpdateInterval == 0 || Records == MinRecords)
    update();
}

void AnswerBaseline::update() {
  const float Total = std::accumulate(Buckets.begin(), Buckets.end(), 0.0F);
  std::size_t Median = 0;
  for (float Sum = Buckets[0]; 2 * Sum < Total && Median + 1 < BucketCount;)
    Sum += Buckets[++Median];
  const std::size_t LimitBucket =
      std::clamp(Median < LimitDistance ? 0 : Median - LimitDistance,
                 MinLimitBucket, MaxLimitBucket);
  RejectionLimit = static_cast<std::uint32_t>(
      FirstBucketBytes *
      std::exp2(static_cast<float>(LimitBucket - 1) / BucketsPerOctave));
  RejectedShare =
      std::accumulate(Buckets.begin(), Buckets.begin() + LimitBucket, 0.0F) /
      Total;
}

double AnswerBaseline::rejectedShare() const {
  return std::max(MinRejectedShare, static_cast<double>(RejectedShare));
}

bool AnswerBaseline::ready() const {
  return Records >= MinRecords && rejectedShare() <= MaxRejectedShare;
}

} // namespace buckthorndeck::forwarding
