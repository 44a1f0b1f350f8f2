#include "buckthorndeck/standins/FlowCaller.h"

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/UdpSocket.h"
#include "buckthorndeck/standins/FlowStream.h"

#include <array>
#include <map>

namespace buckthorndeck::standins {

using forwarding::FlowKey;
using forwarding::SocketAddress;

namespace {

constexpr Milliseconds TickInterval{10};
//! The first packet is sent at 0, 200 and 600 ms; after 1.4 s a caller gives
//! up.
constexpr std::array OpenWaits{Milliseconds(200), Milliseconds(400),
                               Milliseconds(800)};
constexpr std::uint16_t FirstFlowPort = 1024;

} // namespace

struct CallerFlow {
  CallerFlow(const Executor &Where, const FlowKey &Key)
      : Key(Key), Changed(Where) {}

  FlowKey Key;
  Notifier Changed;
  std::uint32_t FirstSequence = 0;
  std::unique_ptr<FlowStream> Stream; //!< Once a server has answered.
  bool Reset = false;
  bool Closing = false; //!< Nothing more is wanted of it.
  FlowPath Path = FlowPath::Routed;
  std::optional<UdpEndpoint> Host; //!< If it keeps its host.

  bool over() const { return Reset || Stream->closed() || Stream->gaveUp(); }
};

struct FlowCaller::State {
  State(const Executor &Where, FlowCallerOptions Given, UdpSocket Socket)
      : Where(Where), Options(std::move(Given)), Socket(std::move(Socket)),
        Random(Options.RandomSeed) {}

  std::optional<UdpEndpoint> hostFor(const FlowKey &Key);
  void send(const FlowPacket &Packet);
  void handle(const ReceivedDatagram &Datagram);
  void handleOpened(CallerFlow &Flow, const FlowPacket &Packet);
  std::shared_ptr<CallerFlow> addFlow(const SocketAddress &Service);

  static Task<> receive(std::shared_ptr<State> Self);
  static Task<> runTicks(std::shared_ptr<State> Self);

  Executor Where;
  FlowCallerOptions Options;
  UdpSocket Socket;
  RandomEngine Random;
  FlowLinkFaults Faults;
  std::map<std::uint16_t, std::shared_ptr<CallerFlow>> Flows; //!< By port.
  std::uint16_t NextPort = FirstFlowPort;
  std::vector<FlowReset> Resets;
  std::size_t Damaged = 0;
  bool Stopped = false;
};

const char *toString(FlowOutcome Outcome) {
  switch (Outcome) {
  case FlowOutcome::Answered:
    return "answered";
  case FlowOutcome::NotOpened:
    return "not_opened";
  case FlowOutcome::Reset:
    return "reset";
  case FlowOutcome::Closed:
    return "closed";
  case FlowOutcome::TimedOut:
    return "timed_out";
  }
  return "unknown";
}

std::optional<UdpEndpoint> FlowCaller::State::hostFor(const FlowKey &Key) {
  const auto Found = Flows.find(Key.Caller.Port);
  if (Found == Flows.end() || Found->second->Path == FlowPath::Routed)
    return Options.Router->route(Key, Options.Domain);
  std::optional<UdpEndpoint> &Host = Found->second->Host;
  if (!Host || !Options.HostRuns(*Host))
    Host = Options.Router->route(Key, Options.Domain);
  return Host;
}

void FlowCaller::State::send(const FlowPacket &Packet) {
  const FlowKey Key{.Caller = Packet.Source, .Service = Packet.Destination};
  const auto Host = hostFor(Key);
  if (!Host || randomUnit(Random) < Faults.Drop)
    return;
  const Bytes Datagram = Options.Format.Encode(Packet);
  // What the kernel does not take is sent again like a lost packet.
  Socket.send(Datagram, *Host);
  if (randomUnit(Random) < Faults.Duplicate)
    Socket.send(Datagram, *Host);
}

std::shared_ptr<CallerFlow>
FlowCaller::State::addFlow(const SocketAddress &Service) {
  while (Flows.contains(NextPort) || NextPort < FirstFlowPort)
    ++NextPort;
  const SocketAddress Own{.Ip = Options.Address.address().to_v4().to_uint(),
                          .Port = NextPort++};
  auto Flow = std::make_shared<CallerFlow>(
      Where, FlowKey{.Caller = Own, .Service = Service});
  Flow->FirstSequence = static_cast<std::uint32_t>(Random());
  Flows[Own.Port] = Flow;
  return Flow;
}

void FlowCaller::State::handleOpened(CallerFlow &Flow,
                                     const FlowPacket &Packet) {
  // Further servers may answer a copy of the first packet.
  if (Flow.Stream || Packet.Acknowledged != Flow.FirstSequence + 1)
    return;
  Flow.Stream = std::make_unique<FlowStream>(
      FlowStreamOptions{.Local = Flow.Key.Caller,
                        .Remote = Flow.Key.Service,
                        .FirstSequence = Flow.FirstSequence + 1,
                        .FirstExpected = Packet.Sequence + 1,
                        .Send = [this](const FlowPacket &P) { send(P); }});
  Flow.Stream->Token = Packet.Token;
}

void FlowCaller::State::handle(const ReceivedDatagram &Datagram) {
  const auto Packet = Options.Format.Decode(Datagram.Payload);
  if (!Packet) {
    ++Damaged;
    return;
  }
  const auto Known = Flows.find(Packet->Destination.Port);
  if (Known == Flows.end() || Known->second->Key.Service != Packet->Source)
    return;
  CallerFlow &Flow = *Known->second;
  if (Packet->Reset) {
    if (Flow.Stream && !Flow.Reset)
      Resets.push_back({.Flow = Flow.Key,
                        .Sender = Datagram.Sender,
                        .At = Clock::now(),
                        .FromHost = Packet->FromHost});
    Flow.Reset = true;
  } else if (Packet->Open) {
    handleOpened(Flow, *Packet);
  } else if (Flow.Stream) {
    Flow.Stream->receive(*Packet, Clock::now());
  }
  Flow.Changed.notifyAll();
}

Task<> FlowCaller::State::receive(std::shared_ptr<State> Self) {
  while (!Self->Stopped) {
    const Expected<ReceivedDatagram> Received = co_await Self->Socket.receive();
    if (!Received)
      co_return;
    Self->handle(*Received);
  }
}

Task<> FlowCaller::State::runTicks(std::shared_ptr<State> Self) {
  while (!Self->Stopped) {
    co_await sleepFor(TickInterval);
    const TimePoint Now = Clock::now();
    for (const auto &[Port, Flow] : Self->Flows)
      if (Flow->Stream && !Flow->Reset)
        Flow->Stream->tick(Now);
    std::erase_if(Self->Flows, [](const auto &Entry) {
      return Entry.second->Closing && Entry.second->over();
    });
  }
}

FlowCaller::FlowCaller(std::shared_ptr<State> Shared)
    : Shared(std::move(Shared)) {}

FlowCaller::~FlowCaller() {
  Shared->Stopped = true;
  Shared->Socket.close();
}

Expected<std::unique_ptr<FlowCaller>>
FlowCaller::start(const Executor &Where, FlowCallerOptions Options) {
  auto Socket = UdpSocket::bind(Where, Options.Address);
  if (!Socket)
    return Unexpected(Socket.error());
  Options.Address = Socket->localEndpoint();
  auto Shared =
      std::make_shared<State>(Where, std::move(Options), std::move(*Socket));
  spawn(Where, "flow_caller", State::receive(Shared));
  spawn(Where, "flow_caller_ticks", State::runTicks(Shared));
  return std::unique_ptr<FlowCaller>(new FlowCaller(std::move(Shared)));
}

void FlowCaller::setFaults(const FlowLinkFaults &Faults) {
  Shared->Faults = Faults;
}

Task<std::shared_ptr<CallerFlow>> FlowCaller::open(SocketAddress Service,
                                                   FlowPath Path) {
  const std::shared_ptr<State> Self = Shared;
  const std::shared_ptr<CallerFlow> Flow = Self->addFlow(Service);
  Flow->Path = Path;
  FlowPacket First{.Source = Flow->Key.Caller,
                   .Destination = Service,
                   .Sequence = Flow->FirstSequence,
                   .Open = true};
  for (std::uint32_t Copy = 0; Copy < OpenWaits.size(); ++Copy) {
    First.Acknowledged = Copy;
    Self->send(First);
    const TimePoint Due = Clock::now() + OpenWaits.at(Copy);
    while (!Flow->Stream && !Flow->Reset) {
      const bool Notified = co_await Flow->Changed.waitUntil(Due);
      if (!Notified)
        break;
    }
    if (Flow->Stream || Flow->Reset)
      break;
  }
  if (Flow->Stream)
    co_return Flow;
  Self->Flows.erase(Flow->Key.Caller.Port);
  co_return nullptr;
}

Task<FlowResult> FlowCaller::call(std::shared_ptr<CallerFlow> Flow,
                                  FlowRequest Request, Milliseconds Budget) {
  const TimePoint Started = Clock::now();
  const TimePoint Due = Started + Budget;
  FlowResult Result;
  Flow->Stream->write(encode(Request), Started);
  while (true) {
    if (const auto Answer = takeAnswer(Flow->Stream->received())) {
      Result.Outcome = FlowOutcome::Answered;
      Result.Answer = *Answer;
      co_return Result;
    }
    if (Flow->Reset || Flow->Stream->finishedByPeer()) {
      Result.Outcome = Flow->Reset ? FlowOutcome::Reset : FlowOutcome::Closed;
      co_return Result;
    }
    const bool Notified = co_await Flow->Changed.waitUntil(Due);
    if (Notified)
      continue;
    Result.Outcome = FlowOutcome::TimedOut;
    co_return Result;
  }
}

bool FlowCaller::usable(const CallerFlow &Flow) {
  return Flow.Stream && !Flow.Reset && !Flow.Stream->finishedByPeer() &&
         !Flow.Stream->gaveUp();
}

FlowKey FlowCaller::keyOf(const CallerFlow &Flow) { return Flow.Key; }

void FlowCaller::close(const std::shared_ptr<CallerFlow> &Flow) {
  Flow->Closing = true;
  if (!Flow->Reset)
    Flow->Stream->finish(Clock::now());
}

const std::vector<FlowReset> &FlowCaller::resets() const {
  return Shared->Resets;
}
std::size_t FlowCaller::damaged() const { return Shared->Damaged; }

} // namespace buckthorndeck::standins
