#ifndef BUCKTHORNDECK_WIRE_BODY_H
#define BUCKTHORNDECK_WIRE_BODY_H

#include "buckthorndeck/wire/Datagram.h"

#include <map>
#include <vector>

namespace buckthorndeck::wire {

//! Splits a body of at most MaxBodyBytes into parts. An empty body is one part.
std::vector<BodyPart> splitBody(ByteView Body);

/**
 * Collects the parts of one body in any order, with duplicates.
 *
 * Memory grows with the bytes received, never with the announced total.
 */
class BodyAssembler {
public:
  //! Adds a part. Invalid, and ignored, if it contradicts the parts before it.
  //! Invalid if the whole body does not match its announced length and digest;
  //! the assembler is then empty, so that a retransmission can succeed.
  Expected<void> add(const BodyPart &Part);

  bool complete() const { return Complete; }
  //! The whole body; only once complete. Leaves the assembler empty.
  Bytes take();
  std::size_t receivedBytes() const { return ReceivedBytes; }

private:
  Expected<void> finish();

  std::map<std::uint32_t, Bytes> Parts; //!< By index, until complete.
  std::uint32_t PartCount = 0;
  std::uint32_t TotalBytes = 0;
  Digest BodyDigest;
  std::size_t ReceivedBytes = 0;
  bool Complete = false;
  Bytes Whole;
};

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_BODY_H
