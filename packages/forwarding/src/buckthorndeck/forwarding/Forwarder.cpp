#include "buckthorndeck/forwarding/Forwarder.h"

#include "buckthorndeck/forwarding/SlowStart.h"
#include "buckthorndeck/forwarding/internal/Ages.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

namespace {

//! Servers that a SYN is sent to by hedging, including the first one.
constexpr std::size_t MaxSynAttempts = 3;
//! Late packets of a flow that both ends have closed arrive within this time.
constexpr Milliseconds ClosedFlowLifetime{2000};
constexpr Milliseconds ExpiryInterval{1000};
//! An older packet that arrives sooner after the request was reordered on the
//! way, not retransmitted: callers retransmit after 200 ms.
constexpr Milliseconds MinRetransmissionDelay{100};
//! Weight of a new sample in the moving average of response times.
constexpr double ResponseSampleWeight = 0.1;

std::string tokenText(ServerToken Token) {
  return std::to_string(Token.value());
}

//! For how long a removed server may still get new flows, as far as the time of
//! its removal limits that; -1 if it does not.
std::int64_t fallbackMs(const Server &Removed, TimePoint Now) {
  if (Removed.FallbackUntil == TimePoint::max())
    return -1;
  return std::max<std::int64_t>(0, ageMs(Now, Removed.FallbackUntil));
}

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

Forwarder::Forwarder(const ForwarderOptions &Options)
    : Options(Options), Servers(RegionTable(Options.Regions)),
      Monitor(Servers, Routes, Options.Domain, Counters,
              [this](const Server &Target, PacketRefusal Reason,
                     TimePoint Now) { resetFlowsOf(Target, Reason, Now); }),
      Warmups(Servers, Options.Domain, Options.Warmup),
      Outliers(Servers, Counters, Options.OutlierDetection),
      Overload(Options.Domain, Options.RandomSeed), Random(Options.RandomSeed) {
}

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
    // refreshWarmups() logs a summary of these.
    log(Reason == PacketRefusal::WarmupLimit ? LogLevel::Debug : LogLevel::Info,
        "packet_refused",
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

//! Refuses a SYN that placement found no server for.
PacketDecision Forwarder::refusePlacement(PacketAction Action,
                                          Ineligibility Excluded,
                                          const FlowKey &Flow,
                                          const Route &Matched, TimePoint Now) {
  if (Excluded == Ineligibility::WarmupLimit)
    Warmups.recordRefusal(serviceOf(Matched, Flow));
  return refuse(Action, refusalFor(Excluded), Flow, nullptr, Now);
}

//! Charges a SYN that is sent to Target, if Target is cold.
void Forwarder::recordSyn(Server &Target, TimePoint Now) {
  if (Warmups.recordSyn(Target, Now))
    ++Counters.SynsToColdServers;
}

void Forwarder::refreshWarmups(TimePoint Now) {
  if (Now < Warmups.nextRefreshTime())
    return;
  Warmups.refresh(Now);
  for (const WarmupLimits::Summary &Each : Warmups.takeSummaries(Now))
    log(LogLevel::Info, "warmup_limited",
        {{"service", Each.Service.value()},
         {"refused", Each.Refused},
         {"diverted", Each.Diverted},
         {"sent_to_cold", Each.Sent},
         {"cold_servers", Warmups.coldServers()}});
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
    if (const auto Tracked = Flows.find(Header.Flow); Tracked != Flows.end())
      Outliers.recordSilence(Header.Flow, Tracked->second, true, Now);
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
    Monitor.recheckIfDoubtful(*Target, Now);
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

Placement Forwarder::place(const FlowKey &Flow, const Route &Matched,
                           std::span<const ServerToken> Tried, TimePoint Now,
                           const LoadDecision &Load) {
  const ServiceName &Service = serviceOf(Matched, Flow);
  const Placement Placed = placeFlow(
      Servers.serversOf(Service),
      {.Domain = Options.Domain,
       .DomainCount = Options.DomainCount,
       .Tried = Tried,
       .Now = Now,
       .SpillTo = Load.SpillTo,
       .Spare = Load.Spare,
       .AdaptiveSlowStart =
           Options.AdaptiveSlowStart && Matched.TargetLatency > Milliseconds(0),
       .AllowedRegions = Servers.regions().allowed(Matched.AllowedRegions)},
      Random);
  if (Placed.Chosen && Placed.Excluded == Ineligibility::WarmupLimit) {
    ++Counters.FlowsDivertedFromCold;
    Warmups.recordDiversion(Service);
  }
  return Placed;
}

//! The server of the flow that Syn has opened; null if the flow is not open at
//! this host.
Server *Forwarder::serverOfOpenFlow(const PacketHeader &Syn) {
  const auto Tracked = Flows.find(Syn.Flow);
  if (Tracked == Flows.end() || Tracked->second.Pending ||
      Tracked->second.Finished || !isSynOf(Tracked->second, Syn.Sequence))
    return nullptr;
  Server *Target = Servers.find(Tracked->second.Token);
  return Target ? &Servers.currentProcess(*Target) : nullptr;
}

//! The pending connection of Syn's flow, if Syn is a copy of a SYN that was
//! last sent to Service. Null if there is none, or if the route had another
//! service at that time: the flow is then placed like a new one.
PendingConnection *Forwarder::connectionTo(const ServiceName &Service,
                                           const PacketHeader &Syn) {
  PendingConnection *Known = Pending.find(Syn.Flow);
  if (!Known || Known->Sequence != Syn.Sequence)
    return nullptr;
  const Server *Last = Servers.find(Known->Tried.back());
  return Last && Last->Record.Service == Service ? Known : nullptr;
}

PacketDecision Forwarder::handleSyn(ByteView Packet, const PacketHeader &Header,
                                    TimePoint Now, bool MayBeLate) {
  refreshWarmups(Now);
  // The network may deliver a SYN twice or late.
  if (Server *Target = serverOfOpenFlow(Header)) {
    ++Counters.SynRetransmissions;
    // The server has the flow and needs no copy.
    if (ineligibility(*Target, Now) == Ineligibility::WarmupLimit)
      return refuse(PacketAction::Drop, PacketRefusal::WarmupLimit, Header.Flow,
                    nullptr, Now);
    recordSyn(*Target, Now);
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
  const ServiceName &Service = serviceOf(*Matched, Header.Flow);
  if (PendingConnection *Known = connectionTo(Service, Header))
    return handleRetransmittedSyn(*Known, Header, *Matched, Now);

  const RegionMask Allowed = Servers.regions().allowed(Matched->AllowedRegions);
  if (Allowed == 0)
    return refuse(Refusal, PacketRefusal::Region, Header.Flow, nullptr, Now);
  LoadDecision Load;
  if (Options.OverloadControl)
    Load = Overload.decide(*Matched, Service, Servers.serversOf(Service), Now,
                           Allowed);
  if (Load.Refuse)
    return refuse(Refusal, PacketRefusal::Overload, Header.Flow, nullptr, Now);
  const Placement Placed = place(Header.Flow, *Matched, {}, Now, Load);
  if (!Placed.Chosen)
    return refusePlacement(Refusal, Placed.Excluded, Header.Flow, *Matched,
                           Now);
  Server &Target = *Placed.Chosen;
  recordSyn(Target, Now);
  Overload.recordPlacement(Load, Target);
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
  Pending.start(Header.Flow, {.Packet = Bytes(Packet.begin(), Packet.end()),
                              .Sequence = Header.Sequence,
                              .Tried = {Target.Token},
                              .StartedAt = Now});
  // The caller of a late SYN may have stopped waiting for an answer.
  if (!MayBeLate)
    Pending.scheduleHedge(Header.Flow, Now);
  Flow &Tracked = Flows[Header.Flow];
  assign(Tracked, Target.Token);
  Tracked = Flow{.Token = Target.Token,
                 .SynSequence = Header.Sequence,
                 .FirstPacketAt = Now,
                 .LastPacketAt = Now,
                 .SynSeen = true,
                 .Pending = true};
  return {.Action = PacketAction::Forward, .Target = &Target};
}

PacketDecision Forwarder::handleRetransmittedSyn(PendingConnection &Known,
                                                 const PacketHeader &Header,
                                                 const Route &Matched,
                                                 TimePoint Now) {
  ++Counters.SynRetransmissions;
  Server *Target = Servers.find(Known.Tried.back());
  const RegionMask Allowed = Servers.regions().allowed(Matched.AllowedRegions);
  if (!Target || !mayGetFlows(*Target, Now, Allowed)) {
    Placement Placed = place(Header.Flow, Matched, Known.Tried, Now);
    // The servers that were tried are better than none, if they are fallbacks.
    if (!Placed.Chosen)
      Placed = place(Header.Flow, Matched, {}, Now);
    if (!Placed.Chosen)
      return refusePlacement(PacketAction::Drop, Placed.Excluded, Header.Flow,
                             Matched, Now);
    Target = Placed.Chosen;
    std::erase(Known.Tried, Target->Token);
    Known.Tried.push_back(Target->Token);
  }
  recordSyn(*Target, Now);
  log(LogLevel::Info, "syn_retransmitted",
      {{"flow", toString(Header.Flow)},
       {"server", Target->Record.Name},
       {"service", Target->Record.Service.value()},
       {"config_version", Routes.version().value()},
       {"copy", Header.Acknowledged},
       {"servers_tried", Known.Tried.size()},
       {"age_ms", ageMs(Known.StartedAt, Now)}});
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
    if (const PendingConnection *Known = Pending.find(Header.Flow)) {
      Histograms->Handshake.Observe(seconds(Now - Known->StartedAt));
      Pending.erase(Header.Flow);
    }
  }
  if (Update.Progress)
    recordProgress(Target, Header.Flow, Update, Now);
  if (Update.AnswerEnded || Update.ResponseTime != Clock::duration{0} ||
      Tracked.HeldResponseMs > 0)
    recordAnswer(Target, Tracked, Header.Flow, Update, Now);
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
        Now - Tracked.WaitingSince >= MinRetransmissionDelay)
      Monitor.recordRetransmission(Target, Now);
  }
}

void Forwarder::recordProgress(Server &Target, const FlowKey &Key,
                               const FlowUpdate &Update, TimePoint Now) {
  Monitor.recordAnswer(Target, Key, Now);
  if (Update.ResponseTime == Clock::duration{0})
    return;
  Histograms->Response.Observe(seconds(Update.ResponseTime));
}

void Forwarder::recordResponse(Server &Target, double SampleMs, TimePoint Now) {
  const std::chrono::duration<double, std::milli> Time(SampleMs);
  Overload.recordResponse(
      Target, std::chrono::duration_cast<Clock::duration>(Time), Now);
  Target.ResponseMs =
      Target.ResponseMs == 0
          ? SampleMs
          : Target.ResponseMs +
                ResponseSampleWeight * (SampleMs - Target.ResponseMs);
  if (!Options.AdaptiveSlowStart || !Target.Pace.Active)
    return;
  // Without a known time of the peers, no route has a target latency.
  if (const double PeerMs = Overload.peerMs(Target, Now); PeerMs > 0)
    recordPace(Target, SampleMs, PeerMs, Now);
}

//! Target has answered with what looks like a rejection.
void Forwarder::recordRejection(Server &Target, TimePoint Now) {
  Overload.recordResponse(Target, Clock::duration{0}, Now, /*Rejected=*/true);
  if (!Options.AdaptiveSlowStart || !Target.Pace.Active)
    return;
  if (const double PeerMs = Overload.peerMs(Target, Now); PeerMs > 0)
    recordPace(Target, 0, PeerMs, Now, /*Rejected=*/true);
}

//! Records the response time as soon as the answer is none of a rejection, and
//! the answer when it has ended.
void Forwarder::recordAnswer(Server &Target, Flow &Tracked, const FlowKey &Key,
                             const FlowUpdate &Update, TimePoint Now) {
  AnswerBaseline *Baseline =
      Outliers.baselineOf(Key.Service, Target.Record.Service);
  const double Sample = Update.ResponseTime == Clock::duration{0}
                            ? Tracked.HeldResponseMs
                            : 1000 * seconds(Update.ResponseTime);
  const bool Hold = Baseline && looksRejected(Update.AnswerBytes, *Baseline);
  if (Sample > 0 && !Hold)
    recordResponse(Target, Sample, Now);
  Tracked.HeldResponseMs =
      Hold && !Update.AnswerEnded ? static_cast<float>(Sample) : 0;
  if (Hold && Update.AnswerEnded)
    recordRejection(Target, Now);
  if (Baseline && Update.AnswerEnded)
    Outliers.recordAnswer(Target, *Baseline, Update.AnswerBytes, Now);
}

void Forwarder::resetFlowsOf(const Server &Target, PacketRefusal Reason,
                             TimePoint Now) {
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
  if (Applied) {
    Warmups.applyRules(Routes.serviceRules());
    Outliers.applyRoutes(Routes);
    if (Options.OverloadControl || Options.AdaptiveSlowStart)
      Overload.setRoutes(Routes);
    logUnknownRegions();
  }
  log(LogLevel::Info, Applied ? "config_applied" : "config_ignored",
      {{"version", Offered.value()},
       {"before", Before.value()},
       {"routes", Routes.size()}});
}

//! Names the regions of routes that no failure domain of the settings has.
void Forwarder::logUnknownRegions() const {
  Routes.forEach([&](const Route &Each) {
    for (const RegionName &Region : Each.AllowedRegions)
      if (!Servers.regions().contains(Region))
        log(LogLevel::Warn, "region_unknown",
            {{"route", toString(Each.Address)},
             {"field", "AllowedRegions"},
             {"region", Region.value()}});
  });
}

void Forwarder::recordHealthCheck(ServerToken Token, HealthCheckOutcome Outcome,
                                  TimePoint Started, TimePoint Now) {
  const Server *Target = Servers.find(Token);
  const bool Failed = Target && (Target->State == Reachability::Unhealthy ||
                                 Target->State == Reachability::Unresponsive);
  Monitor.recordHealthCheck(Token, Outcome, Started, Now);
  Server *Found = Servers.find(Token);
  if (!Found)
    return;
  Warmups.recordState(*Found, Now);
  if (Failed && Found->State == Reachability::Reachable)
    beginAfterRecovery(*Found, Now);
}

void Forwarder::updateServer(ServerRecord Record, StorePosition Position,
                             TimePoint Now, LogLevel Level,
                             EntryOrigin Origin) {
  const ServerToken Token = tokenOf(Record);
  const std::string Name = Record.Name;
  Server *Former = Warmups.active() ? Servers.findLatest(Name) : nullptr;
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
  beginIfCold(Target, Now);
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
  Monitor.recordEntry(Target, Now);
  Warmups.recordEntry(Target, Now);
  if (Former && Former != &Target)
    Warmups.recordRemoval(*Former, Now);
}

void Forwarder::removeServer(const std::string &Name, StorePosition Position,
                             TimePoint Now, TimePoint FallbackUntil) {
  if (Server *Target = Servers.remove(Name, Position, Now, FallbackUntil))
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
                              StorePosition Position, TimePoint Now,
                              TimePoint FallbackUntil) {
  for (Server *Target :
       Servers.retain(std::move(Present), Position, Now, FallbackUntil))
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
       {"fallback_ms", fallbackMs(Target, Now)},
       {"progress_age_ms", ageMs(Target.LastProgressAt, Now)},
       {"server_era", Target.Position.Era.value()},
       {"server_revision", Target.Position.Revision.value()}});
  if (Target.Flows > 0)
    Monitor.recordRemoval(Target, Now);
  Warmups.recordRemoval(Target, Now);
}

bool Forwarder::ready(TimePoint Now) const {
  return Routes.version() != ConfigVersion() && Servers.size() > 0 &&
         !Monitor.isolated(Now);
}

bool Forwarder::takeRefreshRequest() {
  return std::exchange(RefreshRequested, false);
}

void Forwarder::recordPause(TimePoint Now) {
  Pending.cancelHedges();
  // Answers that were acknowledged in the meantime were not seen.
  for (auto &[Key, Tracked] : Flows)
    Tracked.RequestOpen = false;
  const std::size_t Discarded = Monitor.recordPause(Now);
  log(LogLevel::Warn, "host_paused",
      {{"servers_to_check_again", Discarded}, {"flows", Flows.size()}});
}

DueActions Forwarder::takeDueActions(TimePoint Now) {
  refreshWarmups(Now);
  while (const std::optional<FlowKey> Unanswered = Pending.takeDueHedge(Now))
    hedgeSyn(*Unanswered, Now);
  processResponseTimers(Now);
  Monitor.processHealthChecks(Now);
  if (Now >= NextExpiryAt)
    removeExpired(Now);
  Outliers.review(Now);
  Actions.HealthChecks = Monitor.takeHealthChecks();
  return std::exchange(Actions, DueActions{});
}

TimePoint Forwarder::nextActionTime() const {
  TimePoint Next = std::min(
      {NextExpiryAt, Monitor.nextCheckTime(), Warmups.nextRefreshTime(),
       Outliers.nextReviewTime(), Pending.nextHedgeTime()});
  if (!ResponseTimers.empty())
    Next = std::min(Next, ResponseTimers.top().DueAt);
  return Next;
}

void Forwarder::hedgeSyn(const FlowKey &Key, TimePoint Now) {
  PendingConnection *Known = Pending.find(Key);
  if (!Known)
    return;
  Server *Previous = Servers.find(Known->Tried.back());
  if (Previous && Previous->LastProgressAt <= Known->StartedAt)
    Monitor.recordUnansweredSyn(*Previous, Now);
  const Route *Matched = Routes.find(Key.Service);
  if (!Matched || Known->Tried.size() >= MaxSynAttempts ||
      !routing::takeRetry(HedgeBudget, Now))
    return;
  const Placement Placed = place(Key, *Matched, Known->Tried, Now);
  if (!Placed.Chosen)
    return;
  log(LogLevel::Info, "syn_hedged",
      {{"flow", toString(Key)},
       {"unanswered", Previous ? Previous->Record.Name : ""},
       {"server", Placed.Chosen->Record.Name},
       {"reason", toString(Placed.Reason)},
       {"age_ms", ageMs(Known->StartedAt, Now)}});
  recordSyn(*Placed.Chosen, Now);
  Known->Tried.push_back(Placed.Chosen->Token);
  Actions.Packets.push_back(
      {.Packet = Known->Packet, .Target = Placed.Chosen->Token});
  Pending.scheduleHedge(Key, Now);
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
      Monitor.recordUnansweredRequest(*Target, Now);
  }
}

void Forwarder::removeExpired(TimePoint Now) {
  NextExpiryAt = Now + ExpiryInterval;
  std::vector<FlowKey> Expired;
  const bool Isolated = Monitor.isolated(Now);
  for (auto &[Key, Tracked] : Flows) {
    if (!Isolated)
      Outliers.recordSilence(Key, Tracked, false, Now);
    const auto Idle = Now - Tracked.LastPacketAt;
    if (Idle > Routes.idleTimeout() ||
        (Tracked.Finished && Idle > ClosedFlowLifetime))
      Expired.push_back(Key);
  }
  for (const FlowKey &Key : Expired)
    eraseFlow(Key);
  Pending.eraseExpired(Now);
  Servers.eraseRemovedBefore(Now - Options.FlowLifetime);
  Servers.changeEvacuations(
      [&](Evacuations &Known) { Known.eraseRevoked(Now); });
}

} // namespace buckthorndeck::forwarding
