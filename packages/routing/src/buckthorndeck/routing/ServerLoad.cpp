#include "buckthorndeck/routing/ServerLoad.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace buckthorndeck::routing {

namespace {

using FloatMs = std::chrono::duration<double, std::milli>;

//! Weight of a new sample in the moving average of the service time.
constexpr double SampleWeight = 0.1;
//! Service time assumed until a server's first answer; the same for every new
//! server, so that none is preferred.
constexpr double DefaultServiceTimeMs = 50;
//! Time constant with which the estimated load of other hosts decays.
constexpr FloatMs OtherHostsLoadDecayTime{500};
//! Time constant with which the usage decays. It has to cover tens of requests
//! per server: at 80 % load of 15 servers the imbalance is 1.07 with 2 s
//! and 1.02 with 10 s.
constexpr FloatMs UsageDecayTime{10'000};
constexpr std::chrono::seconds SlowStartTime{5};
constexpr double SlowStartMinShare = 0.1;
//! Back-off after a `busy` refusal, as a share of the expected time until a
//! slot becomes free. The whole time would save about a quarter of the refusals
//! at 95 % load, but free slots would stay unused for longer.
constexpr double BusyBackOffShare = 0.5;
constexpr FloatMs MinBusyBackOff{2};
constexpr FloatMs MaxBusyBackOff{500};
//! Warming up or correcting a wrong service takes longer than freeing a slot.
constexpr std::chrono::milliseconds ColdBackOff{500};
constexpr std::chrono::milliseconds WrongServiceBackOff{5000};

Clock::duration toDuration(FloatMs Value) {
  return std::chrono::duration_cast<Clock::duration>(Value);
}

void releaseSlot(ServerLoad &Load) {
  if (Load.InFlight > 0)
    --Load.InFlight;
}

FloatMs busyBackOff(const ServerLoad &Load) {
  const FloatMs UntilFree{expectedServiceTime(Load) / Load.Slots};
  return std::clamp(UntilFree * BusyBackOffShare, MinBusyBackOff,
                    MaxBusyBackOff);
}

FloatMs backOffAfter(const ServerLoad &Load, wire::Refusal Reason) {
  switch (Reason) {
  case wire::Refusal::Busy:
    return busyBackOff(Load);
  case wire::Refusal::Cold:
    return ColdBackOff;
  case wire::Refusal::WrongService:
    return WrongServiceBackOff;
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
  Load.OtherHostsLoad = 0;
  restartSlowStart(Load, UsagePerSlot, Now);
}

void restartSlowStart(ServerLoad &Load, double UsagePerSlot, TimePoint Start) {
  Load.SlowStartedAt = Start;
  Load.UsageMs = UsagePerSlot * Load.Slots * SlowStartMinShare;
  Load.UsageAt = Start;
}

void recordSent(ServerLoad &Load) { ++Load.InFlight; }

void recordDone(ServerLoad &Load, bool Ok, Clock::duration ServiceTime,
                TimePoint Now) {
  releaseSlot(Load);
  const double Sample = FloatMs(ServiceTime).count();
  Load.UsageMs = usagePerSlot(Load, Now) * Load.Slots + Sample;
  Load.UsageAt = std::max(Load.UsageAt, Now);
  // A slot has become free, so a back-off after `busy` ends.
  Load.BackOffUntil = std::min(Load.BackOffUntil, Now);
  // Fast errors do not lower the average, or a failing server would look fast
  // and attract requests.
  if (!Ok && Sample < expectedServiceTime(Load))
    return;
  Load.ServiceTimeMs =
      Load.ServiceTimeMs == 0
          ? Sample
          : Load.ServiceTimeMs + SampleWeight * (Sample - Load.ServiceTimeMs);
}

void recordRefused(ServerLoad &Load, wire::Refusal Reason, TimePoint Now,
                   RandomEngine &Random) {
  releaseSlot(Load);
  if (Reason == wire::Refusal::Draining)
    Load.Draining = true;
  if (Reason == wire::Refusal::Cold)
    Load.SlowStartedAt = Now;
  if (Reason == wire::Refusal::Busy) {
    // A busy server has no free slot: requests of other hosts occupy those that
    // this host does not use.
    Load.OtherHostsLoad =
        static_cast<double>(Load.Slots) - std::min(Load.InFlight, Load.Slots);
    Load.OtherHostsLoadAt = Now;
  }
  const double Jitter = 0.5 + randomUnit(Random);
  Load.BackOffUntil = Now + toDuration(backOffAfter(Load, Reason) * Jitter);
}

void recordCancelled(ServerLoad &Load) { releaseSlot(Load); }

double otherHostsLoad(const ServerLoad &Load, TimePoint Now) {
  const FloatMs Age = Now - Load.OtherHostsLoadAt;
  return Load.OtherHostsLoad * std::exp(-Age / OtherHostsLoadDecayTime);
}

double usagePerSlot(const ServerLoad &Load, TimePoint Now) {
  const FloatMs Age = std::max<FloatMs>(Now - Load.UsageAt, FloatMs(0));
  return Load.UsageMs * std::exp(-Age / UsageDecayTime) / Load.Slots;
}

double expectedServiceTime(const ServerLoad &Load) {
  return Load.ServiceTimeMs > 0 ? Load.ServiceTimeMs : DefaultServiceTimeMs;
}

double slowStartShare(const ServerLoad &Load, TimePoint Now) {
  const double Share =
      FloatMs(Now - Load.SlowStartedAt) / FloatMs(SlowStartTime);
  return std::clamp(Share, SlowStartMinShare, 1.0);
}

} // namespace buckthorndeck::routing
