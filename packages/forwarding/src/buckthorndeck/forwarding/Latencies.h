#ifndef BUCKTHORNDECK_FORWARDING_LATENCIES_H
#define BUCKTHORNDECK_FORWARDING_LATENCIES_H

#include <prometheus/histogram.h>

namespace buckthorndeck::forwarding {

//! Bucket bounds in seconds, from one round trip to the longest deadline.
inline const prometheus::Histogram::BucketBoundaries LatencyBounds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0};

//! Latency histograms, measured from callers' packets.
struct Latencies {
  //! From a SYN to the caller's next packet.
  prometheus::Histogram Handshake{LatencyBounds};
  //! From a request to the caller's first packet that acknowledges a response.
  prometheus::Histogram Response{LatencyBounds};
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_LATENCIES_H
