#include "buckthorndeck/routing/Dispatcher.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/routing/internal/CancelSignal.h"
#include "buckthorndeck/routing/internal/JobTask.h"
#include "buckthorndeck/routing/internal/ServicePool.h"
#include "buckthorndeck/routing/internal/UpstreamSubscription.h"

#include <gsl/util>
#include <map>

namespace buckthorndeck::routing {

namespace {

constexpr const char *NoServiceReason = "no_service";

class SubscriptionHandle : public Subscription {
public:
  explicit SubscriptionHandle(std::shared_ptr<UpstreamSubscription> Upstream)
      : Upstream(std::move(Upstream)) {}
  ~SubscriptionHandle() override { Upstream->close(); }
  SubscriptionHandle(const SubscriptionHandle &) = delete;
  SubscriptionHandle &operator=(const SubscriptionHandle &) = delete;

  Sequence lastDelivered() const override { return Upstream->lastDelivered(); }
  std::optional<Affinity> server() const override { return Upstream->server(); }

private:
  std::shared_ptr<UpstreamSubscription> Upstream;
};

} // namespace

std::shared_ptr<CancelSignal> makeCancelSignal(const Executor &Where) {
  return std::make_shared<CancelSignal>(Where);
}

void cancel(CancelSignal &Signal) {
  Signal.Cancelled = true;
  Signal.Changed.notifyAll();
}

struct Dispatcher::State {
  State(const Executor &Where, DispatcherOptions Options)
      : Where(Where), Options(std::move(Options)), Idle(Where) {}

  std::shared_ptr<ServicePool> find(const ObjectName &Service) const {
    const auto Found = Pools.find(Service);
    return Found == Pools.end() ? nullptr : Found->second;
  }

  std::shared_ptr<ServicePool> findOrAdd(const ObjectName &Service) {
    auto &Pool = Pools[Service];
    if (!Pool)
      Pool = std::make_shared<ServicePool>(
          Where, Options.RandomSeed ^ digestOf(Service.value()).value(),
          Counters);
    return Pool;
  }

  void apply(const config::ObjectSet &Objects) {
    EvacuatedDomains Now = evacuatedDomains(Objects);
    logChanges(Evacuated, Now);
    Evacuated = std::move(Now);
    ServersByService Servers = groupByService(Objects, Evacuated);
    std::erase_if(Pools, [&](const auto &Entry) {
      if (!Servers.contains(Entry.first))
        Entry.second->retire();
      // Jobs and subscriptions of a removed service still use its pool.
      return !Servers.contains(Entry.first) && Entry.second.use_count() == 1;
    });
    for (const auto &[Name, Rule] : Objects.Rules) {
      auto &Declared = Servers[Rule.Service];
      limitByRendezvousHash(Declared, Options.Host,
                            Options.MaxServersPerService);
      const auto Service = Objects.Services.find(Rule.Service);
      const auto Pool = findOrAdd(Rule.Service);
      Pool->Address = Service == Objects.Services.end()
                          ? std::nullopt
                          : std::optional(Service->second.Address);
      Pool->apply(Rule, Declared);
    }
  }

  Executor Where;
  DispatcherOptions Options;
  std::shared_ptr<DispatcherCounters> Counters =
      std::make_shared<DispatcherCounters>();
  std::map<ObjectName, std::shared_ptr<ServicePool>> Pools;
  EvacuatedDomains Evacuated;
  std::size_t JobsInProgress = 0;
  Notifier Idle;
};

Dispatcher::Dispatcher(const Executor &Where, DispatcherOptions Options)
    : Shared(std::make_shared<State>(Where, std::move(Options))) {}

Dispatcher::~Dispatcher() {
  for (auto &[Name, Pool] : Shared->Pools)
    Pool->stop();
}

void Dispatcher::apply(const config::ObjectSet &Objects) {
  Shared->apply(Objects);
}

Task<JobResult> Dispatcher::run(Job Request,
                                std::shared_ptr<CancelSignal> Signal) {
  const std::shared_ptr<State> KeepAlive = Shared;
  const auto Pool = KeepAlive->find(Request.Service);
  if (!Pool)
    co_return JobResult{.Result = wire::Outcome::NotRun,
                        .Reason = NoServiceReason};
  if (!Signal)
    Signal = makeCancelSignal(KeepAlive->Where);
  ++KeepAlive->JobsInProgress;
  const auto OnExit = gsl::finally([&] {
    if (--KeepAlive->JobsInProgress == 0)
      KeepAlive->Idle.notifyAll();
  });
  JobTask Runner(Pool, std::move(Request), std::move(Signal));
  co_return co_await Runner.run();
}

std::unique_ptr<Subscription>
Dispatcher::subscribe(SubscriptionRequest Request) {
  const auto Pool = Shared->findOrAdd(Request.Service);
  auto Upstream = std::make_shared<UpstreamSubscription>(Shared->Where, Pool,
                                                         std::move(Request));
  spawn(Shared->Where, "upstream_subscription",
        UpstreamSubscription::serve(Upstream));
  return std::make_unique<SubscriptionHandle>(std::move(Upstream));
}

std::optional<Affinity> Dispatcher::suggestServer(const ObjectName &Service) {
  const auto Pool = Shared->find(Service);
  if (!Pool)
    return std::nullopt;
  const auto Server = Pool->chooseForToken(Clock::now());
  if (!Server)
    return std::nullopt;
  return Server->affinity();
}

Explanation Dispatcher::explain(const ObjectName &Service) const {
  const auto Pool = Shared->find(Service);
  return Pool ? Pool->explain(Clock::now())
              : Explanation{.Reason = NoServiceReason};
}

std::vector<ServerStatus> Dispatcher::status() const {
  std::vector<ServerStatus> Result;
  for (const auto &[Name, Pool] : Shared->Pools)
    Pool->appendStatus(Result);
  return Result;
}

const EvacuatedDomains &Dispatcher::evacuated() const {
  return Shared->Evacuated;
}

const DispatcherCounters &Dispatcher::counters() const {
  return *Shared->Counters;
}

Task<> Dispatcher::waitUntilIdle() {
  const std::shared_ptr<State> KeepAlive = Shared;
  while (KeepAlive->JobsInProgress != 0)
    co_await KeepAlive->Idle.wait();
}

} // namespace buckthorndeck::routing
