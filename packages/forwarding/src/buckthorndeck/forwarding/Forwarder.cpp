#include "buckthorndeck/forwarding/Forwarder.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

namespace {

//! A server answers an open within a round trip of a few ms; callers repeat it
//! only after 200 ms, and the shortest latency target is 120 ms.
constexpr Milliseconds HandshakeTimeout{40};
//! Servers that one open is sent to without the caller's doing.
constexpr std::size_t MaxOpenAttempts = 3;
//! An open that is handled later than this was delayed by this host itself.
constexpr Milliseconds StaleOpen{150};
//! Most requests take less than half of this; longer ones cost a health check.
constexpr Milliseconds ResponseDoubtTime{100};
//! Pause between health checks of a server that answers them.
constexpr Milliseconds CheckPause{500};
//! Pause after a health check that said nothing.
constexpr Milliseconds InconclusiveCheckPause{200};
//! Pause between health checks of a server that fails them.
constexpr Milliseconds FailedCheckPause{1000};
//! Without any sign of any server for this time the fault is on this side.
constexpr Milliseconds IsolationTime{1000};
//! Copies of an open arrive up to 600 ms after it.
constexpr Milliseconds OpeningLifetime{1500};
//! Late packets of a flow that both ends have closed arrive within this time.
constexpr Milliseconds FinishedLifetime{2000};
constexpr Milliseconds SweepInterval{1000};
// Points for what went unanswered. An open needs no free slot, so that a server
// that serves answers it at once; a request may be queued for longer than the
// time after which its caller repeats it.
constexpr unsigned UnansweredOpenPoints = 2;
constexpr unsigned RetransmissionPoints = 1;
constexpr unsigned RemovalPoints = 1;
//! Points at which an unhealthy server is silent. A refusal may come from a
//! server whose health check lies; nothing at all does not.
constexpr unsigned TimedOutPoints = 1;
constexpr unsigned RefusedPoints = 3;
//! Weight of a new sample in the moving average of response times.
constexpr double ResponseSampleWeight = 0.1;

//! Points at which a server that fails its health check like this is silent.
unsigned neededPoints(HealthCheckOutcome Outcome) {
  if (Outcome == HealthCheckOutcome::Replaced)
    return 0;
  return Outcome == HealthCheckOutcome::TimedOut ? TimedOutPoints
                                                 : RefusedPoints;
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
                                 const FlowKey &Flow, const Server *Target) {
  ++Counters.PacketsRefused[static_cast<std::size_t>(Reason)];
  log(LogLevel::Info, "packet_refused",
      {{"flow", toString(Flow)},
       {"reason", toString(Reason)},
       {"reset", Action == PacketAction::Reset},
       {"server", Target ? Target->Record.Name : ""},
       {"config_version", Routes.version().value()}});
  return {.Action = Action, .Reason = Reason};
}

PacketDecision Forwarder::handle(ByteView Packet, const PacketHeader &Header,
                                 TimePoint Now) {
  if (Routes.version() == ConfigVersion())
    return refuse(PacketAction::Drop, PacketRefusal::NotReady, Header.Flow,
                  nullptr);
  if (Header.Syn)
    return handleOpen(Packet, Header, Now);
  if (Routes.isRemoved(Header.Flow.Service))
    return refuse(PacketAction::Reset, PacketRefusal::RouteRemoved, Header.Flow,
                  nullptr);
  Server *Target = Servers.find(Header.Token);
  if (!Target) {
    // The server may be newer than what this host knows.
    RefreshWish = RefreshWish || Header.Token != ServerToken();
    return refuse(PacketAction::Drop, PacketRefusal::UnknownToken, Header.Flow,
                  nullptr);
  }
  if (Header.Reset) {
    eraseFlow(Header.Flow);
  } else {
    recordFlow(Header, *Target, Now);
    const PacketRefusal Reason = deadReason(*Target);
    if (Reason != PacketRefusal::None) {
      eraseFlow(Header.Flow);
      return refuse(PacketAction::Reset, Reason, Header.Flow, Target);
    }
  }
  ++Counters.Forwarded;
  return {.Action = PacketAction::Forward, .Target = Target};
}

PacketRefusal Forwarder::deadReason(const Server &Target) const {
  if (Target.LastCheck == HealthCheckOutcome::Replaced ||
      (!Target.Registered && Servers.isReplaced(Target)))
    return PacketRefusal::ServerReplaced;
  if (Target.State == Reachability::Unresponsive)
    return PacketRefusal::ServerUnresponsive;
  return PacketRefusal::None;
}

bool Forwarder::isolated(TimePoint Now) const {
  return UnreachedAt > AnsweredAt && Now - AnsweredAt > IsolationTime;
}

Placement Forwarder::place(const FlowKey &Flow, const Route &Entry,
                           std::span<const ServerToken> Tried, TimePoint Now) {
  const ServiceName &Service = serviceOf(Entry, Flow);
  return placeFlow(Servers.serversOf(Service),
                   {.Domain = Options.Domain,
                    .DomainCount = Options.DomainCount,
                    .Tried = Tried,
                    .Now = Now},
                   Random);
}

PacketDecision Forwarder::handleOpen(ByteView Packet,
                                     const PacketHeader &Header,
                                     TimePoint Now) {
  const Route *Entry = Routes.find(Header.Flow.Service);
  if (!Entry)
    return refuse(PacketAction::Reset, PacketRefusal::NoRoute, Header.Flow,
                  nullptr);
  const auto Known = Openings.find(Header.Flow);
  if (Known != Openings.end())
    return repeatOpen(Known->second, Header, *Entry, Now);

  const Placement Choice = place(Header.Flow, *Entry, {}, Now);
  if (!Choice.Chosen)
    return refuse(PacketAction::Reset, PacketRefusal::NoServer, Header.Flow,
                  nullptr);
  Server &Target = *Choice.Chosen;
  log(LogLevel::Info, "flow_placed",
      {{"flow", toString(Header.Flow)},
       {"server", Target.Record.Name},
       {"token", tokenText(Target.Token)},
       {"reason", toString(Choice.Reason)},
       {"copy", Header.Acknowledged},
       {"server_flows", Target.Flows},
       {"response_ms", static_cast<std::int64_t>(Target.ResponseMs)},
       {"server_revision", Target.Revision.value()},
       {"config_version", Routes.version().value()}});
  ++Counters.FlowsOpened;
  ++Counters.Forwarded;
  routing::recordRequest(HedgeBudget);
  Openings[Header.Flow] = Opening{.Packet = Bytes(Packet.begin(), Packet.end()),
                                  .Tried = {Target.Token},
                                  .StartedAt = Now};
  DueOpenings.push_back({.DueAt = Now + HandshakeTimeout, .Flow = Header.Flow});
  Flow &Added = Flows[Header.Flow];
  assign(Added, Target.Token);
  Added = Flow{.Token = Target.Token, .SeenAt = Now, .Opening = true};
  return {.Action = PacketAction::Forward, .Target = &Target};
}

PacketDecision Forwarder::repeatOpen(Opening &Known, const PacketHeader &Header,
                                     const Route &Entry, TimePoint Now) {
  ++Counters.SynRetransmissions;
  Server *Target = Servers.find(Known.Tried.back());
  const bool Usable = Target && Target->Registered &&
                      !Target->Record.Draining &&
                      Target->State == Reachability::Reachable;
  if (!Usable) {
    const Placement Choice = place(Header.Flow, Entry, Known.Tried, Now);
    if (Choice.Chosen) {
      Target = Choice.Chosen;
      Known.Tried.push_back(Target->Token);
    }
  }
  if (!Target)
    return refuse(PacketAction::Reset, PacketRefusal::NoServer, Header.Flow,
                  nullptr);
  log(LogLevel::Info, "syn_retransmitted",
      {{"flow", toString(Header.Flow)},
       {"server", Target->Record.Name},
       {"copy", Header.Acknowledged},
       {"servers_tried", Known.Tried.size()},
       {"age_ms", ageMs(Known.StartedAt, Now)}});
  Flow &Seen = Flows[Header.Flow];
  assign(Seen, Target->Token);
  Seen.Opening = true;
  Seen.SeenAt = Now;
  ++Counters.Forwarded;
  return {.Action = PacketAction::Forward, .Target = Target};
}

//! Moves the flow's count from the server that it was on to Token's.
void Forwarder::assign(Flow &Known, ServerToken Token) {
  if (Known.Token == Token)
    return;
  releaseServer(Known.Token);
  if (Server *After = Servers.find(Token))
    ++After->Flows;
  Known.Token = Token;
}

void Forwarder::eraseFlow(const FlowKey &Key) {
  const auto Known = Flows.find(Key);
  if (Known == Flows.end())
    return;
  releaseServer(Known->second.Token);
  Flows.erase(Known);
}

void Forwarder::releaseServer(ServerToken Token) {
  Server *Target = Servers.find(Token);
  // A server that was forgotten and came back counts from 0.
  if (Target && Target->Flows > 0)
    --Target->Flows;
}

void Forwarder::recordFlow(const PacketHeader &Header, Server &Target,
                           TimePoint Now) {
  auto [Place, Added] = Flows.try_emplace(Header.Flow);
  Flow &Known = Place->second;
  if (Added) {
    Known = adoptFlow(Header, Now);
    ++Target.Flows;
  }
  assign(Known, Target.Token);
  const FlowUpdate Update = recordPacket(Known, Header, Now);
  if (Update.Established) {
    ++Counters.FlowsEstablished;
    const auto Opened = Openings.find(Header.Flow);
    if (Opened != Openings.end()) {
      Times->Handshake.Observe(seconds(Now - Opened->second.StartedAt));
      Openings.erase(Opened);
    }
  }
  if (Update.Progress)
    recordProgress(Target, Header.Flow, Update, Now);
  if (Update.StartedWaiting)
    DueResponses.push_back({.DueAt = Now + ResponseDoubtTime,
                            .Flow = Header.Flow,
                            .WaitingSince = Known.WaitingSince});
  if (Update.Retransmission) {
    ++Counters.Retransmissions;
    // A server that has answered others lately lost a packet at most, and data
    // that is older than what came before it was only overtaken on the way.
    if (Target.ProgressAt <= Known.WaitingSince &&
        Now - Known.WaitingSince >= ResponseDoubtTime) {
      doubt(Target, "retransmission", Now);
      addEvidence(Target, RetransmissionPoints, Now);
    }
  }
}

void Forwarder::recordProgress(Server &Target, const FlowKey &Key,
                               const FlowUpdate &Update, TimePoint Now) {
  Target.ProgressAt = Now;
  AnsweredAt = Now;
  if (Target.State != Reachability::Reachable) {
    log(LogLevel::Info, "server_reachable",
        {{"server", Target.Record.Name},
         {"was", toString(Target.State)},
         {"cause", "progress"},
         {"flow", toString(Key)}});
    Target.State = Reachability::Reachable;
  }
  Target.Evidence = 0;
  if (Update.ResponseTime == Clock::duration{0})
    return;
  Times->Response.Observe(seconds(Update.ResponseTime));
  const double Sample = 1000 * seconds(Update.ResponseTime);
  Target.ResponseMs =
      Target.ResponseMs == 0
          ? Sample
          : Target.ResponseMs +
                ResponseSampleWeight * (Sample - Target.ResponseMs);
}

void Forwarder::doubt(Server &Target, const char *Cause, TimePoint Now) {
  if (Target.State != Reachability::Reachable || Now < Target.NextCheckAt ||
      Target.Checking)
    return;
  log(LogLevel::Info, "server_suspected",
      {{"server", Target.Record.Name},
       {"cause", Cause},
       {"registered", Target.Registered},
       {"progress_age_ms", ageMs(Target.ProgressAt, Now)},
       {"server_revision", Target.Revision.value()}});
  Target.State = Reachability::Suspected;
  startCheck(Target);
}

void Forwarder::startCheck(Server &Target) {
  Target.Checking = true;
  Work.HealthChecks.push_back(Target.Token);
  ++Counters.HealthChecks;
}

Server *Forwarder::referenceServerFor(ServerToken Checked) {
  Server *Control = nullptr;
  Servers.forEach([&](Server &Known) {
    if (Known.Token == Checked || !Known.Registered ||
        Known.State != Reachability::Reachable)
      return;
    const bool Own = Known.Record.Domain == Options.Domain;
    const bool ControlOwn = Control && Control->Record.Domain == Options.Domain;
    if (!Control || Own > ControlOwn ||
        (Own == ControlOwn && Known.ProgressAt > Control->ProgressAt))
      Control = &Known;
  });
  return Control;
}

void Forwarder::recordHealthCheck(ServerToken Token, HealthCheckOutcome Outcome,
                                  TimePoint Started, TimePoint Now) {
  if (Outcome == HealthCheckOutcome::Inconclusive)
    UnreachedAt = Now;
  else
    AnsweredAt = Now;
  Server *Target = Servers.find(Token);
  if (!Target)
    return;
  Target->Checking = false;
  const bool Failed = Outcome == HealthCheckOutcome::Refused ||
                      Outcome == HealthCheckOutcome::TimedOut ||
                      Outcome == HealthCheckOutcome::Replaced;
  if (Failed && Target->ProgressAt < Started) {
    markUnhealthy(*Target, Outcome, Now);
    return;
  }
  const bool Inconclusive = Outcome == HealthCheckOutcome::Inconclusive;
  Target->NextCheckAt =
      Now + (Inconclusive ? InconclusiveCheckPause : CheckPause);
  if (Inconclusive && Target->State != Reachability::Suspected)
    return;
  if (Target->State != Reachability::Suspected || Inconclusive)
    log(LogLevel::Info, "server_reachable",
        {{"server", Target->Record.Name},
         {"was", toString(Target->State)},
         {"cause", "health_check"},
         {"health_check", toString(Outcome)}});
  Target->State = Reachability::Reachable;
  Target->LastCheck = Outcome;
  Target->Evidence = 0;
}

std::optional<std::string> Forwarder::identityPath(ServerToken Token) {
  const Server *Target = Servers.find(Token);
  if (!Target || Target->State == Reachability::Reachable ||
      (Target->State == Reachability::Suspected &&
       Target->Evidence < UnansweredOpenPoints))
    return std::nullopt;
  for (const HealthRule &Rule : Routes.healthRules())
    if (Rule.Service == Target->Record.Service)
      return Rule.Path;
  return std::nullopt;
}

void Forwarder::markUnhealthy(Server &Target, HealthCheckOutcome Outcome,
                              TimePoint Now) {
  Target.NextCheckAt = Now + FailedCheckPause;
  Target.LastCheck = Outcome;
  if (std::find(FailedServers.begin(), FailedServers.end(), Target.Token) ==
      FailedServers.end())
    FailedServers.push_back(Target.Token);
  if (Target.State == Reachability::Unresponsive)
    return;
  if (Target.State != Reachability::Unhealthy)
    log(LogLevel::Info, "server_unhealthy",
        {{"server", Target.Record.Name},
         {"health_check", toString(Outcome)},
         {"failure_score", Target.Evidence},
         {"progress_age_ms", ageMs(Target.ProgressAt, Now)},
         {"server_revision", Target.Revision.value()}});
  Target.State = Reachability::Unhealthy;
  addEvidence(Target, 0, Now);
}

void Forwarder::addEvidence(Server &Target, unsigned Points, TimePoint Now) {
  Target.Evidence += Points;
  if (Target.State == Reachability::Unhealthy &&
      Target.Evidence >= neededPoints(Target.LastCheck))
    silence(Target, Now);
}

void Forwarder::silence(Server &Target, TimePoint Now) {
  Target.State = Reachability::Unresponsive;
  ++Counters.ServersMarkedUnresponsive;
  log(LogLevel::Warn, "server_silent",
      {{"server", Target.Record.Name},
       {"health_check", toString(Target.LastCheck)},
       {"failure_score", Target.Evidence},
       {"progress_age_ms", ageMs(Target.ProgressAt, Now)},
       {"registered", Target.Registered},
       {"server_revision", Target.Revision.value()},
       {"flows", Target.Flows}});
  resetFlowsOf(Target);
}

void Forwarder::resetFlowsOf(const Server &Target) {
  std::vector<FlowKey> Lost;
  for (const auto &[Key, Known] : Flows) {
    if (Known.Token != Target.Token || Known.Opening)
      continue;
    Work.Resets.push_back({.Flow = Key, .Sequence = Known.Acknowledged});
    Lost.push_back(Key);
  }
  for (const FlowKey &Key : Lost) {
    log(LogLevel::Info, "flow_reset",
        {{"flow", toString(Key)},
         {"server", Target.Record.Name},
         {"reason", toString(deadReason(Target))}});
    eraseFlow(Key);
  }
  Counters.FlowsReset += Lost.size();
}

void Forwarder::applyRoutes(RouteSet Next) {
  const ConfigVersion Before = Routes.version();
  const ConfigVersion Offered = Next.Version;
  const bool Applied = Routes.apply(std::move(Next));
  log(LogLevel::Info, Applied ? "config_applied" : "config_ignored",
      {{"version", Offered.value()},
       {"before", Before.value()},
       {"routes", Routes.size()}});
}

void Forwarder::updateServer(ServerRecord Record, StoreRevision Revision,
                             TimePoint Now, LogLevel Level) {
  const ServerToken Token = tokenOf(Record);
  const auto Change = Servers.update(std::move(Record), Revision, Now);
  if (Change == ServerDirectory::Change::None)
    return;
  Server &Known = *Servers.find(Token);
  log(Level, "server_updated",
      {{"server", Known.Record.Name},
       {"token", tokenText(Token)},
       {"added", Change == ServerDirectory::Change::Added},
       {"service", Known.Record.Service.value()},
       {"failure_domain", Known.Record.Domain.value()},
       {"slots", Known.Record.Slots},
       {"draining", Known.Record.Draining},
       {"warmup_ms", Known.Record.WarmupLeft.count()},
       {"server_revision", Revision.value()}});
  // A new entry shows that the process runs.
  if (Known.State != Reachability::Reachable)
    Known.NextCheckAt = Now;
}

void Forwarder::removeServer(const std::string &Name, StoreRevision Revision,
                             TimePoint Now) {
  if (Server *Known = Servers.remove(Name, Revision, Now))
    recordRemoval(*Known, "removed_from_registry", Now);
}

void Forwarder::retainServers(std::vector<std::string> Present,
                              StoreRevision Revision, TimePoint Now) {
  for (Server *Known : Servers.retain(std::move(Present), Revision, Now))
    recordRemoval(*Known, "absent_from_registry", Now);
}

void Forwarder::recordRemoval(Server &Target, const char *Cause,
                              TimePoint Now) {
  log(LogLevel::Info, "server_removed",
      {{"server", Target.Record.Name},
       {"cause", Cause},
       {"draining", Target.Record.Draining},
       {"flows", Target.Flows},
       {"progress_age_ms", ageMs(Target.ProgressAt, Now)},
       {"server_revision", Target.Revision.value()}});
  if (Target.Flows == 0)
    return;
  doubt(Target, "removed", Now);
  addEvidence(Target, RemovalPoints, Now);
}

bool Forwarder::ready(TimePoint Now) const {
  return Routes.version() != ConfigVersion() && Servers.size() > 0 &&
         !isolated(Now);
}

bool Forwarder::takeRefreshRequest() {
  return std::exchange(RefreshWish, false);
}

DueActions Forwarder::takeDueActions(TimePoint Now) {
  hedgeDue(Now);
  doubtUnanswered(Now);
  checkDue(Now);
  if (Now >= NextSweep)
    sweep(Now);
  return std::exchange(Work, DueActions{});
}

TimePoint Forwarder::nextActionTime() const {
  TimePoint Next = NextSweep;
  if (!DueOpenings.empty())
    Next = std::min(Next, DueOpenings.front().DueAt);
  if (!DueResponses.empty())
    Next = std::min(Next, DueResponses.front().DueAt);
  return Next;
}

void Forwarder::hedgeDue(TimePoint Now) {
  while (!DueOpenings.empty() && DueOpenings.front().DueAt <= Now) {
    const DueOpening Due = DueOpenings.front();
    DueOpenings.pop_front();
    if (Now - Due.DueAt < StaleOpen)
      hedgeOpen(Due.Flow, Now);
  }
}

void Forwarder::hedgeOpen(const FlowKey &Key, TimePoint Now) {
  const auto Found = Openings.find(Key);
  if (Found == Openings.end())
    return;
  Opening &Known = Found->second;
  Server *Before = Servers.find(Known.Tried.back());
  if (Before && Before->ProgressAt <= Known.StartedAt) {
    doubt(*Before, "syn_unanswered", Now);
    addEvidence(*Before, UnansweredOpenPoints, Now);
  }
  const Route *Entry = Routes.find(Key.Service);
  if (!Entry || Known.Tried.size() >= MaxOpenAttempts ||
      !routing::takeRetry(HedgeBudget, Now))
    return;
  const Placement Choice = place(Key, *Entry, Known.Tried, Now);
  if (!Choice.Chosen)
    return;
  log(LogLevel::Info, "syn_hedged",
      {{"flow", toString(Key)},
       {"unanswered", Before ? Before->Record.Name : ""},
       {"server", Choice.Chosen->Record.Name},
       {"reason", toString(Choice.Reason)},
       {"age_ms", ageMs(Known.StartedAt, Now)}});
  Known.Tried.push_back(Choice.Chosen->Token);
  Work.Packets.push_back(
      {.Packet = Known.Packet, .Target = Choice.Chosen->Token});
  DueOpenings.push_back({.DueAt = Now + HandshakeTimeout, .Flow = Key});
  ++Counters.SynsHedged;
}

void Forwarder::doubtUnanswered(TimePoint Now) {
  while (!DueResponses.empty() && DueResponses.front().DueAt <= Now) {
    const DueResponse Due = DueResponses.front();
    DueResponses.pop_front();
    const auto Known = Flows.find(Due.Flow);
    if (Known == Flows.end() || Known->second.WaitingSince != Due.WaitingSince)
      continue;
    Server *Target = Servers.find(Known->second.Token);
    if (Target && Target->ProgressAt <= Due.WaitingSince)
      doubt(*Target, "request_unanswered", Now);
  }
}

void Forwarder::checkDue(TimePoint Now) {
  // A host that takes no packets learns only by checks that it can serve again.
  if (isolated(Now))
    if (Server *Any = referenceServerFor(ServerToken()))
      doubt(*Any, "isolated", Now);
  std::erase_if(FailedServers, [&](ServerToken Token) {
    Server *Target = Servers.find(Token);
    if (!Target || Target->State == Reachability::Reachable)
      return true;
    // Without an entry nobody is sent there any more.
    if (!Target->Checking && Now >= Target->NextCheckAt &&
        Target->LastCheck != HealthCheckOutcome::Replaced && Target->Registered)
      startCheck(*Target);
    return false;
  });
}

void Forwarder::sweep(TimePoint Now) {
  NextSweep = Now + SweepInterval;
  std::vector<FlowKey> Old;
  for (const auto &[Key, Known] : Flows) {
    const auto Idle = Now - Known.SeenAt;
    if (Idle > Routes.idleTimeout() ||
        (Known.Finished && Idle > FinishedLifetime))
      Old.push_back(Key);
  }
  for (const FlowKey &Key : Old)
    eraseFlow(Key);
  boost::unordered::erase_if(Openings, [&](const auto &Entry) {
    return Now - Entry.second.StartedAt > OpeningLifetime;
  });
  Servers.forget(Now - Options.FlowLifetime);
}

} // namespace buckthorndeck::forwarding
