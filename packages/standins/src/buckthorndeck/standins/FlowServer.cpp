#include "buckthorndeck/standins/FlowServer.h"

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/HttpServer.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/UdpSocket.h"
#include "buckthorndeck/standins/FlowMessage.h"
#include "buckthorndeck/standins/FlowStream.h"

#include <boost/endian/conversion.hpp>
#include <unordered_map>

namespace buckthorndeck::standins {

using forwarding::FlowKey;
using forwarding::FlowKeyHash;
using forwarding::ServerRecord;
using forwarding::SocketAddress;

namespace {

constexpr std::size_t ServerPrefixBytes = 8;
constexpr Milliseconds TickInterval{10};
//! The kernel chooses a UDP port whose TCP port may be in use.
constexpr int BindAttempts = 20;
//! Time after which a flow whose caller never acknowledged is forgotten.
constexpr Milliseconds HalfOpenTime{2000};

UdpEndpoint toEndpoint(const SocketAddress &Address, std::uint16_t Port) {
  return {boost::asio::ip::address_v4(Address.Ip), Port};
}

FlowKey flowOf(const FlowPacket &Packet) {
  return {.Caller = Packet.Source, .Service = Packet.Destination};
}

} // namespace

struct FlowServer::State : std::enable_shared_from_this<State> {
  struct Flow {
    std::unique_ptr<FlowStream> Stream;
    std::uint32_t FirstSequence = 0;
    TimePoint StartedAt;
    bool Opened = false;
    bool Running = false;
    bool Ending = false;
  };

  State(const Executor &Where, FlowServerOptions Given, UdpSocket Socket,
        HttpServer Health)
      : Where(Where), Options(std::move(Given)), Socket(std::move(Socket)),
        Health(std::move(Health)), Random(Options.RandomSeed), Changed(Where) {}

  void handle(const ReceivedDatagram &Datagram);
  void handlePacket(const FlowPacket &Packet, const UdpEndpoint &Host);
  void open(const FlowPacket &Packet, const UdpEndpoint &Host);
  void send(const FlowPacket &Packet);
  void sendReset(const FlowPacket &Cause);
  void answerOpen(const FlowPacket &Packet, const Flow &Known);
  void startNext(const FlowKey &Key, Flow &Known);
  void startWaiting();
  void tick(TimePoint Now);
  void close();

  static Task<> receive(std::shared_ptr<State> Self);
  static Task<> runTicks(std::shared_ptr<State> Self);
  static Task<> work(std::shared_ptr<State> Self, FlowKey Key,
                     FlowRequest Request);
  static Task<std::optional<HttpResponse>>
  answerHealth(std::shared_ptr<State> Self);

  Executor Where;
  FlowServerOptions Options;
  UdpSocket Socket;
  HttpServer Health;
  RandomEngine Random;
  Notifier Changed;
  std::function<bool(const UdpEndpoint &)> Accepts;
  std::unordered_map<FlowKey, Flow, FlowKeyHash> Flows;
  std::vector<FlowOpening> Openings;
  std::vector<FlowRun> Runs;
  std::uint32_t Busy = 0; //!< Slots in use.
  std::size_t Damaged = 0;
  bool Frozen = false;
  bool Alive = true;
};

void FlowServer::State::send(const FlowPacket &Packet) {
  // What the kernel does not take is sent again like a lost packet.
  Socket.send(Options.Format.Encode(Packet),
              toEndpoint(Packet.Destination, Options.CallerPort));
}

void FlowServer::State::sendReset(const FlowPacket &Cause) {
  send({.Source = Cause.Destination,
        .Destination = Cause.Source,
        .Token = Cause.Token,
        .Sequence = Cause.Acknowledged,
        .Reset = true});
}

void FlowServer::State::answerOpen(const FlowPacket &Packet,
                                   const Flow &Known) {
  send({.Source = Packet.Destination,
        .Destination = Packet.Source,
        .Token = Packet.Token,
        .Sequence = Known.FirstSequence,
        .Acknowledged = Packet.Sequence + 1,
        .Open = true,
        .Acknowledges = true});
}

void FlowServer::State::open(const FlowPacket &Packet,
                             const UdpEndpoint &Host) {
  const FlowKey Key = flowOf(Packet);
  const TimePoint Now = Clock::now();
  auto Known = Flows.find(Key);
  if (Known == Flows.end()) {
    const auto First = static_cast<std::uint32_t>(Random());
    Flow Next{.FirstSequence = First, .StartedAt = Now};
    Next.Stream = std::make_unique<FlowStream>(
        FlowStreamOptions{.Local = Packet.Destination,
                          .Remote = Packet.Source,
                          .FirstSequence = First + 1,
                          .FirstExpected = Packet.Sequence + 1,
                          .Send = [this](const FlowPacket &P) { send(P); }});
    Known = Flows.emplace(Key, std::move(Next)).first;
    Openings.push_back({.Flow = Key, .Host = Host, .At = Now});
  }
  Known->second.Stream->Token = Packet.Token;
  answerOpen(Packet, Known->second);
}

//! Begins the flow's next request if it has one and a slot is free.
void FlowServer::State::startNext(const FlowKey &Key, Flow &Known) {
  if (Known.Running || Known.Ending || Busy >= Options.Record.Slots)
    return;
  const auto Request = takeRequest(Known.Stream->received());
  if (!Request)
    return;
  Known.Running = true;
  ++Busy;
  Runs.push_back(
      {.Request = Request->Id, .Flow = Key, .Intact = Request->Intact});
  spawn(Where, "flow_request", work(shared_from_this(), Key, *Request));
}

void FlowServer::State::startWaiting() {
  for (auto &[Key, Known] : Flows)
    startNext(Key, Known);
}

void FlowServer::State::handlePacket(const FlowPacket &Packet,
                                     const UdpEndpoint &Host) {
  if (Packet.Open) {
    // The platform takes an open with an acknowledgement for forged.
    if (Packet.Acknowledges)
      ++Damaged;
    else
      open(Packet, Host);
    return;
  }
  const auto Known = Flows.find(flowOf(Packet));
  if (Known == Flows.end()) {
    if (!Packet.Reset)
      sendReset(Packet);
    return;
  }
  Flow &Current = Known->second;
  if (Packet.Reset) {
    if (!Current.Running)
      Flows.erase(Known);
    return;
  }
  if (!Current.Opened && Packet.Acknowledged != Current.FirstSequence + 1)
    return;
  Current.Opened = true;
  Current.Stream->receive(Packet, Clock::now());
  startNext(Known->first, Current);
}

void FlowServer::State::handle(const ReceivedDatagram &Datagram) {
  if (Accepts && !Accepts(Datagram.Sender))
    return;
  if (Datagram.Payload.size() < ServerPrefixBytes) {
    ++Damaged;
    return;
  }
  const std::uint64_t Id = boost::endian::load_big_u64(Datagram.Payload.data());
  // Meant for another server, which had this address before.
  if (Id != 0 && Id != Options.Record.Id.value())
    return;
  const auto Packet =
      Options.Format.Decode(Datagram.Payload.subspan(ServerPrefixBytes));
  if (!Packet || Packet->FromHost) {
    ++Damaged;
    return;
  }
  handlePacket(*Packet, Datagram.Sender);
}

void FlowServer::State::tick(TimePoint Now) {
  for (auto &[Key, Known] : Flows) {
    if (!Known.Opened || Known.Running)
      continue;
    Known.Stream->tick(Now);
    if (Known.Stream->finishedByPeer() && !Known.Ending) {
      Known.Ending = true;
      Known.Stream->finish(Now);
    }
  }
  std::erase_if(Flows, [&](const auto &Entry) {
    const Flow &Known = Entry.second;
    if (Known.Running)
      return false;
    if (!Known.Opened)
      return Now - Known.StartedAt > HalfOpenTime;
    return Known.Stream->closed() || Known.Stream->gaveUp();
  });
}

Task<> FlowServer::State::receive(std::shared_ptr<State> Self) {
  while (Self->Alive) {
    if (Self->Frozen) {
      co_await Self->Changed.wait();
      continue;
    }
    const Expected<ReceivedDatagram> Received = co_await Self->Socket.receive();
    if (!Received || !Self->Alive)
      co_return;
    Self->handle(*Received);
  }
}

Task<> FlowServer::State::work(std::shared_ptr<State> Self, FlowKey Key,
                               FlowRequest Request) {
  co_await sleepFor(Self->Options.WorkTime);
  while (Self->Frozen && Self->Alive)
    co_await Self->Changed.wait();
  --Self->Busy;
  const auto Known = Self->Flows.find(Key);
  if (!Self->Alive)
    co_return;
  if (Known == Self->Flows.end()) {
    Self->startWaiting();
    co_return;
  }
  Flow &Current = Known->second;
  Current.Running = false;
  const FlowAnswer Answer{.Request = Request.Id,
                          .Server = Self->Options.Record.Id.value(),
                          .BodyBytes = Request.AnswerBytes};
  const TimePoint Now = Clock::now();
  Current.Stream->write(encode(Answer), Now);
  if (Self->Options.Record.Draining) {
    Current.Ending = true;
    Current.Stream->finish(Now);
  }
  Self->startWaiting();
}

Task<> FlowServer::State::runTicks(std::shared_ptr<State> Self) {
  while (Self->Alive) {
    co_await sleepFor(TickInterval);
    if (!Self->Frozen)
      Self->tick(Clock::now());
  }
}

Task<std::optional<HttpResponse>>
FlowServer::State::answerHealth(std::shared_ptr<State> Self) {
  while (Self->Frozen && Self->Alive)
    co_await Self->Changed.wait();
  if (!Self->Alive)
    co_return std::nullopt;
  HttpResponse Answer;
  HttpHeader Name;
  Name.Name = Self->Options.NameHeader;
  Name.Value = Self->Options.Record.Name;
  Answer.Headers.push_back(Name);
  Answer.Status = Self->Options.Record.Draining ? 503 : 200;
  co_return Answer;
}

void FlowServer::State::close() {
  Alive = false;
  Flows.clear();
  Socket.close();
  Health.close();
  Changed.notifyAll();
}

FlowServer::FlowServer(std::shared_ptr<State> Shared)
    : Shared(std::move(Shared)) {}
FlowServer::~FlowServer() { Shared->close(); }

Expected<std::unique_ptr<FlowServer>>
FlowServer::start(const Executor &Where, FlowServerOptions Options) {
  for (int Attempt = 1;; ++Attempt) {
    auto Socket = UdpSocket::bind(Where, Options.Record.Address);
    if (!Socket)
      return Unexpected(Socket.error());
    const UdpEndpoint Local = Socket->localEndpoint();
    auto Health = HttpServer::bind(Where, {Local.address(), Local.port()});
    if (!Health && Attempt < BindAttempts && Options.Record.Address.port() == 0)
      continue;
    if (!Health)
      return Unexpected(Health.error());
    Options.Record.Address = Local;
    auto Shared = std::make_shared<State>(
        Where, std::move(Options), std::move(*Socket), std::move(*Health));
    spawn(Where, "flow_server", State::receive(Shared));
    spawn(Where, "flow_server_ticks", State::runTicks(Shared));
    spawn(Where, "flow_server_health",
          Shared->Health.serve(
              [Shared](HttpRequest) { return State::answerHealth(Shared); }));
    return std::unique_ptr<FlowServer>(new FlowServer(std::move(Shared)));
  }
}

const ServerRecord &FlowServer::record() const {
  return Shared->Options.Record;
}

void FlowServer::drain() { Shared->Options.Record.Draining = true; }
void FlowServer::crash() { Shared->close(); }

void FlowServer::setFrozen(bool Frozen) {
  Shared->Frozen = Frozen;
  Shared->Changed.notifyAll();
}

void FlowServer::setFilter(std::function<bool(const UdpEndpoint &)> Accepts) {
  Shared->Accepts = std::move(Accepts);
}

bool FlowServer::alive() const { return Shared->Alive; }

bool FlowServer::holds(const FlowKey &Flow) const {
  const auto Known = Shared->Flows.find(Flow);
  return Known != Shared->Flows.end() && Known->second.Opened;
}

const std::vector<FlowOpening> &FlowServer::openings() const {
  return Shared->Openings;
}
const std::vector<FlowRun> &FlowServer::runs() const { return Shared->Runs; }
std::size_t FlowServer::damaged() const { return Shared->Damaged; }

} // namespace buckthorndeck::standins
