#include "buckthorndeck/faults/PacketTraffic.h"

#include "buckthorndeck/platform/EndPacketCodec.h"

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
constexpr Milliseconds StopPollInterval{10};
//! One of this many callers with long flows sends to the same host until its
//! process is gone, as connections do that a router keeps.
constexpr unsigned HostKeeperInterval = 4;

} // namespace

struct PacketTraffic::User {
  explicit User(std::uint64_t Seed) : Random(Seed) {}

  RandomEngine Random;
  bool KeepsFlow = false;
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
  for (unsigned Number = 0; Number < Options.LongFlows + Options.ShortFlows;
       ++Number) {
    User &Who = Users.emplace_back(Options.Seed * 1000 + Number);
    Who.KeepsFlow = Number < Options.LongFlows;
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
  if (Who.Flow)
    Record.Result = co_await Caller->call(Who.Flow, Request, Options.Budget);
  const FlowOutcome Outcome = Record.Result.Outcome;
  Calls.push_back(Record);
  if (Outcome == FlowOutcome::NotOpened)
    co_return Outcome;
  ++Who.Used;
  const bool Keep = Who.KeepsFlow && Outcome == FlowOutcome::Answered &&
                    Who.Used < RequestsPerFlow && FlowCaller::usable(*Who.Flow);
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
    const auto Pause =
        static_cast<Milliseconds::rep>(randomBelow(Who.Random, MaxPauseMs) + 1);
    co_await sleepFor(Milliseconds(Pause));
  }
  if (Who.Flow)
    Caller->close(Who.Flow);
  --Running;
}

} // namespace buckthorndeck::faults
