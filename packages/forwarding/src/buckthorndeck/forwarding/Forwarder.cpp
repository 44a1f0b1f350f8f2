#include "buckthorndeck/forwarding/Forwarder.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

namespace {

//! Servers answer a SYN within a round trip of a few ms. Callers retransmit it
//! only after 200 ms, while the shortest latency target is 120 ms.
constexpr Milliseconds HandshakeTimeout{40};
//! Servers that a SYN is sent to by hedging, including the first one.
constexpr std::size_t MaxSynAttempts = 3;
//! A SYN is not hedged if its timer is processed later than this, because the
//! delay is then this host's own.
constexpr Milliseconds MaxHedgeLateness{150};
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
//! Callers retransmit a SYN up to 600 ms after the first copy.
constexpr Milliseconds PendingConnectionLifetime{1500};
//! Late packets of a flow that both ends have closed arrive within this time.
constexpr Milliseconds ClosedFlowLifetime{2000};
constexpr Milliseconds ExpiryInterval{1000};
// Failure score per event. A working server answers a SYN at once, since a SYN
// needs no free slot. A request may wait in the server's queue until its caller
// retransmits it, so it counts less.
constexpr unsigned UnansweredSynScore = 2;
constexpr unsigned RetransmissionScore = 1;
constexpr unsigned RemovalScore = 1;
//! Failure score at which a server that refuses health checks becomes
//! unresponsive, since a refused check may be a false health report.
constexpr unsigned RefusedScoreLimit = 3;
//! Unanswered packets at which a server whose health checks time out becomes
//! unresponsive, retransmissions included. One packet may be lost on the way.
constexpr unsigned TimedOutFailureLimit = 2;
//! Weight of a new sample in the moving average of response times.
constexpr double ResponseSampleWeight = 0.1;

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

//! Why packets of Target's flows must be answered by a reset now.
PacketRefusal serverRefusal(const Server &Target, TimePoint Now) {
  if (Target.State != Reachability::Unresponsive ||
      !hasRecentFailedCheck(Target, Now))
    return PacketRefusal::None;
  return Target.LastHealthCheck == HealthCheckOutcome::Replaced
             ? PacketRefusal::ServerReplaced
             : PacketRefusal::ServerUnresponsive;
}

//! How long a request to Target may be unanswered before Target is suspected.
Milliseconds responseSuspicionDelay(const Server &Target) {
  const Milliseconds Unusual(static_cast<Milliseconds::rep>(
      SuspiciousResponseFactor * Target.ResponseMs));
  return std::clamp(Unusual, MinResponseSuspicionDelay,
                    MaxResponseSuspicionDelay);
}

std::string tokenText(ServerToken Token) {
  return std::to_string(Token.value());
}

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

std::int64_t ageMs(TimePoint Then, TimePoint Now) {
  if (Then == TimePoint{})
    return -1;
  return std::chrono::duration_cast<Milliseconds>(Now - Then).count();
}

} // namespace

const char *toString(PacketRefusal Reason) {
  switch (Reason) {
  case PacketRefusal::None:
    return "none";
  case PacketRefusal::NotReady:
    return "not_ready";
  case PacketRefusal::NoRoute:
    return "no_route";
  case PacketRefusal::RouteRemoved:
    return "route_removed";
  case PacketRefusal::NoServer:
    return "no_server";
  case PacketRefusal::UnknownToken:
    return "unknown_token";
  case PacketRefusal::ServerUnresponsive:
    return "server_silent";
  case PacketRefusal::ServerReplaced:
    return "server_replaced";
  }
  return "unknown";
}

Forwarder::Forwarder(const ForwarderOptions &Options)
    : Options(Options), Random(Options.RandomSeed) {}

PacketDecision Forwarder::refuse(PacketAction Action, PacketRefusal Reason,
                                 const FlowKey &Flow, const Server *Target,
                                 TimePoint Now) {
  ++Counters.PacketsRefused[static_cast<std::size_t>(Reason)];
  if (Action == PacketAction::Reset)
    ++Counters.Resets[static_cast<std::size_t>(Reason)];
  const auto Tracked = Flows.find(Flow);
  const std::int64_t FlowAge =
      Tracked == Flows.end() ? -1 : ageMs(Tracked->second.FirstPacketAt, Now);
  if (!Target) {
    log(LogLevel::Info, "packet_refused",
        {{"flow", toString(Flow)},
         {"reason", toString(Reason)},
         {"reset", Action == PacketAction::Reset},
         {"flow_age_ms", FlowAge},
         {"config_version", Routes.version().value()}});
    return {.Action = Action, .Reason = Reason};
  }
  log(LogLevel::Info, "packet_refused",
      {{"flow", toString(Flow)},
       {"reason", toString(Reason)},
       {"reset", Action == PacketAction::Reset},
       {"flow_age_ms", FlowAge},
       {"server", Target->Record.Name},
       {"registered", Target->Registered},
       {"health_check", toString(Target->LastHealthCheck)},
       {"health_check_age_ms", ageMs(Target->LastHealthCheckAt, Now)},
       {"progress_age_ms", ageMs(Target->LastProgressAt, Now)}});
  return {.Action = Action, .Reason = Reason};
}

PacketDecision Forwarder::handle(ByteView Packet, const PacketHeader &Header,
                                 TimePoint Now, bool MayBeLate) {
  if (Routes.version() == ConfigVersion())
    return refuse(PacketAction::Drop, PacketRefusal::NotReady, Header.Flow,
                  nullptr, Now);
  if (Header.Syn)
    return handleSyn(Packet, Header, Now, MayBeLate);
  if (hasLostRoute(Header.Flow))
    return refuse(PacketAction::Reset, PacketRefusal::RouteRemoved, Header.Flow,
                  nullptr, Now);
  Server *Target = Servers.find(Header.Token);
  if (!Target) {
    // The server may have registered after this host's last read.
    RefreshRequested = RefreshRequested || Header.Token != ServerToken();
    return refuse(PacketAction::Drop, PacketRefusal::UnknownToken, Header.Flow,
                  nullptr, Now);
  }
  // Before a host reads the new registry entry of a server that was started
  // again, it places flows at the new process with the old token.
  Target = &Servers.currentProcess(*Target);
  if (Header.Reset) {
    eraseFlow(Header.Flow);
  } else {
    recordFlow(Header, *Target, Now);
    const PacketRefusal Reason = serverRefusal(*Target, Now);
    if (Reason != PacketRefusal::None) {
      const PacketDecision Refused =
          refuse(PacketAction::Reset, Reason, Header.Flow, Target, Now);
      eraseFlow(Header.Flow);
      return Refused;
    }
    recheckIfDoubtful(*Target, Now);
  }
  ++Counters.Forwarded;
  return {.Action = PacketAction::Forward, .Target = Target};
}

//! Whether a configuration removed the flow's route after the flow was opened.
//! A flow may also have been opened under a later version, at another host,
//! that has the route again.
bool Forwarder::hasLostRoute(const FlowKey &Flow) const {
  const std::optional<TimePoint> RemovedAfter =
      Routes.removedAfter(Flow.Service);
  const auto Tracked = Flows.find(Flow);
  return RemovedAfter && Tracked != Flows.end() &&
         Tracked->second.FirstPacketAt < *RemovedAfter;
}

//! Whether the address of Target may belong to another server. An entry that
//! names the address is no proof: Target's own entry may have lapsed, and the
//! other may be wrong.
bool Forwarder::mayHaveBeenReplaced(const Server &Target) const {
  return !Target.Registered && Servers.isReplaced(Target);
}

//! Checks a server that gets a packet although its last check failed some time
//! ago or its address may belong to another server.
void Forwarder::recheckIfDoubtful(Server &Target, TimePoint Now) {
  const bool Doubtful = Target.State == Reachability::Unhealthy ||
                        Target.State == Reachability::Unresponsive ||
                        mayHaveBeenReplaced(Target);
  if (Doubtful && Now >= Target.NextHealthCheckAt &&
      !Target.HealthCheckRunning && Servers.receivesOwnPackets(Target))
    startHealthCheck(Target);
}

bool Forwarder::isolated(TimePoint Now) const {
  return LastInconclusiveAt > LastAnswerAt &&
         Now - LastAnswerAt > IsolationTimeout;
}

Placement Forwarder::place(const FlowKey &Flow, const Route &Matched,
                           std::span<const ServerToken> Tried, TimePoint Now) {
  const ServiceName &Service = serviceOf(Matched, Flow);
  return placeFlow(Servers.serversOf(Service),
                   {.Domain = Options.Domain,
                    .DomainCount = Options.DomainCount,
                    .Tried = Tried,
                    .Now = Now},
                   Random);
}

//! The server of a flow that is open at this host; null if there is none.
Server *Forwarder::serverOfOpenFlow(const FlowKey &Flow) {
  const auto Tracked = Flows.find(Flow);
  if (Tracked == Flows.end() || Tracked->second.Pending ||
      Tracked->second.Finished)
    return nullptr;
  Server *Target = Servers.find(Tracked->second.Token);
  return Target ? &Servers.currentProcess(*Target) : nullptr;
}

PacketDecision Forwarder::handleSyn(ByteView Packet, const PacketHeader &Header,
                                    TimePoint Now, bool MayBeLate) {
  // The network may deliver a SYN twice or late.
  if (Server *Target = serverOfOpenFlow(Header.Flow)) {
    ++Counters.SynRetransmissions;
    ++Counters.Forwarded;
    return {.Action = PacketAction::Forward, .Target = Target};
  }
  // Another host may have received an earlier copy, and the flow may be open.
  const bool MayBeOpen = MayBeLate || Header.Acknowledged > 0;
  const PacketAction Refusal =
      MayBeOpen ? PacketAction::Drop : PacketAction::Reset;
  const Route *Matched = Routes.find(Header.Flow.Service);
  if (!Matched)
    return refuse(Refusal, PacketRefusal::NoRoute, Header.Flow, nullptr, Now);
  const auto Pending = PendingConnections.find(Header.Flow);
  if (Pending != PendingConnections.end())
    return handleRetransmittedSyn(Pending->second, Header, *Matched, Now);

  const Placement Placed = place(Header.Flow, *Matched, {}, Now);
  if (!Placed.Chosen)
    return refuse(Refusal, PacketRefusal::NoServer, Header.Flow, nullptr, Now);
  Server &Target = *Placed.Chosen;
  log(LogLevel::Info, "flow_placed",
      {{"flow", toString(Header.Flow)},
       {"server", Target.Record.Name},
       {"token", tokenText(Target.Token)},
       {"reason", toString(Placed.Reason)},
       {"copy", Header.Acknowledged},
       {"server_flows", Target.Flows},
       {"response_ms", static_cast<std::int64_t>(Target.ResponseMs)},
       {"server_era", Target.Position.Era.value()},
       {"server_revision", Target.Position.Revision.value()},
       {"config_version", Routes.version().value()}});
  ++Counters.FlowsOpened;
  ++Counters.Forwarded;
  routing::recordRequest(HedgeBudget);
  PendingConnections[Header.Flow] =
      PendingConnection{.Packet = Bytes(Packet.begin(), Packet.end()),
                        .Tried = {Target.Token},
                        .StartedAt = Now};
  // The caller of a late SYN may have stopped waiting for an answer.
  if (!MayBeLate)
    HedgeTimers.push_back(
        {.DueAt = Now + HandshakeTimeout, .Flow = Header.Flow});
  Flow &Tracked = Flows[Header.Flow];
  assign(Tracked, Target.Token);
  Tracked = Flow{.Token = Target.Token,
                 .FirstPacketAt = Now,
                 .LastPacketAt = Now,
                 .Pending = true};
  return {.Action = PacketAction::Forward, .Target = &Target};
}

PacketDecision Forwarder::handleRetransmittedSyn(PendingConnection &Pending,
                                                 const PacketHeader &Header,
                                                 const Route &Matched,
                                                 TimePoint Now) {
  ++Counters.SynRetransmissions;
  Server *Target = Servers.find(Pending.Tried.back());
  const bool Usable = Target && Target->Registered &&
                      !Target->Record.Draining &&
                      Target->State == Reachability::Reachable;
  if (!Usable) {
    const Placement Placed = place(Header.Flow, Matched, Pending.Tried, Now);
    if (Placed.Chosen) {
      Target = Placed.Chosen;
      Pending.Tried.push_back(Target->Token);
    }
  }
  if (!Target)
    return refuse(PacketAction::Drop, PacketRefusal::NoServer, Header.Flow,
                  nullptr, Now);
  log(LogLevel::Info, "syn_retransmitted",
      {{"flow", toString(Header.Flow)},
       {"server", Target->Record.Name},
       {"copy", Header.Acknowledged},
       {"servers_tried", Pending.Tried.size()},
       {"age_ms", ageMs(Pending.StartedAt, Now)}});
  Flow &Tracked = Flows[Header.Flow];
  assign(Tracked, Target->Token);
  Tracked.Pending = true;
  Tracked.LastPacketAt = Now;
  ++Counters.Forwarded;
  return {.Action = PacketAction::Forward, .Target = Target};
}

//! Assigns the flow to the server with this token and updates both servers'
//! flow counts.
void Forwarder::assign(Flow &Tracked, ServerToken Token) {
  if (Tracked.Token == Token)
    return;
  releaseServer(Tracked.Token);
  if (Server *Next = Servers.find(Token))
    ++Next->Flows;
  Tracked.Token = Token;
}

void Forwarder::eraseFlow(const FlowKey &Key) {
  const auto Found = Flows.find(Key);
  if (Found == Flows.end())
    return;
  releaseServer(Found->second.Token);
  Flows.erase(Found);
}

void Forwarder::releaseServer(ServerToken Token) {
  Server *Target = Servers.find(Token);
  // The count restarts at 0 if the server was removed and added again.
  if (Target && Target->Flows > 0)
    --Target->Flows;
}

void Forwarder::recordFlow(const PacketHeader &Header, Server &Target,
                           TimePoint Now) {
  auto [Found, Inserted] = Flows.try_emplace(Header.Flow);
  Flow &Tracked = Found->second;
  if (Inserted) {
    Tracked = makeMidstreamFlow(Header, Now);
    Tracked.Token = Target.Token;
    ++Target.Flows;
  }
  assign(Tracked, Target.Token);
  const FlowUpdate Update = recordPacket(Tracked, Header, Now);
  if (Update.Established) {
    ++Counters.FlowsEstablished;
    const auto Pending = PendingConnections.find(Header.Flow);
    if (Pending != PendingConnections.end()) {
      Histograms->Handshake.Observe(seconds(Now - Pending->second.StartedAt));
      PendingConnections.erase(Pending);
    }
  }
  if (Update.Progress)
    recordProgress(Target, Header.Flow, Update, Now);
  if (Update.StartedWaiting)
    ResponseTimers.push({.DueAt = Now + responseSuspicionDelay(Target),
                         .Flow = Header.Flow,
                         .WaitingSince = Tracked.WaitingSince});
  if (Update.Retransmission) {
    ++Counters.Retransmissions;
    // If the server has answered other flows since the request, at most one
    // packet was lost. Soon after the request, older data was reordered on the
    // way, not retransmitted.
    if (Target.LastProgressAt <= Tracked.WaitingSince &&
        Now - Tracked.WaitingSince >= MinResponseSuspicionDelay) {
      suspect(Target, "retransmission", Now);
      addFailureScore(Target, RetransmissionScore, Now);
    }
  }
}

void Forwarder::recordProgress(Server &Target, const FlowKey &Key,
                               const FlowUpdate &Update, TimePoint Now) {
  Target.LastProgressAt = Now;
  clearFailedChecks(Target);
  LastAnswerAt = Now;
  if (Target.State != Reachability::Reachable) {
    log(LogLevel::Info, "server_reachable",
        {{"server", Target.Record.Name},
         {"was", toString(Target.State)},
         {"cause", "progress"},
         {"flow", toString(Key)}});
    Target.State = Reachability::Reachable;
  }
  clearFailures(Target);
  if (Update.ResponseTime == Clock::duration{0})
    return;
  Histograms->Response.Observe(seconds(Update.ResponseTime));
  const double Sample = 1000 * seconds(Update.ResponseTime);
  Target.ResponseMs =
      Target.ResponseMs == 0
          ? Sample
          : Target.ResponseMs +
                ResponseSampleWeight * (Sample - Target.ResponseMs);
}

void Forwarder::suspect(Server &Target, const char *Cause, TimePoint Now) {
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

void Forwarder::startHealthCheck(Server &Target) {
  Target.HealthCheckRunning = true;
  Actions.HealthChecks.push_back(Target.Token);
  ++Counters.HealthChecks;
}

Server *Forwarder::referenceServerFor(ServerToken Checked) {
  Server *Reference = nullptr;
  Servers.forEach([&](Server &Candidate) {
    if (Candidate.Token == Checked || !Candidate.Registered ||
        Candidate.State != Reachability::Reachable)
      return;
    const bool IsLocal = Candidate.Record.Domain == Options.Domain;
    const bool ReferenceIsLocal =
        Reference && Reference->Record.Domain == Options.Domain;
    if (!Reference || IsLocal > ReferenceIsLocal ||
        (IsLocal == ReferenceIsLocal &&
         Candidate.LastProgressAt > Reference->LastProgressAt))
      Reference = &Candidate;
  });
  return Reference;
}

void Forwarder::recordHealthCheck(ServerToken Token, HealthCheckOutcome Outcome,
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

HealthCheckKind Forwarder::healthCheckKind(ServerToken Token) {
  const Server *Target = Servers.find(Token);
  return Target && Target->FailedChecks > 0 ? HealthCheckKind::Confirmation
                                            : HealthCheckKind::First;
}

std::optional<std::string> Forwarder::identityPath(ServerToken Token) {
  const Server *Target = Servers.find(Token);
  if (!Target)
    return std::nullopt;
  const bool LeavesPackets = Target->State == Reachability::Unhealthy ||
                             Target->State == Reachability::Unresponsive ||
                             (Target->State == Reachability::Suspected &&
                              Target->FailureScore >= UnansweredSynScore);
  if (!LeavesPackets && !mayHaveBeenReplaced(*Target))
    return std::nullopt;
  for (const HealthRule &Rule : Routes.healthRules())
    if (Rule.Service == Target->Record.Service)
      return Rule.Path;
  return std::nullopt;
}

void Forwarder::markUnhealthy(Server &Target, HealthCheckOutcome Outcome,
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

void Forwarder::addFailureScore(Server &Target, unsigned Score, TimePoint Now) {
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

void Forwarder::markUnresponsive(Server &Target, TimePoint Now) {
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
  resetFlowsOf(Target, Now);
}

void Forwarder::resetFlowsOf(const Server &Target, TimePoint Now) {
  const PacketRefusal Reason = serverRefusal(Target, Now);
  std::vector<FlowKey> ResetFlows;
  for (const auto &[Key, Tracked] : Flows) {
    if (Tracked.Token != Target.Token || Tracked.Pending)
      continue;
    Actions.Resets.push_back({.Flow = Key, .Sequence = Tracked.Acknowledged});
    ResetFlows.push_back(Key);
  }
  for (const FlowKey &Key : ResetFlows) {
    log(LogLevel::Info, "flow_reset",
        {{"flow", toString(Key)},
         {"server", Target.Record.Name},
         {"reason", toString(Reason)},
         {"idle_ms", ageMs(Flows.at(Key).LastPacketAt, Now)}});
    eraseFlow(Key);
  }
  Counters.FlowsReset += ResetFlows.size();
  Counters.Resets[static_cast<std::size_t>(Reason)] += ResetFlows.size();
}

void Forwarder::applyRoutes(RouteSet Next, TimePoint CurrentUntil) {
  const ConfigVersion Before = Routes.version();
  const ConfigVersion Offered = Next.Version;
  const bool Applied = Routes.apply(std::move(Next), CurrentUntil);
  log(LogLevel::Info, Applied ? "config_applied" : "config_ignored",
      {{"version", Offered.value()},
       {"before", Before.value()},
       {"routes", Routes.size()}});
}

void Forwarder::updateServer(ServerRecord Record, StorePosition Position,
                             TimePoint Now, LogLevel Level,
                             EntryOrigin Origin) {
  const ServerToken Token = tokenOf(Record);
  const std::string Name = Record.Name;
  const auto Change = Servers.update(std::move(Record), Position, Now, Origin);
  if (Change == ServerDirectory::Change::None ||
      Change == ServerDirectory::Change::Withheld) {
    const bool Withheld = Change == ServerDirectory::Change::Withheld;
    log(Withheld ? Level : LogLevel::Debug,
        Withheld ? "server_update_withheld" : "server_update_ignored",
        {{"server", Name},
         {"server_era", Position.Era.value()},
         {"server_revision", Position.Revision.value()}});
    return;
  }
  Server &Target = *Servers.find(Token);
  log(Level, "server_updated",
      {{"server", Target.Record.Name},
       {"token", tokenText(Token)},
       {"added", Change == ServerDirectory::Change::Added},
       {"service", Target.Record.Service.value()},
       {"failure_domain", Target.Record.Domain.value()},
       {"slots", Target.Record.Slots},
       {"draining", Target.Record.Draining},
       {"warmup_ms", Target.Record.WarmupLeft.count()},
       {"sequence", Target.Record.Sequence},
       {"server_era", Position.Era.value()},
       {"server_revision", Position.Revision.value()}});
  // A new registry entry shows that the process runs.
  clearFailedChecks(Target);
  if (Target.State != Reachability::Reachable) {
    Target.LastHealthCheck = HealthCheckOutcome::Inconclusive;
    Target.NextHealthCheckAt = Now;
  }
}

void Forwarder::removeServer(const std::string &Name, StorePosition Position,
                             TimePoint Now) {
  if (Server *Target = Servers.remove(Name, Position, Now))
    recordRemoval(*Target, "removed_from_registry", Now);
  else
    log(LogLevel::Debug, "server_removal_ignored",
        {{"server", Name},
         {"server_era", Position.Era.value()},
         {"server_revision", Position.Revision.value()}});
}

void Forwarder::mergeRemoval(RegistryEntry Removed, TimePoint Now) {
  if (Server *Target = Servers.mergeRemoval(std::move(Removed), Now))
    recordRemoval(*Target, "peer_saw_removal", Now);
}

void Forwarder::retainServers(std::vector<std::string> Present,
                              StorePosition Position, TimePoint Now) {
  for (Server *Target : Servers.retain(std::move(Present), Position, Now))
    recordRemoval(*Target, "absent_from_registry", Now);
}

void Forwarder::confirmServers(StoreEra Era, TimePoint Now) {
  for (RegistryEntry &Entry : Servers.takeWithheld(Era))
    updateServer(std::move(Entry.Record), Entry.Position, Now);
  for (Server *Target : Servers.removeUnconfirmed(Era, Now))
    recordRemoval(*Target, "not_written_again", Now);
}

void Forwarder::recordRemoval(Server &Target, const char *Cause,
                              TimePoint Now) {
  log(LogLevel::Info, "server_removed",
      {{"server", Target.Record.Name},
       {"cause", Cause},
       {"draining", Target.Record.Draining},
       {"flows", Target.Flows},
       {"progress_age_ms", ageMs(Target.LastProgressAt, Now)},
       {"server_era", Target.Position.Era.value()},
       {"server_revision", Target.Position.Revision.value()}});
  if (Target.Flows == 0)
    return;
  suspect(Target, "removed", Now);
  addFailureScore(Target, RemovalScore, Now);
}

bool Forwarder::ready(TimePoint Now) const {
  return Routes.version() != ConfigVersion() && Servers.size() > 0 &&
         !isolated(Now);
}

bool Forwarder::takeRefreshRequest() {
  return std::exchange(RefreshRequested, false);
}

void Forwarder::recordPause(TimePoint Now) {
  LastPauseAt = Now;
  HedgeTimers.clear();
  std::size_t Discarded = 0;
  Servers.forEach([&](Server &Each) {
    Discarded += Each.FailedChecks > 0 || Each.Failures > 0 ? 1 : 0;
    clearFailedChecks(Each);
    clearFailures(Each);
  });
  log(LogLevel::Warn, "host_paused",
      {{"servers_to_check_again", Discarded}, {"flows", Flows.size()}});
}

DueActions Forwarder::takeDueActions(TimePoint Now) {
  processHedgeTimers(Now);
  processResponseTimers(Now);
  processHealthChecks(Now);
  if (Now >= NextExpiryAt)
    removeExpired(Now);
  return std::exchange(Actions, DueActions{});
}

TimePoint Forwarder::nextActionTime() const {
  TimePoint Next = std::min(NextExpiryAt, NextFailedCheckAt);
  if (!HedgeTimers.empty())
    Next = std::min(Next, HedgeTimers.front().DueAt);
  if (!ResponseTimers.empty())
    Next = std::min(Next, ResponseTimers.top().DueAt);
  return Next;
}

void Forwarder::processHedgeTimers(TimePoint Now) {
  while (!HedgeTimers.empty() && HedgeTimers.front().DueAt <= Now) {
    const HedgeTimer Timer = HedgeTimers.front();
    HedgeTimers.pop_front();
    if (Now - Timer.DueAt < MaxHedgeLateness)
      hedgeSyn(Timer.Flow, Now);
  }
}

void Forwarder::hedgeSyn(const FlowKey &Key, TimePoint Now) {
  const auto Found = PendingConnections.find(Key);
  if (Found == PendingConnections.end())
    return;
  PendingConnection &Pending = Found->second;
  Server *Previous = Servers.find(Pending.Tried.back());
  if (Previous && Previous->LastProgressAt <= Pending.StartedAt) {
    suspect(*Previous, "syn_unanswered", Now);
    addFailureScore(*Previous, UnansweredSynScore, Now);
  }
  const Route *Matched = Routes.find(Key.Service);
  if (!Matched || Pending.Tried.size() >= MaxSynAttempts ||
      !routing::takeRetry(HedgeBudget, Now))
    return;
  const Placement Placed = place(Key, *Matched, Pending.Tried, Now);
  if (!Placed.Chosen)
    return;
  log(LogLevel::Info, "syn_hedged",
      {{"flow", toString(Key)},
       {"unanswered", Previous ? Previous->Record.Name : ""},
       {"server", Placed.Chosen->Record.Name},
       {"reason", toString(Placed.Reason)},
       {"age_ms", ageMs(Pending.StartedAt, Now)}});
  Pending.Tried.push_back(Placed.Chosen->Token);
  Actions.Packets.push_back(
      {.Packet = Pending.Packet, .Target = Placed.Chosen->Token});
  HedgeTimers.push_back({.DueAt = Now + HandshakeTimeout, .Flow = Key});
  ++Counters.SynsHedged;
}

void Forwarder::processResponseTimers(TimePoint Now) {
  while (!ResponseTimers.empty() && ResponseTimers.top().DueAt <= Now) {
    const ResponseTimer Timer = ResponseTimers.top();
    ResponseTimers.pop();
    const auto Found = Flows.find(Timer.Flow);
    if (Found == Flows.end() ||
        Found->second.WaitingSince != Timer.WaitingSince)
      continue;
    Server *Target = Servers.find(Found->second.Token);
    if (Target && Target->LastProgressAt <= Timer.WaitingSince)
      suspect(*Target, "request_unanswered", Now);
  }
}

void Forwarder::processHealthChecks(TimePoint Now) {
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

void Forwarder::removeExpired(TimePoint Now) {
  NextExpiryAt = Now + ExpiryInterval;
  std::vector<FlowKey> Expired;
  for (const auto &[Key, Tracked] : Flows) {
    const auto Idle = Now - Tracked.LastPacketAt;
    if (Idle > Routes.idleTimeout() ||
        (Tracked.Finished && Idle > ClosedFlowLifetime))
      Expired.push_back(Key);
  }
  for (const FlowKey &Key : Expired)
    eraseFlow(Key);
  boost::unordered::erase_if(PendingConnections, [&](const auto &Connection) {
    return Now - Connection.second.StartedAt > PendingConnectionLifetime;
  });
  Servers.eraseRemovedBefore(Now - Options.FlowLifetime);
}

} // namespace buckthorndeck::forwarding
