#ifndef BUCKTHORNDECK_STANDINS_CALLERSETTINGS_H
#define BUCKTHORNDECK_STANDINS_CALLERSETTINGS_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/standins/Caller.h"

#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::standins {

//! A call of the program's list with what must come of it.
struct PlannedCall {
  CallRequest Request;
  std::uint32_t Repeat = 1;
  std::vector<std::string> Outcomes; //!< Any of these is as expected.
  std::optional<Bytes> Answer;       //!< Not checked if not set.
};

//! The program's subscription, which ends after some events.
struct PlannedSubscription {
  std::string Operation;
  Sequence After;
  std::uint64_t Events = 1;
  Milliseconds Deadline{30'000};
};

struct CallPlan {
  std::uint32_t Parallel = 1; //!< Calls in progress at the same time.
  std::vector<PlannedCall> Calls;
  std::optional<PlannedSubscription> Subscription;
};

//! Schema of the settings file of standin-caller.
Json callerSchema();

//! Options from settings that the schema has checked.
CallerOptions readCallerOptions(const Json &Settings);
CallPlan readCallPlan(const Json &Settings);

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_CALLERSETTINGS_H
