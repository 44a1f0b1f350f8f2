#include "buckthorndeck/forwarding/SlowStart.h"

#include <algorithm>
#include <cmath>

namespace buckthorndeck::forwarding {

namespace {

//! First share of a peer's flows. Below the half that the fixed cost factor
//! gives, since the first flows of all hosts meet at the server's two slots.
constexpr double FirstShare = 0.25;
constexpr double LeastShare = 1.0 / 32;
//! A response up to QuickRatio times the peers' raises the pace: servers differ
//! in speed by 0.7 to 1.7. One above SlowRatio times lowers it.
constexpr double QuickRatio = 2.0;
constexpr double SlowRatio = 3.0;
constexpr double RaiseFactor = 2.0;
constexpr double LowerFactor = 0.25;
//! Without responses, the share doubles in this time: a host may see few flows.
constexpr double DoublingSeconds = 0.7;
//! The slow start ends at the latest after this time, unless the server is
//! announced as cold for longer.
constexpr Milliseconds MaxSlowStart{10'000};
//! A new cold time is one that ends this much later than the known one. Entries
//! state the rest of the cold time with the delay of their way.
constexpr Milliseconds NewColdTime{1000};
//! Age at which a response no longer describes a server in slow start.
constexpr Milliseconds StaleTime{1000};

void begin(ServerPace &Pace, TimePoint Now) {
  Pace.Active = true;
  Pace.Share = FirstShare;
  Pace.StartedAt = Pace.ChangedAt = Now;
}

double shareAt(const ServerPace &Pace, TimePoint Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - Pace.ChangedAt).count();
  return std::min(1.0, Pace.Share * std::exp2(Seconds / DoublingSeconds));
}

bool isOver(const ServerPace &Pace, TimePoint Now) {
  return Now >= std::max(Pace.StartedAt + MaxSlowStart, Pace.CoveredUntil);
}

} // namespace

void beginIfCold(Server &Target, TimePoint Now) {
  ServerPace &Pace = Target.Pace;
  if (Target.WarmupEndsAt <= Now)
    return;
  const bool New = Target.WarmupEndsAt > Pace.CoveredUntil + NewColdTime;
  Pace.CoveredUntil = std::max(Pace.CoveredUntil, Target.WarmupEndsAt);
  if (New)
    begin(Pace, Now);
}

void beginAfterRecovery(Server &Target, TimePoint Now) {
  begin(Target.Pace, Now);
}

void recordPace(Server &Target, double ResponseMs, double PeerMs, TimePoint Now,
                bool Rejected) {
  ServerPace &Pace = Target.Pace;
  if (!Pace.Active)
    return;
  const bool Stale = paceIsStale(Pace, Now);
  double Share = shareAt(Pace, Now);
  if (Rejected || ResponseMs > SlowRatio * PeerMs)
    Share *= LowerFactor;
  else if (ResponseMs <= QuickRatio * PeerMs)
    Share *= RaiseFactor;
  Pace.Share = std::max(Share, LeastShare);
  Pace.ChangedAt = Now;
  // The average must not keep the first, slow responses after the server has
  // become quick.
  if (!Rejected)
    Target.ResponseMs = Stale || Target.ResponseMs == 0
                            ? ResponseMs
                            : (Target.ResponseMs + ResponseMs) / 2;
  if (Pace.Share >= 1 || isOver(Pace, Now))
    Pace.Active = false;
}

double slowStartFactor(const ServerPace &Pace, TimePoint Now) {
  return !Pace.Active || isOver(Pace, Now) ? 1.0 : 1.0 / shareAt(Pace, Now);
}

bool paceIsStale(const ServerPace &Pace, TimePoint Now) {
  return Pace.Active && Now - Pace.ChangedAt > StaleTime;
}

} // namespace buckthorndeck::forwarding
