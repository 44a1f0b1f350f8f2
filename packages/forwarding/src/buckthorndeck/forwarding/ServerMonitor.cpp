#include "buckthorndeck/forwarding/ServerMonitor.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/forwarding/internal/Ages.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

namespace {

// A request that takes longer than this many times its server's average
// response time makes the server suspected, which costs a health check.
constexpr double SuspiciousResponseFactor = 3.0;
constexpr Milliseconds MinResponseSuspicionDelay{100};
//! Callers retransmit a request after this time, which is evidence of its own.
constexpr Milliseconds MaxResponseSuspicionDelay{150};
//! Least time from a successful health check to the next one.
constexpr Milliseconds HealthCheckInterval{500};
//! Least time from an inconclusive health check to the next one.
constexpr Milliseconds InconclusiveCheckInterval{200};
//! After an inconclusive health check, this host's own link counts as slow for
//! this time.
constexpr Milliseconds SlowLinkTime{500};
//! Least time from a failed health check to the next one.
constexpr Milliseconds FailedCheckInterval{1000};
//! The same before the check that confirms the failure.
constexpr Milliseconds ConfirmationDelay{100};
//! Health checks that fail in a row before a server becomes unresponsive.
constexpr unsigned MinFailedChecks = 2;
//! A failed health check or an unanswered packet says nothing about the server
//! after this time. Longer than FailedCheckInterval and a health check.
constexpr Milliseconds FailureLifetime{2000};
//! If no server at all has answered for this time, this host is isolated.
constexpr Milliseconds IsolationTimeout{1000};
//! Failure score at which a server that refuses health checks becomes
//! unresponsive, since a refused check may be a false health report.
constexpr unsigned RefusedScoreLimit = 3;
//! Unanswered packets at which a server whose health checks time out becomes
//! unresponsive, retransmissions included. One packet may be lost on the way.
constexpr unsigned TimedOutFailureLimit = 2;
// Failure score per event. A working server answers a SYN at once, since a SYN
// needs no free slot. A request may wait in the server's queue until its caller
// retransmits it, so it counts less.
constexpr unsigned UnansweredSynScore = 2;
constexpr unsigned RetransmissionScore = 1;
constexpr unsigned RemovalScore = 1;

//! Whether the packets that Target left unanswered agree with the outcome of
//! its last health check.
bool leavesPacketsUnanswered(const Server &Target) {
  if (Target.LastHealthCheck == HealthCheckOutcome::Replaced)
    return true;
  return Target.LastHealthCheck == HealthCheckOutcome::TimedOut
             ? Target.Failures >= TimedOutFailureLimit
             : Target.FailureScore >= RefusedScoreLimit;
}

void clearFailures(Server &Target) {
  Target.Failures = 0;
  Target.FailureScore = 0;
}

//! Whether enough checks have failed in a row to reset Target's flows. One with
//! the outcome Replaced is enough, since another server has answered.
bool isFailureConfirmed(const Server &Target) {
  return Target.FailedChecks >= MinFailedChecks ||
         Target.LastHealthCheck == HealthCheckOutcome::Replaced;
}

void clearFailedChecks(Server &Target) {
  Target.FailedCheckAt.reset();
  Target.FailedChecks = 0;
}

bool hasRecentFailedCheck(const Server &Target, TimePoint Now) {
  return Target.FailedCheckAt && Now - *Target.FailedCheckAt <= FailureLifetime;
}

} // namespace

PacketRefusal serverRefusal(const Server &Target, TimePoint Now) {
  if (Target.State != Reachability::Unresponsive ||
      !hasRecentFailedCheck(Target, Now))
    return PacketRefusal::None;
  return Target.LastHealthCheck == HealthCheckOutcome::Replaced
             ? PacketRefusal::ServerReplaced
             : PacketRefusal::ServerUnresponsive;
}

Milliseconds responseSuspicionDelay(const Server &Target) {
  const Milliseconds Unusual(static_cast<Milliseconds::rep>(
      SuspiciousResponseFactor * Target.ResponseMs));
  return std::clamp(Unusual, MinResponseSuspicionDelay,
                    MaxResponseSuspicionDelay);
}

void ServerMonitor::recordAnswer(Server &Target, const FlowKey &Flow,
                                 TimePoint Now) {
  Target.LastProgressAt = Now;
  clearFailedChecks(Target);
  LastAnswerAt = Now;
  if (Target.State != Reachability::Reachable) {
    log(LogLevel::Info, "server_reachable",
        {{"server", Target.Record.Name},
         {"was", toString(Target.State)},
         {"cause", "progress"},
         {"flow", toString(Flow)}});
    Target.State = Reachability::Reachable;
  }
  clearFailures(Target);
}

void ServerMonitor::recordUnansweredSyn(Server &Target, TimePoint Now) {
  suspect(Target, "syn_unanswered", Now);
  addFailureScore(Target, UnansweredSynScore, Now);
}

void ServerMonitor::recordUnansweredRequest(Server &Target, TimePoint Now) {
  suspect(Target, "request_unanswered", Now);
}

void ServerMonitor::recordRetransmission(Server &Target, TimePoint Now) {
  suspect(Target, "retransmission", Now);
  addFailureScore(Target, RetransmissionScore, Now);
}

void ServerMonitor::recordRemoval(Server &Target, TimePoint Now) {
  suspect(Target, "removed", Now);
  addFailureScore(Target, RemovalScore, Now);
}

void ServerMonitor::recordEntry(Server &Target, TimePoint Now) {
  clearFailedChecks(Target);
  if (Target.State == Reachability::Reachable)
    return;
  Target.LastHealthCheck = HealthCheckOutcome::Inconclusive;
  Target.NextHealthCheckAt = Now;
}

std::size_t ServerMonitor::recordPause(TimePoint Now) {
  LastPauseAt = Now;
  std::size_t Discarded = 0;
  Servers.forEach([&](Server &Each) {
    Discarded += Each.FailedChecks > 0 || Each.Failures > 0 ? 1 : 0;
    clearFailedChecks(Each);
    clearFailures(Each);
  });
  return Discarded;
}

//! Whether the address of Target may belong to another server. An entry that
//! names the address is no proof: Target's own entry may have lapsed, and the
//! other may be wrong.
bool ServerMonitor::mayHaveBeenReplaced(const Server &Target) const {
  return !Target.Registered && Servers.isReplaced(Target);
}

void ServerMonitor::recheckIfDoubtful(Server &Target, TimePoint Now) {
  const bool Doubtful = Target.State == Reachability::Unhealthy ||
                        Target.State == Reachability::Unresponsive ||
                        mayHaveBeenReplaced(Target);
  if (Doubtful && Now >= Target.NextHealthCheckAt &&
      !Target.HealthCheckRunning && Servers.receivesOwnPackets(Target))
    startHealthCheck(Target);
}

bool ServerMonitor::isolated(TimePoint Now) const {
  return LastInconclusiveAt > LastAnswerAt &&
         Now - LastAnswerAt > IsolationTimeout;
}

void ServerMonitor::suspect(Server &Target, const char *Cause, TimePoint Now) {
  if (Target.State != Reachability::Reachable ||
      Now < Target.NextHealthCheckAt || Target.HealthCheckRunning ||
      !Servers.receivesOwnPackets(Target))
    return;
  log(LogLevel::Info, "server_suspected",
      {{"server", Target.Record.Name},
       {"cause", Cause},
       {"registered", Target.Registered},
       {"progress_age_ms", ageMs(Target.LastProgressAt, Now)},
       {"server_era", Target.Position.Era.value()},
       {"server_revision", Target.Position.Revision.value()}});
  Target.State = Reachability::Suspected;
  startHealthCheck(Target);
}

void ServerMonitor::startHealthCheck(Server &Target) {
  Target.HealthCheckRunning = true;
  DueChecks.push_back(Target.Token);
  ++Counters.HealthChecks;
}

Server *ServerMonitor::referenceServerFor(ServerToken Checked) {
  Server *Reference = nullptr;
  Servers.forEach([&](Server &Candidate) {
    if (Candidate.Token == Checked || !Candidate.Registered ||
        Candidate.State != Reachability::Reachable)
      return;
    const bool IsLocal = Candidate.Record.Domain == Domain;
    const bool ReferenceIsLocal =
        Reference && Reference->Record.Domain == Domain;
    if (!Reference || IsLocal > ReferenceIsLocal ||
        (IsLocal == ReferenceIsLocal &&
         Candidate.LastProgressAt > Reference->LastProgressAt))
      Reference = &Candidate;
  });
  return Reference;
}

void ServerMonitor::recordHealthCheck(ServerToken Token,
                                      HealthCheckOutcome Outcome,
                                      TimePoint Started, TimePoint Now) {
  if (Outcome == HealthCheckOutcome::Inconclusive)
    LastInconclusiveAt = Now;
  else
    LastAnswerAt = Now;
  // On a slow link the reference server may answer in time by chance.
  const bool LinkIsSlow = Outcome == HealthCheckOutcome::TimedOut &&
                          Now - LastInconclusiveAt < SlowLinkTime;
  // What failed before a pause may be long past.
  const bool BeganBeforePause =
      Outcome != HealthCheckOutcome::Connected && Started < LastPauseAt;
  if (LinkIsSlow || BeganBeforePause)
    Outcome = HealthCheckOutcome::Inconclusive;
  Server *Target = Servers.find(Token);
  if (!Target)
    return;
  Target->HealthCheckRunning = false;
  Target->LastHealthCheckAt = Now;
  ++Counters.HealthCheckOutcomes[static_cast<std::size_t>(Outcome)];
  // The check may have failed before the process was started again. Flows with
  // the old token may be open at the new process.
  if (!Servers.receivesOwnPackets(*Target)) {
    clearFailedChecks(*Target);
    clearFailures(*Target);
    Target->State = Reachability::Reachable;
    return;
  }
  const bool Failed = Outcome == HealthCheckOutcome::Refused ||
                      Outcome == HealthCheckOutcome::TimedOut ||
                      Outcome == HealthCheckOutcome::Replaced;
  if (Failed && Target->LastProgressAt < Started) {
    markUnhealthy(*Target, Outcome, Now);
    return;
  }
  const bool Inconclusive = Outcome == HealthCheckOutcome::Inconclusive;
  Target->NextHealthCheckAt =
      Now + (Inconclusive ? InconclusiveCheckInterval : HealthCheckInterval);
  if (Inconclusive && Target->State != Reachability::Suspected)
    return;
  if (Target->State != Reachability::Suspected || Inconclusive)
    log(LogLevel::Info, "server_reachable",
        {{"server", Target->Record.Name},
         {"was", toString(Target->State)},
         {"cause", "health_check"},
         {"health_check", toString(Outcome)}});
  Target->State = Reachability::Reachable;
  Target->LastHealthCheck = Outcome;
  clearFailedChecks(*Target);
  clearFailures(*Target);
}

HealthCheckKind ServerMonitor::healthCheckKind(ServerToken Token) {
  const Server *Target = Servers.find(Token);
  return Target && Target->FailedChecks > 0 ? HealthCheckKind::Confirmation
                                            : HealthCheckKind::First;
}

std::optional<std::string> ServerMonitor::identityPath(ServerToken Token) {
  const Server *Target = Servers.find(Token);
  if (!Target)
    return std::nullopt;
  const bool LeavesPackets = Target->State == Reachability::Unhealthy ||
                             Target->State == Reachability::Unresponsive ||
                             (Target->State == Reachability::Suspected &&
                              Target->FailureScore >= UnansweredSynScore);
  if (!LeavesPackets && !mayHaveBeenReplaced(*Target))
    return std::nullopt;
  for (const ServiceRule &Rule : Routes.serviceRules())
    if (Rule.Service == Target->Record.Service)
      return Rule.Path;
  return std::nullopt;
}

void ServerMonitor::markUnhealthy(Server &Target, HealthCheckOutcome Outcome,
                                  TimePoint Now) {
  // An expired failure must be confirmed anew.
  if (!hasRecentFailedCheck(Target, Now)) {
    Target.FailedChecks = 0;
    if (Target.State == Reachability::Unresponsive)
      Target.State = Reachability::Unhealthy;
  }
  ++Target.FailedChecks;
  Target.FailedCheckAt = Now;
  Target.LastHealthCheck = Outcome;
  Target.NextHealthCheckAt =
      Now +
      (isFailureConfirmed(Target) ? FailedCheckInterval : ConfirmationDelay);
  NextFailedCheckAt = std::min(NextFailedCheckAt, Target.NextHealthCheckAt);
  if (std::find(FailedServers.begin(), FailedServers.end(), Target.Token) ==
      FailedServers.end())
    FailedServers.push_back(Target.Token);
  if (Target.State == Reachability::Unresponsive)
    return;
  if (Target.State != Reachability::Unhealthy)
    log(LogLevel::Info, "server_unhealthy",
        {{"server", Target.Record.Name},
         {"health_check", toString(Outcome)},
         {"failure_score", Target.FailureScore},
         {"progress_age_ms", ageMs(Target.LastProgressAt, Now)},
         {"server_era", Target.Position.Era.value()},
         {"server_revision", Target.Position.Revision.value()}});
  Target.State = Reachability::Unhealthy;
  addFailureScore(Target, 0, Now);
}

void ServerMonitor::addFailureScore(Server &Target, unsigned Score,
                                    TimePoint Now) {
  if (Now - Target.LastFailureAt > FailureLifetime)
    clearFailures(Target);
  if (Score > 0) {
    Target.FailureScore += Score;
    ++Target.Failures;
    Target.LastFailureAt = Now;
  }
  if (Target.State == Reachability::Unhealthy && isFailureConfirmed(Target) &&
      Servers.receivesOwnPackets(Target) && leavesPacketsUnanswered(Target))
    markUnresponsive(Target, Now);
}

void ServerMonitor::markUnresponsive(Server &Target, TimePoint Now) {
  Target.State = Reachability::Unresponsive;
  ++Counters.ServersMarkedUnresponsive;
  log(LogLevel::Warn, "server_silent",
      {{"server", Target.Record.Name},
       {"health_check", toString(Target.LastHealthCheck)},
       {"failure_score", Target.FailureScore},
       {"progress_age_ms", ageMs(Target.LastProgressAt, Now)},
       {"registered", Target.Registered},
       {"server_era", Target.Position.Era.value()},
       {"server_revision", Target.Position.Revision.value()},
       {"flows", Target.Flows}});
  ResetFlows(Target, serverRefusal(Target, Now), Now);
}

void ServerMonitor::processHealthChecks(TimePoint Now) {
  // An isolated host receives no packets, so only health checks can show that
  // it can serve again.
  if (isolated(Now))
    if (Server *Reference = referenceServerFor(ServerToken()))
      suspect(*Reference, "isolated", Now);
  NextFailedCheckAt = TimePoint::max();
  std::erase_if(FailedServers, [&](ServerToken Token) {
    Server *Target = Servers.find(Token);
    if (!Target || Target->State == Reachability::Reachable ||
        !Servers.receivesOwnPackets(*Target))
      return true;
    // Unregistered servers get no new flows.
    const bool NeedsCheck =
        !isFailureConfirmed(*Target) ||
        (Target->Registered &&
         Target->LastHealthCheck != HealthCheckOutcome::Replaced);
    if (Target->HealthCheckRunning || !NeedsCheck)
      return false;
    if (Now >= Target->NextHealthCheckAt)
      startHealthCheck(*Target);
    else
      NextFailedCheckAt =
          std::min(NextFailedCheckAt, Target->NextHealthCheckAt);
    return false;
  });
}

} // namespace buckthorndeck::forwarding
