#include "buckthorndeck/base/Error.h"

namespace buckthorndeck {

const char *toString(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Invalid:
    return "invalid";
  case ErrorCode::Timeout:
    return "timeout";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::NotFound:
    return "not_found";
  case ErrorCode::Refused:
    return "refused";
  case ErrorCode::Expired:
    return "expired";
  case ErrorCode::TooLarge:
    return "too_large";
  }
  return "unknown";
}

std::string describe(const Error &Failure) {
  std::string Line = Failure.Step;
  if (!Failure.Peer.empty())
    Line += " at " + Failure.Peer;
  return Line + ": " + Failure.Message + " (" + toString(Failure.Code) + ")";
}

} // namespace buckthorndeck
