#include "buckthorndeck/routing/Explanation.h"

namespace buckthorndeck::routing {

const char *toString(ArrivalAction Action) {
  switch (Action) {
  case ArrivalAction::Sent:
    return "sent";
  case ArrivalAction::Waits:
    return "waits";
  case ArrivalAction::Refused:
    break;
  }
  return "refused";
}

} // namespace buckthorndeck::routing
