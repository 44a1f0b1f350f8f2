#include "buckthorndeck/faults/PacketTraffic.h"

#include "buckthorndeck/platform/EndPacketCodec.h"

#include <algorithm>
#include <stdexcept>

namespace buckthorndeck::faults {

using forwarding::SocketAddress;
using standins::CallerFlow;
using standins::FlowCaller;
using standins::FlowOutcome;
using standins::FlowRequest;

namespace {

constexpr unsigned Attempts = 3;
constexpr std::uint64_t MaxPauseMs = 150;
constexpr std::uint32_t MaxRequestBytes = 3000;
constexpr std::uint32_t MaxAnswerBytes = 30'000;
//! Requests on a long flow before it is replaced.
constexpr unsigned RequestsPerFlow = 40;
//! The same for a flow that is idle between them. Few, so that there are always
//! new ones: a server that has started again may get one at any time.
constexpr unsigned RequestsPerIdleFlow = 2;
//! Longer than the time for which a reset after a fault is allowed, and shorter
//! than that after which hosts forget a flow.
constexpr Milliseconds MinIdleTime{4500};
constexpr std::uint64_t MaxMoreIdleMs = 4000;
constexpr Milliseconds StopPollInterval{10};
//! After at most this time a pausing caller notices that it shall end.
constexpr Milliseconds MaxPauseStep{100};
//! One of this many callers with long flows sends to the same host until its
//! process is gone, as connections do that a router keeps.
constexpr unsigned HostKeeperInterval = 4;

} // namespace

struct PacketTraffic::User {
  explicit User(std::uint64_t Seed) : Random(Seed) {}

  RandomEngine Random;
  bool KeepsFlow = false;
  bool Idles = false;
  standins::FlowPath Path = standins::FlowPath::Routed;
  bool Repeatable = true;
  std::shared_ptr<CallerFlow> Flow;
  unsigned Used = 0; //!< Requests on the flow.
};

PacketTraffic::PacketTraffic(PacketSite &Target, PacketTrafficOptions Wanted)
    : Target(Target), Options(Wanted) {
  auto Started = FlowCaller::start(
      Target.executor(),
      {.Address = Target.callerAddress(),
       .Domain = Target.domains().front(),
       .Format = platform::endPacketFormat(),
       .Router = &Target.router(),
       .HostRuns =
           [&Target](const UdpEndpoint &Host) { return Target.runs(Host); },
       .RandomSeed = Options.Seed});
  if (!Started)
    throw std::runtime_error(describe(Started.error()));
  Caller = std::move(*Started);
  const unsigned FirstIdle = Options.LongFlows + Options.ShortFlows;
  for (unsigned Number = 0; Number < FirstIdle + Options.IdleFlows; ++Number) {
    User &Who = Users.emplace_back(Options.Seed * 1000 + Number);
    Who.Idles = Number >= FirstIdle;
    Who.KeepsFlow = Number < Options.LongFlows || Who.Idles;
    Who.Repeatable = Number % 3 != 0;
    if (Who.KeepsFlow && Number % HostKeeperInterval == 0)
      Who.Path = standins::FlowPath::KeepsHost;
  }
}

PacketTraffic::~PacketTraffic() = default;

void PacketTraffic::start() {
  for (User &Who : Users) {
    ++Running;
    spawn(Target.executor(), "packet_user", run(Who));
  }
}

Task<> PacketTraffic::stop() {
  Stopping = true;
  while (Running > 0)
    co_await sleepFor(StopPollInterval);
}

Task<FlowOutcome> PacketTraffic::callOnce(User &Who, FlowRequest Request,
                                          PacketCall Record) {
  if (!Who.Flow) {
    const auto Opened = co_await Caller->open(Record.Service, Who.Path);
    Who.Flow = Opened;
    Who.Used = 0;
  }
  if (Who.Flow) {
    Record.IdleFlow = Who.Idles && Who.Used > 0;
    Record.Flow = FlowCaller::keyOf(*Who.Flow);
    Record.Result = co_await Caller->call(Who.Flow, Request, Options.Budget);
  }
  const FlowOutcome Outcome = Record.Result.Outcome;
  Calls.push_back(Record);
  if (Outcome == FlowOutcome::NotOpened)
    co_return Outcome;
  ++Who.Used;
  const unsigned Most = Who.Idles ? RequestsPerIdleFlow : RequestsPerFlow;
  const bool Keep = Who.KeepsFlow && Outcome == FlowOutcome::Answered &&
                    Who.Used < Most && FlowCaller::usable(*Who.Flow);
  if (!Keep) {
    Caller->close(Who.Flow);
    Who.Flow = nullptr;
  }
  co_return Outcome;
}

Task<> PacketTraffic::callUntilDone(User &Who, SocketAddress Service) {
  FlowRequest Request;
  Request.Id = NextRequest++;
  Request.BodyBytes =
      static_cast<std::uint32_t>(randomBelow(Who.Random, MaxRequestBytes) + 1);
  Request.AnswerBytes =
      static_cast<std::uint32_t>(randomBelow(Who.Random, MaxAnswerBytes));
  for (unsigned Attempt = 0; Attempt < Attempts; ++Attempt) {
    PacketCall Record;
    Record.Request = Request.Id;
    Record.Service = Service;
    const FlowOutcome Outcome = co_await callOnce(Who, Request, Record);
    if (Outcome == FlowOutcome::Answered ||
        (!Who.Repeatable && Outcome != FlowOutcome::NotOpened))
      break;
  }
}

Task<> PacketTraffic::pauseAfter(User &Who) {
  const auto Draw = [&](std::uint64_t Limit) {
    return Milliseconds(
        static_cast<Milliseconds::rep>(randomBelow(Who.Random, Limit) + 1));
  };
  TimePoint Due = Clock::now() + Draw(MaxPauseMs);
  if (Who.Idles && Who.Flow)
    Due += MinIdleTime + Draw(MaxMoreIdleMs);
  while (!Stopping && Clock::now() < Due) {
    const auto Left = std::chrono::ceil<Milliseconds>(Due - Clock::now());
    co_await sleepFor(std::min(Left, MaxPauseStep));
  }
}

Task<> PacketTraffic::run(User &Who) {
  while (!Stopping) {
    // Short flows also show which configuration a host has in force.
    SocketAddress Service = RouteOfA;
    const std::uint64_t Choice = randomBelow(Who.Random, 4);
    if (Choice == 1)
      Service = RouteOfB;
    if (Choice == 2 && !Who.KeepsFlow)
      Service = ChangingRoute;
    if (Choice == 3 && !Who.KeepsFlow)
      Service = routeOfVersion(Target.versions().back().Routes.Version);
    if (Who.Flow)
      Service = FlowCaller::keyOf(*Who.Flow).Service;
    co_await callUntilDone(Who, Service);
    co_await pauseAfter(Who);
  }
  if (Who.Flow)
    Caller->close(Who.Flow);
  --Running;
}

} // namespace buckthorndeck::faults
