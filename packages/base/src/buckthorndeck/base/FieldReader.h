#ifndef BUCKTHORNDECK_BASE_FIELDREADER_H
#define BUCKTHORNDECK_BASE_FIELDREADER_H

#include "buckthorndeck/base/Json.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace buckthorndeck {

/**
 * Reads typed, range-checked fields out of a decoded message.
 *
 * The first bad field is kept as the error and later reads return default
 * values, so that a decoder can read every field in a row and check once.
 */
class FieldReader {
public:
  //! Object must outlive the reader.
  FieldReader(const Json &Object, std::string Step, std::string Peer);

  std::uint64_t
  number(const char *Name,
         std::uint64_t Max = std::numeric_limits<std::uint64_t>::max(),
         std::uint64_t Min = 0);
  //! A number from 0 to Max, also with a fraction.
  double real(const char *Name, double Max);
  bool flag(const char *Name);
  //! Text of MinLength to MaxLength bytes.
  std::string text(const char *Name, std::size_t MaxLength,
                   std::size_t MinLength = 0);
  //! CBOR byte string of at most MaxLength bytes.
  Bytes bytes(const char *Name, std::size_t MaxLength);
  //! Array of at most MaxLength items; null if the field is bad.
  const Json *array(const char *Name, std::size_t MaxLength);

  bool failed() const { return Failure.has_value(); }
  //! The first failure. Must have failed.
  Error error() const { return *Failure; }
  //! Records a failure found by the decoder itself.
  void fail(const char *Name, const std::string &Expected);

private:
  const Json *find(const char *Name);

  const Json &Object;
  std::string Step;
  std::string Peer;
  std::optional<Error> Failure;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_FIELDREADER_H
