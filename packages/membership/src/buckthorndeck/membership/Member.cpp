#include "buckthorndeck/membership/Member.h"

namespace buckthorndeck::membership {

const char *toString(MemberState Value) {
  switch (Value) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Leaving:
    return "leaving";
  case MemberState::Dead:
    return "dead";
  case MemberState::Left:
    return "left";
  }
  return "invalid";
}

} // namespace buckthorndeck::membership
