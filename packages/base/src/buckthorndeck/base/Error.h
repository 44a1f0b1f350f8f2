#ifndef BUCKTHORNDECK_BASE_ERROR_H
#define BUCKTHORNDECK_BASE_ERROR_H

#include <string>
#include <tl/expected.hpp>

namespace buckthorndeck {

//! What a caller of a failed operation can do about it.
enum class ErrorCode {
  Invalid,     //!< The input is malformed or out of range.
  Timeout,     //!< The deadline passed; the operation may have taken effect.
  Unavailable, //!< The peer could not be reached or closed the connection.
  Conflict,    //!< Another writer changed the state first.
  NotFound,    //!< The named thing does not exist.
  Refused,     //!< The peer refused and did nothing.
  Expired,     //!< The history that was asked for is no longer kept.
  TooLarge,    //!< The answer exceeds a limit; the operation may have taken
               //!< effect.
};

//! Lower-case name of a code, as printed in logs.
const char *toString(ErrorCode Code);

//! A failed operation: the step that failed and the peer it failed at.
struct Error {
  ErrorCode Code = ErrorCode::Invalid;
  std::string Step;    //!< Operation, for example "decode request".
  std::string Peer;    //!< Address, host or file; empty if there is none.
  std::string Message; //!< What was wrong, without step and peer.
};

//! One line with step, peer, code and message.
std::string describe(const Error &Failure);

template <typename T> using Expected = tl::expected<T, Error>;
using Unexpected = tl::unexpected<Error>;

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_ERROR_H
