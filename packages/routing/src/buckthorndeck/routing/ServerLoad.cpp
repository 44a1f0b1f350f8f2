#include "buckthorndeck/routing/ServerLoad.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace buckthorndeck::routing {

namespace {

using FloatMs = std::chrono::duration<double, std::milli>;

//! Weight of a new sample in the moving average of the service time.
constexpr double SampleWeight = 0.1;
//! Used before a server answered once, so that new servers look alike.
constexpr double DefaultServiceTimeMs = 50;
//! Time constant with which the estimate of other hosts' load decays.
constexpr FloatMs OtherLoadDecay{500};
//! Time constant of the usage. Long enough to cover tens of requests per
//! server: trials with 2 s had an imbalance of 1.07 at 80 % load of 15 servers,
//! with 10 s 1.02.
constexpr FloatMs UsageDecay{10'000};
constexpr std::chrono::seconds SlowStartTime{5};
constexpr double SlowStartMinShare = 0.1;
//! Wait after a `busy` refusal, as a share of the time after which one of the
//! slots should become free. The whole time saves about a quarter of the
//! refusals at 95 % load, but slots that became free stay empty for longer.
constexpr double BusyHoldShare = 0.5;
constexpr FloatMs MinBusyHold{2};
constexpr FloatMs MaxBusyHold{500};
//! A cold or wrong server needs longer to change.
constexpr std::chrono::milliseconds ColdHold{500};
constexpr std::chrono::milliseconds WrongServiceHold{5000};

Clock::duration toDuration(FloatMs Value) {
  return std::chrono::duration_cast<Clock::duration>(Value);
}

void release(ServerLoad &Load) {
  if (Load.InFlight > 0)
    --Load.InFlight;
}

FloatMs busyHold(const ServerLoad &Load) {
  const FloatMs UntilFree{expectedServiceTime(Load) / Load.Slots};
  return std::clamp(UntilFree * BusyHoldShare, MinBusyHold, MaxBusyHold);
}

FloatMs holdAfter(const ServerLoad &Load, wire::Refusal Reason) {
  switch (Reason) {
  case wire::Refusal::Busy:
    return busyHold(Load);
  case wire::Refusal::Cold:
    return ColdHold;
  case wire::Refusal::WrongService:
    return WrongServiceHold;
  case wire::Refusal::Draining:
    break;
  }
  return FloatMs{0};
}

} // namespace

void recordConnected(ServerLoad &Load, std::uint32_t Slots, double UsagePerSlot,
                     TimePoint Now) {
  Load.Slots = Slots;
  Load.InFlight = 0;
  Load.Connected = true;
  Load.OtherLoad = 0;
  readmit(Load, UsagePerSlot, Now);
}

void readmit(ServerLoad &Load, double UsagePerSlot, TimePoint Start) {
  Load.AdmittedAt = Start;
  Load.UsageMs = UsagePerSlot * Load.Slots * SlowStartMinShare;
  Load.UsageAt = Start;
}

void recordSent(ServerLoad &Load) { ++Load.InFlight; }

void recordDone(ServerLoad &Load, bool Ok, Clock::duration ServiceTime,
                TimePoint Now) {
  release(Load);
  const double Sample = FloatMs(ServiceTime).count();
  Load.UsageMs = usagePerSlot(Load, Now) * Load.Slots + Sample;
  Load.UsageAt = std::max(Load.UsageAt, Now);
  // A slot has just become free.
  Load.HoldUntil = std::min(Load.HoldUntil, Now);
  // A server that fails fast must not look like a fast server.
  if (!Ok && Sample < expectedServiceTime(Load))
    return;
  Load.ServiceTimeMs =
      Load.ServiceTimeMs == 0
          ? Sample
          : Load.ServiceTimeMs + SampleWeight * (Sample - Load.ServiceTimeMs);
}

void recordRefused(ServerLoad &Load, wire::Refusal Reason, TimePoint Now,
                   RandomEngine &Random) {
  release(Load);
  if (Reason == wire::Refusal::Draining)
    Load.Draining = true;
  if (Reason == wire::Refusal::Cold)
    Load.AdmittedAt = Now;
  if (Reason == wire::Refusal::Busy) {
    // All slots are taken, by other hosts if not by this one.
    Load.OtherLoad =
        static_cast<double>(Load.Slots) - std::min(Load.InFlight, Load.Slots);
    Load.OtherLoadAt = Now;
  }
  const double Jitter = 0.5 + randomUnit(Random);
  Load.HoldUntil = Now + toDuration(holdAfter(Load, Reason) * Jitter);
}

void recordCancelled(ServerLoad &Load) { release(Load); }

double otherHostsLoad(const ServerLoad &Load, TimePoint Now) {
  const FloatMs Age = Now - Load.OtherLoadAt;
  return Load.OtherLoad * std::exp(-Age / OtherLoadDecay);
}

double usagePerSlot(const ServerLoad &Load, TimePoint Now) {
  const FloatMs Age = std::max<FloatMs>(Now - Load.UsageAt, FloatMs(0));
  return Load.UsageMs * std::exp(-Age / UsageDecay) / Load.Slots;
}

double expectedServiceTime(const ServerLoad &Load) {
  return Load.ServiceTimeMs > 0 ? Load.ServiceTimeMs : DefaultServiceTimeMs;
}

double slowStartShare(const ServerLoad &Load, TimePoint Now) {
  const double Share = FloatMs(Now - Load.AdmittedAt) / FloatMs(SlowStartTime);
  return std::clamp(Share, SlowStartMinShare, 1.0);
}

} // namespace buckthorndeck::routing
