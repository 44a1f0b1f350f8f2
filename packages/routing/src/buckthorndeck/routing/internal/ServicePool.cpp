#include "buckthorndeck/routing/internal/ServicePool.h"

#include "buckthorndeck/base/Log.h"

#include <algorithm>

namespace buckthorndeck::routing {

namespace {
bool acceptsWork(const Channel &Server) {
  const ServerLoad &Load = Server.load();
  return Load.Connected && !Load.Draining && !Load.Evacuated;
}
} // namespace

ServicePool::ServicePool(Executor Where, std::uint64_t Seed,
                         std::shared_ptr<DispatcherCounters> Counters)
    : Where(std::move(Where)), Random(Seed), Counters(std::move(Counters)) {}

void ServicePool::apply(const config::Rule &Rule,
                        const std::vector<ServiceServer> &Servers) {
  ServiceRule = Rule;
  // Computed before the channels are taken: a domain whose evacuation ends
  // brings back many servers at once, and each has to start at the usage of the
  // servers in use.
  const double Usage = usagePerSlot(Clock::now());
  std::vector<std::shared_ptr<Channel>> Next;
  for (const ServiceServer &Server : Servers) {
    std::shared_ptr<Channel> Reused = takeChannel(Server, Usage);
    Next.push_back(Reused ? Reused : openChannel(Server));
  }
  retire();
  Channels = std::move(Next);
  setEvacuated(areAllEvacuated(Servers));
  Queue.wakeAll();
}

void ServicePool::setEvacuated(bool Value) {
  if (Evacuated == Value)
    return;
  Evacuated = Value;
  log(Evacuated ? LogLevel::Warn : LogLevel::Info,
      Evacuated ? "service_evacuated" : "service_evacuation_ended",
      {{"service", ServiceRule.Service.value()}});
}

std::shared_ptr<Channel> ServicePool::takeChannel(const ServiceServer &Server,
                                                  double UsagePerSlot) {
  const auto Found =
      std::find_if(Channels.begin(), Channels.end(), [&](const auto &Existing) {
        return Existing->matches(Server.Declared);
      });
  if (Found == Channels.end())
    return nullptr;
  std::shared_ptr<Channel> Reused = std::move(*Found);
  Channels.erase(Found);
  Reused->update(Server, UsagePerSlot);
  return Reused;
}

std::shared_ptr<Channel> ServicePool::openChannel(const ServiceServer &Server) {
  auto Opened = std::make_shared<Channel>(Where, Server, Random(),
                                          weak_from_this(), Counters);
  spawn(Where, "backend_channel", Channel::serve(Opened));
  return Opened;
}

void ServicePool::retire() {
  std::erase_if(Retiring, [](const auto &Old) { return Old.expired(); });
  for (const auto &Old : std::exchange(Channels, {})) {
    Retiring.push_back(Old);
    Old->retire();
  }
}

void ServicePool::stop() {
  Stopped = true;
  for (const auto &Open : Channels)
    Open->close();
  for (const auto &Old : Retiring)
    if (auto Open = Old.lock())
      Open->close();
  Queue.wakeAll();
}

//! Only connected servers that take work count when the share of unhealthy
//! servers is computed.
std::vector<bool> ServicePool::ejected(TimePoint Now) const {
  std::vector<const ServerHealth *> Healths;
  std::vector<std::size_t> Indices;
  for (std::size_t Index = 0; Index < Channels.size(); ++Index) {
    if (!acceptsWork(*Channels[Index]))
      continue;
    Healths.push_back(&Channels[Index]->health());
    Indices.push_back(Index);
  }
  const std::vector<bool> EjectedInService = ejectedServers(Healths, Now);
  std::vector<bool> Result(Channels.size(), false);
  for (std::size_t Position = 0; Position < Indices.size(); ++Position)
    Result[Indices[Position]] = EjectedInService[Position];
  return Result;
}

std::vector<Candidate> ServicePool::candidates(TimePoint Now) const {
  const std::vector<bool> Ejected = ejected(Now);
  std::vector<Candidate> Result;
  for (std::size_t Index = 0; Index < Channels.size(); ++Index)
    Result.push_back(
        Candidate{.Load = &Channels[Index]->load(), .Ejected = Ejected[Index]});
  return Result;
}

std::optional<std::size_t>
ServicePool::indexOf(const std::optional<Affinity> &Target) const {
  if (!Target)
    return std::nullopt;
  for (std::size_t Index = 0; Index < Channels.size(); ++Index) {
    const config::BackendServer &Server = Channels[Index]->declared();
    if (Server.Name == Target->Server &&
        Server.ServerGeneration == Target->ServerGeneration)
      return Index;
  }
  return std::nullopt;
}

std::shared_ptr<Channel>
ServicePool::choose(const std::optional<Affinity> &Preferred, TimePoint Now) {
  return choose(Preferred, Now, Random);
}

std::shared_ptr<Channel>
ServicePool::choose(const std::optional<Affinity> &Preferred, TimePoint Now,
                    RandomEngine &Engine) const {
  if (Stopped || InFlight >= ServiceRule.MaxInFlight)
    return nullptr;
  const auto Chosen = chooseServer(candidates(Now), ServiceRule.Goal,
                                   indexOf(Preferred), Now, Engine);
  return Chosen ? Channels[*Chosen] : nullptr;
}

const char *ServicePool::refusalReason() const {
  if (Stopped)
    return "stopping";
  if (Channels.empty())
    return "no_server";
  return Evacuated ? EvacuatedReason : nullptr;
}

Arrival ServicePool::decideArrival(const std::optional<Affinity> &Preferred,
                                   TimePoint Now, RandomEngine &Engine) const {
  if (const char *Reason = refusalReason())
    return {.Reason = Reason};
  if (Queue.empty())
    if (auto Server = choose(Preferred, Now, Engine))
      return {.Action = ArrivalAction::Sent, .Server = std::move(Server)};
  if (Queue.size() >= ServiceRule.MaxQueued)
    return {.Reason = "queue_full"};
  return {.Action = ArrivalAction::Waits,
          .Reason = !Queue.empty() ? "requests_waiting"
                    : InFlight >= ServiceRule.MaxInFlight
                        ? "max_in_flight"
                        : "no_eligible_server"};
}

Explanation ServicePool::explain(TimePoint Now) const {
  // A copy, so that the request that comes next gets the explained choice and
  // explaining does not change it.
  RandomEngine Copy = Random;
  const Arrival Decided = decideArrival(std::nullopt, Now, Copy);
  Explanation Result{.Action = Decided.Action,
                     .Reason = Decided.Reason,
                     .Goal = ServiceRule.Goal,
                     .InFlight = InFlight,
                     .MaxInFlight = ServiceRule.MaxInFlight,
                     .Queued = Queue.size(),
                     .MaxQueued = ServiceRule.MaxQueued};
  if (Decided.Server)
    Result.Server = Decided.Server->declared().Name;
  const std::vector<Candidate> All = candidates(Now);
  for (std::size_t Index = 0; Index < All.size(); ++Index) {
    const ServerLoad &Load = *All[Index].Load;
    Result.Candidates.push_back(
        {.Server = Channels[Index]->declared().Name,
         .FailureDomain = Channels[Index]->failureDomain(),
         .Reason = ineligibility(All[Index], Now),
         .Ejected = All[Index].Ejected,
         .InFlight = Load.InFlight,
         .Slots = Load.Slots,
         .OtherHostsLoad = otherHostsLoad(Load, Now),
         .ServiceTimeMs = expectedServiceTime(Load),
         .SlowStartShare = slowStartShare(Load, Now),
         .Score = score(Load, Now)});
  }
  return Result;
}

std::shared_ptr<Channel> ServicePool::chooseForSubscription(
    const std::optional<Affinity> &Preferred,
    const std::optional<Affinity> &Avoided) const {
  const auto PreferredIndex = indexOf(Preferred);
  const auto AvoidedIndex = indexOf(Avoided);
  if (PreferredIndex && PreferredIndex != AvoidedIndex &&
      acceptsWork(*Channels[*PreferredIndex]))
    return Channels[*PreferredIndex];
  std::shared_ptr<Channel> Best;
  for (const auto &Server : Channels)
    if (acceptsWork(*Server) &&
        !(AvoidedIndex && Channels[*AvoidedIndex] == Server) &&
        (!Best || Server->subscriptions() < Best->subscriptions()))
      Best = Server;
  if (!Best && AvoidedIndex && acceptsWork(*Channels[*AvoidedIndex]))
    return Channels[*AvoidedIndex];
  return Best;
}

std::shared_ptr<Channel> ServicePool::chooseForToken(TimePoint Now) {
  const auto Chosen = chooseServer(candidates(Now), ServiceRule.Goal,
                                   std::nullopt, Now, Random);
  return Chosen ? Channels[*Chosen]
                : chooseForSubscription(std::nullopt, std::nullopt);
}

TimePoint ServicePool::nextAttemptTime(TimePoint Now) const {
  return routing::nextAttemptTime(candidates(Now), Now);
}

QueueState ServicePool::queueState(WaitQueue::Handle Waiting, TimePoint Now) {
  return QueueState{.Ahead = Queue.jobsAhead(Waiting),
                    .InFlight = InFlight,
                    .ServiceTimeMs = meanServiceTime(candidates(Now))};
}

double ServicePool::usagePerSlot(TimePoint Now) const {
  return meanUsagePerSlot(candidates(Now), Now);
}

void ServicePool::appendStatus(std::vector<ServerStatus> &Result) const {
  const std::vector<bool> Ejected = ejected(Clock::now());
  for (std::size_t Index = 0; Index < Channels.size(); ++Index)
    Result.push_back(Channels[Index]->status(Ejected[Index]));
}

} // namespace buckthorndeck::routing
