#include "buckthorndeck/routing/internal/ServicePool.h"

#include <algorithm>

namespace buckthorndeck::routing {

namespace {
//! A waiting job looks again after this time even if nothing woke it.
constexpr Milliseconds LongestRetry{100};
} // namespace

ServicePool::ServicePool(Executor Where, std::uint64_t Seed)
    : Where(std::move(Where)), Random(Seed) {}

void ServicePool::apply(const config::Rule &Rule,
                        const std::vector<config::BackendServer> &Servers) {
  Limits = Rule;
  std::vector<std::shared_ptr<Channel>> Next;
  for (const config::BackendServer &Server : Servers) {
    std::shared_ptr<Channel> Kept = takeChannel(Server);
    Next.push_back(Kept ? Kept : openChannel(Server));
  }
  retire();
  Channels = std::move(Next);
  Queue.wakeAll();
}

std::shared_ptr<Channel>
ServicePool::takeChannel(const config::BackendServer &Server) {
  const auto Found =
      std::find_if(Channels.begin(), Channels.end(),
                   [&](const auto &Open) { return Open->matches(Server); });
  if (Found == Channels.end())
    return nullptr;
  std::shared_ptr<Channel> Kept = std::move(*Found);
  Channels.erase(Found);
  Kept->update(Server);
  return Kept;
}

std::shared_ptr<Channel>
ServicePool::openChannel(const config::BackendServer &Server) {
  auto Opened = std::make_shared<Channel>(Where, Server, Random(),
                                          [Weak = weak_from_this()] {
                                            if (auto Pool = Weak.lock())
                                              Pool->Queue.wakeFirst();
                                          });
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

std::vector<Candidate> ServicePool::candidates() const {
  std::vector<Candidate> Result;
  Result.reserve(Channels.size());
  for (const auto &Open : Channels)
    Result.push_back(Candidate{.Load = &Open->load()});
  return Result;
}

std::optional<std::size_t>
ServicePool::indexOf(const std::optional<Affinity> &Wanted) const {
  if (!Wanted)
    return std::nullopt;
  for (std::size_t Index = 0; Index < Channels.size(); ++Index) {
    const config::BackendServer &Server = Channels[Index]->declared();
    if (Server.Name == Wanted->Server &&
        Server.ServerGeneration == Wanted->ServerGeneration)
      return Index;
  }
  return std::nullopt;
}

std::shared_ptr<Channel>
ServicePool::choose(const std::optional<Affinity> &Preferred, TimePoint Now) {
  if (Stopped || InFlight >= Limits.MaxInFlight)
    return nullptr;
  const auto Chosen =
      chooseServer(candidates(), Limits.Goal, indexOf(Preferred), Now, Random);
  return Chosen ? Channels[*Chosen] : nullptr;
}

std::shared_ptr<Channel>
ServicePool::chooseForSubscription(const std::optional<Affinity> &Preferred) {
  const auto Usable = [](const Channel &Server) {
    return Server.load().Connected && !Server.load().Draining;
  };
  const auto Wanted = indexOf(Preferred);
  if (Wanted && Usable(*Channels[*Wanted]))
    return Channels[*Wanted];
  std::shared_ptr<Channel> Best;
  for (const auto &Server : Channels)
    if (Usable(*Server) &&
        (!Best || Server->subscriptions() < Best->subscriptions()))
      Best = Server;
  return Best;
}

std::shared_ptr<Channel> ServicePool::suggest(TimePoint Now) {
  if (auto Server = choose(std::nullopt, Now))
    return Server;
  return chooseForSubscription(std::nullopt);
}

TimePoint ServicePool::nextTry(TimePoint Now) {
  TimePoint Next = Now + LongestRetry;
  for (const auto &Server : Channels) {
    const ServerLoad &Load = Server->load();
    if (Load.Connected && !Load.Draining && Load.InFlight < Load.Slots &&
        Load.HoldUntil > Now)
      Next = std::min(Next, Load.HoldUntil);
  }
  return Next;
}

} // namespace buckthorndeck::routing
