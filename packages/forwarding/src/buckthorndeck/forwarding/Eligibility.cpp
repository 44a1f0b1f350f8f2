#include "buckthorndeck/forwarding/Eligibility.h"

namespace buckthorndeck::forwarding {

const char *toString(Ineligibility Reason) {
  switch (Reason) {
  case Ineligibility::None:
    return "none";
  case Ineligibility::Evacuated:
    return "evacuated";
  case Ineligibility::Region:
    return "region";
  case Ineligibility::WarmupLimit:
    return "warmup_limit";
  case Ineligibility::Ejected:
    return "ejected";
  }
  return "unknown";
}

PacketRefusal refusalFor(Ineligibility Reason) {
  switch (Reason) {
  case Ineligibility::Evacuated:
    return PacketRefusal::Evacuated;
  case Ineligibility::Region:
    return PacketRefusal::Region;
  case Ineligibility::WarmupLimit:
    return PacketRefusal::WarmupLimit;
  case Ineligibility::None:
  case Ineligibility::Ejected:
    break;
  }
  return PacketRefusal::NoServer;
}

Ineligibility ineligibility(const Server &Candidate, TimePoint Now,
                            RegionMask AllowedRegions) {
  if (Candidate.Evacuated)
    return Ineligibility::Evacuated;
  if (AllowedRegions != AllRegions && (Candidate.Region & AllowedRegions) == 0)
    return Ineligibility::Region;
  if (Now < Candidate.WarmupShareAt)
    return Ineligibility::WarmupLimit;
  if (Now < Candidate.EjectedUntil)
    return Ineligibility::Ejected;
  return Ineligibility::None;
}

bool mayGetFlows(const Server &Candidate, TimePoint Now,
                 RegionMask AllowedRegions) {
  return Candidate.Registered && !Candidate.Record.Draining &&
         Candidate.State == Reachability::Reachable &&
         ineligibility(Candidate, Now, AllowedRegions) == Ineligibility::None;
}

} // namespace buckthorndeck::forwarding
