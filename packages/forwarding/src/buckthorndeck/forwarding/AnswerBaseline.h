#ifndef BUCKTHORNDECK_FORWARDING_ANSWERBASELINE_H
#define BUCKTHORNDECK_FORWARDING_ANSWERBASELINE_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace buckthorndeck::forwarding {

/**
 * Sizes of the answers of a route from the servers of one service.
 *
 * A histogram of weighted sizes in half octaves. With weights in inverse
 * proportion to the servers' answers, each server counts the same, so that the
 * median stays that of good answers while fewer than half of the servers
 * reject, however many flows these attract.
 */
class AnswerBaseline {
public:
  //! Bytes is 0 for a flow that ended without an answer. Weight is from 0 to 1.
  void record(std::uint32_t Bytes, float Weight);

  //! Answers below this size look rejected. From 256, since a short 503 has up
  //! to 250 bytes, to 2,048, so that the first acknowledgement of a large
  //! answer (two packets, 2,400 bytes) already shows that it is none.
  std::uint32_t rejectionLimit() const { return RejectionLimit; }
  //! Share of the answers below the limit that is normal for the route.
  double rejectedShare() const;
  //! Whether there are enough answers to judge servers by, and most are above
  //! the limit.
  bool ready() const;

private:
  static constexpr std::size_t BucketCount = 32;

  void update();

  std::array<float, BucketCount> Buckets{}; //!< Weights by size.
  std::uint32_t Records = 0;
  std::uint32_t RejectionLimit = 256;
  float RejectedShare = 0; //!< Below the limit.
};

inline bool looksRejected(std::uint32_t AnswerBytes,
                          const AnswerBaseline &Baseline) {
  return AnswerBytes < Baseline.rejectionLimit();
}

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_ANSWERBASELINE_H
