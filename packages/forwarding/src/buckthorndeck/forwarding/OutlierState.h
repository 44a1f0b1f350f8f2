#ifndef BUCKTHORNDECK_FORWARDING_OUTLIERSTATE_H
#define BUCKTHORNDECK_FORWARDING_OUTLIERSTATE_H

#include "buckthorndeck/net/Task.h"

#include <cstddef>
#include <cstdint>

namespace buckthorndeck::forwarding {

//! What most of the failed answers of an ejected server were.
enum class EjectionReason : std::uint8_t {
  Rejecting,  //!< Answers much smaller than usual on the route.
  Unanswered, //!< Flows that ended without an answer.
};
inline constexpr std::size_t EjectionReasonCount = 2;

const char *toString(EjectionReason Reason);

//! What this host has seen of a server's answers in comparison to the other
//! servers of its service. The counts are decayed, as of LastAnswerAt.
struct OutlierState {
  //! Multiplies the placement cost. Exactly 1 unless the server is suspected
  //! of rejecting.
  double CostFactor = 1;
  //! Evidence that it rejects: logarithm of the likelihood ratio, at least 0.
  float Score = 0;
  float Answers = 0;    //!< Including unanswered flows.
  float Rejected = 0;   //!< Answers that look rejected.
  float Unanswered = 0; //!< Flows that ended without an answer.
  TimePoint LastAnswerAt;
  TimePoint ReadmittedAt;
  std::uint8_t Ejections = 0; //!< Repeated ones in a row.
  bool Reduced = false;       //!< It gets fewer flows.
  bool Ejected = false;       //!< From its ejection to its readmission.
  bool Listed = false;        //!< OutlierDetection reviews it.
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_OUTLIERSTATE_H
