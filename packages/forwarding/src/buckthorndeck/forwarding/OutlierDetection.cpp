#include "buckthorndeck/forwarding/OutlierDetection.h"

#include "buckthorndeck/base/Log.h"

#include <algorithm>
#include <cmath>

namespace buckthorndeck::forwarding {

namespace {

//! Time constant of the decayed counts, in seconds.
constexpr float CountSeconds = 14;
//! Least part of the good answers that the server rejects, as the test assumes.
//! Servers are to be found that reject 0.45 and more; a lower value would also
//! find slow servers that are somewhat fuller than others.
constexpr double AssumedRejection = 0.4;
//! A server with this score gets fewer flows. The score of a healthy server
//! exceeds S by chance after one in more than exp(S) answers.
constexpr float ReduceScore = 10;
//! Far less than one false ejection in a million flows: exp(-18) is 1.5e-8.
constexpr float EjectScore = 18;
//! A server is ejected only if its share of answers that look rejected or stay
//! away exceeds the median of all by this. When a service is overloaded, its
//! slow servers reject somewhat more than the others, and are still needed.
constexpr float MinExcessShare = 0.2F;
//! Bounds the number of good answers until the score is low again.
constexpr float MaxScore = 24;
//! A server with this score again gets flows like others.
constexpr float ClearScore = 2;
//! Time constant, in seconds, with which the cost factor falls to 1 after the
//! last answer that looks rejected. Where servers have few flows, any factor
//! leaves a server none, and only further answers show what it is.
constexpr double CostSeconds = 10;
//! Duration of the first ejection; doubled with each further one.
constexpr Milliseconds FirstEjection{10'000};
constexpr unsigned MaxEjectionDoublings = 5;
//! An ejection this long after the last one counts as the first.
constexpr Milliseconds RepetitionTime{300'000};
//! A server with fewer decayed answers is not compared with others: its last
//! one was 20 s ago.
constexpr float MinRecentAnswers = 0.25F;
//! With fewer there are no others to compare with.
constexpr std::size_t MinCandidates = 3;
constexpr Milliseconds RequestedReviewInterval{100};
constexpr Milliseconds ReviewInterval{1000};
constexpr std::size_t ReservedSuspects = 256;
//! An answer of which the caller has acknowledged nothing more for this long
//! has ended.
constexpr Milliseconds AnswerIdleTime{1000};
//! Servers take at most about 0.1 s; their queues may add some of that.
constexpr Milliseconds MinUnansweredDelay{500};

double reducedCostFactor(const OutlierState &Seen) {
  return 1 + static_cast<double>(Seen.Score);
}

float failedShare(const OutlierState &Seen) {
  return Seen.Answers > 0 ? (Seen.Rejected + Seen.Unanswered) / Seen.Answers
                          : 0;
}

float decaySince(TimePoint Then, TimePoint Now) {
  return std::exp(-std::chrono::duration<float>(Now - Then).count() /
                  CountSeconds);
}

//! Logarithm of the likelihood ratio of one answer.
float evidence(bool LooksRejected, double UsualShare) {
  const double AssumedShare = UsualShare + AssumedRejection * (1 - UsualShare);
  return static_cast<float>(
      LooksRejected ? std::log(AssumedShare / UsualShare)
                    : std::log((1 - AssumedShare) / (1 - UsualShare)));
}

bool isCandidate(const Server &Target, TimePoint Now) {
  const OutlierState &Seen = Target.Outlier;
  return Target.Registered && !Target.Record.Draining && !Target.Evacuated &&
         (Target.State == Reachability::Reachable ||
          Target.State == Reachability::Suspected) &&
         (Seen.Ejected || Seen.Answers * decaySince(Seen.LastAnswerAt, Now) >=
                              MinRecentAnswers);
}

} // namespace

const char *toString(EjectionReason Reason) {
  return Reason == EjectionReason::Rejecting ? "rejecting" : "unanswered";
}

OutlierDetection::OutlierDetection(ServerDirectory &Servers,
                                   ForwarderCounters &Counters, bool Enabled)
    : Servers(Servers), Counters(Counters), Enabled(Enabled) {
  Suspects.reserve(Enabled ? ReservedSuspects : 0);
}

void OutlierDetection::applyRoutes(const RouteTable &Table) {
  auto Before = std::exchange(Routes, {});
  if (!Enabled)
    return;
  Table.forEach([&](const Route &Each) {
    if (Each.TargetLatency == Milliseconds(0))
      return;
    RouteAnswers &Answers = Routes[Each.Address];
    Answers.UnansweredDelay =
        std::max(MinUnansweredDelay, 2 * Each.TargetLatency);
    if (Each.Timeout > Milliseconds(0))
      Answers.UnansweredDelay = std::min(Answers.UnansweredDelay, Each.Timeout);
    const auto Known = Before.find(Each.Address);
    for (const WeightedService &Part : Each.Services) {
      Answers.Services.push_back({.Service = Part.Service, .Baseline = {}});
      if (Known == Before.end())
        continue;
      for (const ServiceAnswers &Previous : Known->second.Services)
        if (Previous.Service == Part.Service)
          Answers.Services.back() = Previous;
    }
  });
}

OutlierDetection::RouteAnswers *
OutlierDetection::routeOf(const SocketAddress &Address) {
  if (Routes.empty())
    return nullptr;
  const auto Found = Routes.find(Address);
  return Found == Routes.end() ? nullptr : &Found->second;
}

AnswerBaseline *OutlierDetection::baselineOf(const SocketAddress &Route,
                                             const ServiceName &Service) {
  if (RouteAnswers *Found = routeOf(Route))
    for (ServiceAnswers &Answers : Found->Services)
      if (Answers.Service == Service)
        return &Answers.Baseline;
  return nullptr;
}

void OutlierDetection::recordSilence(const FlowKey &Key, Flow &Tracked,
                                     bool Ended, TimePoint Now) {
  if (!Tracked.RequestOpen || Tracked.Pending)
    return;
  const RouteAnswers *Route = routeOf(Key.Service);
  if (!Route)
    return;
  const std::uint32_t Bytes = answerBytes(Tracked);
  const Milliseconds Delay = Bytes == 0 ? Route->UnansweredDelay
                             : Ended    ? Milliseconds(0)
                                        : AnswerIdleTime;
  if (Now - Tracked.LastPacketAt < Delay)
    return;
  Tracked.RequestOpen = false;
  Tracked.HeldResponseMs = 0;
  Server *Target = Servers.find(Tracked.Token);
  // ServerMonitor deals with servers that do not answer at all.
  if (!Target || (Bytes == 0 && (Target->State == Reachability::Unhealthy ||
                                 Target->State == Reachability::Unresponsive)))
    return;
  if (AnswerBaseline *Baseline =
          baselineOf(Key.Service, Target->Record.Service))
    recordAnswer(*Target, *Baseline, Bytes, Now);
}

void OutlierDetection::recordAnswer(Server &Target, AnswerBaseline &Baseline,
                                    std::uint32_t Bytes, TimePoint Now) {
  OutlierState &Seen = Target.Outlier;
  const bool LooksRejected = looksRejected(Bytes, Baseline);
  const float Decay = decaySince(Seen.LastAnswerAt, Now);
  Seen.LastAnswerAt = Now;
  Seen.Answers = Seen.Answers * Decay + 1;
  Seen.Rejected =
      Seen.Rejected * Decay + (LooksRejected && Bytes > 0 ? 1.0F : 0.0F);
  Seen.Unanswered = Seen.Unanswered * Decay + (Bytes == 0 ? 1.0F : 0.0F);
  // The flows that an ejected server still has show what it was ejected for.
  if (!Seen.Ejected && Baseline.ready())
    Seen.Score = std::clamp(
        Seen.Score + evidence(LooksRejected, Baseline.rejectedShare()), 0.0F,
        MaxScore);
  if (Seen.Reduced && LooksRejected)
    Seen.CostFactor = reducedCostFactor(Seen);
  if (!Seen.Ejected && !Seen.Reduced)
    Baseline.record(Bytes, 1 / Seen.Answers);
  if (Seen.Score < ReduceScore && !Seen.Listed)
    return;
  if (!Seen.Listed) {
    Seen.Listed = true;
    Suspects.push_back(Target.Token);
  }
  ReviewRequested = true;
}

bool OutlierDetection::Census::disbelieved() const {
  return Candidates < MinCandidates || 2 * Suspected > Candidates;
}

OutlierDetection::Census
OutlierDetection::takeCensus(const ServiceName &Service, TimePoint Now) const {
  Census Result{.Service = &Service};
  std::vector<float> Shares;
  for (const Server *Each : Servers.serversOf(Service)) {
    if (!isCandidate(*Each, Now))
      continue;
    const OutlierState &Seen = Each->Outlier;
    ++Result.Candidates;
    Result.Suspected += Seen.Score >= ReduceScore || Seen.Ejected ? 1 : 0;
    Result.Ejected += Seen.Ejected ? 1 : 0;
    Shares.push_back(failedShare(Seen));
  }
  if (!Shares.empty()) {
    const auto Median =
        Shares.begin() + static_cast<std::ptrdiff_t>(Shares.size() / 2);
    std::nth_element(Shares.begin(), Median, Shares.end());
    Result.FailedShare = *Median;
  }
  return Result;
}

TimePoint OutlierDetection::nextReviewTime() const {
  if (Suspects.empty())
    return TimePoint::max();
  return LastReviewAt +
         (ReviewRequested ? RequestedReviewInterval : ReviewInterval);
}

void OutlierDetection::review(TimePoint Now) {
  if (Now < nextReviewTime())
    return;
  const double Elapsed =
      std::min(1.0, std::chrono::duration<double>(Now - LastReviewAt).count());
  ReviewRequested = false;
  LastReviewAt = Now;
  std::vector<Server *> Listed;
  for (const ServerToken Token : Suspects)
    if (Server *Target = Servers.find(Token))
      Listed.push_back(Target);
  // If not all may be ejected, the worst ones are.
  std::sort(Listed.begin(), Listed.end(),
            [](const Server *First, const Server *Second) {
              return First->Outlier.Score > Second->Outlier.Score;
            });
  std::vector<Census> Services;
  Suspects.clear();
  for (Server *Target : Listed) {
    OutlierState &Seen = Target->Outlier;
    const bool WasReduced = Seen.Reduced && !Seen.Ejected;
    auto Service =
        std::find_if(Services.begin(), Services.end(), [&](const Census &Each) {
          return *Each.Service == Target->Record.Service;
        });
    if (Service == Services.end())
      Service = Services.insert(Services.end(),
                                takeCensus(Target->Record.Service, Now));
    reviewServer(*Target, *Service, Now);
    if (!Seen.Reduced)
      Seen.CostFactor = 1;
    else if (!WasReduced)
      Seen.CostFactor = reducedCostFactor(Seen);
    else
      Seen.CostFactor =
          std::max(1.0, Seen.CostFactor * std::exp(-Elapsed / CostSeconds));
    Seen.Listed = Seen.Ejected || Seen.Reduced || Seen.Score >= ReduceScore;
    if (Seen.Listed)
      Suspects.push_back(Target->Token);
  }
}

void OutlierDetection::reviewServer(Server &Target, Census &Service,
                                    TimePoint Now) {
  OutlierState &Seen = Target.Outlier;
  if (Seen.Ejected) {
    const char *Cause = nullptr;
    if (Service.disbelieved())
      Cause = "disbelieved";
    else if (Now >= Target.EjectedUntil)
      Cause = "time_over";
    else if (3 * Service.Ejected > Service.Candidates)
      Cause = "too_few_servers";
    if (!Cause)
      return;
    readmit(Target, Cause, Service, Now);
    --Service.Ejected;
  } else if (!Service.disbelieved() && Seen.Score >= EjectScore &&
             failedShare(Seen) >= Service.FailedShare + MinExcessShare &&
             3 * (Service.Ejected + 1) <= Service.Candidates) {
    ++Service.Ejected;
    eject(Target, Service, Now);
    return;
  }
  Seen.Reduced = !Service.disbelieved() &&
                 Seen.Score >= (Seen.Reduced ? ClearScore : ReduceScore);
}

void OutlierDetection::eject(Server &Target, const Census &Service,
                             TimePoint Now) {
  OutlierState &Seen = Target.Outlier;
  if (Now - Seen.ReadmittedAt > RepetitionTime)
    Seen.Ejections = 0;
  const Milliseconds Duration =
      FirstEjection *
      (1U << std::min<unsigned>(Seen.Ejections, MaxEjectionDoublings));
  Seen.Ejections = static_cast<std::uint8_t>(
      std::min<unsigned>(Seen.Ejections + 1U, MaxEjectionDoublings));
  Seen.Ejected = true;
  Seen.Reduced = true;
  Target.EjectedUntil = Now + Duration;
  const EjectionReason Reason = Seen.Unanswered > Seen.Rejected
                                    ? EjectionReason::Unanswered
                                    : EjectionReason::Rejecting;
  ++Counters.Ejections[static_cast<std::size_t>(Reason)];
  log(LogLevel::Warn, "server_ejected",
      {{"server", Target.Record.Name},
       {"service", Target.Record.Service.value()},
       {"reason", toString(Reason)},
       {"duration_ms", Duration.count()},
       {"answers", std::lround(Seen.Answers)},
       {"rejected", std::lround(Seen.Rejected)},
       {"unanswered", std::lround(Seen.Unanswered)},
       {"median_failed_permille", std::lround(1000 * Service.FailedShare)},
       {"score", std::lround(Seen.Score)},
       {"response_ms", std::lround(Target.ResponseMs)},
       {"candidates", Service.Candidates},
       {"suspected", Service.Suspected},
       {"ejected", Service.Ejected}});
}

void OutlierDetection::readmit(Server &Target, const char *Cause,
                               const Census &Service, TimePoint Now) {
  OutlierState &Seen = Target.Outlier;
  Target.EjectedUntil = Now;
  Seen.Ejected = false;
  Seen.ReadmittedAt = Now;
  // A few rejections eject it again, some good answers clear it.
  Seen.Score = ReduceScore;
  Seen.LastAnswerAt = Now;
  log(LogLevel::Info, "server_readmitted",
      {{"server", Target.Record.Name},
       {"service", Target.Record.Service.value()},
       {"cause", Cause},
       {"ejections", Seen.Ejections},
       {"answers", std::lround(Seen.Answers)},
       {"rejected", std::lround(Seen.Rejected)},
       {"unanswered", std::lround(Seen.Unanswered)},
       {"candidates", Service.Candidates},
       {"suspected", Service.Suspected},
       {"ejected", Service.Ejected - 1}});
}

} // namespace buckthorndeck::forwarding
