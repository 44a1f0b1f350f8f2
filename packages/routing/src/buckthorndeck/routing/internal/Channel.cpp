#include "buckthorndeck/routing/internal/Channel.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/routing/internal/CancelSignal.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace buckthorndeck::routing {

namespace {

constexpr Milliseconds HelloTimeout{2000};
constexpr Milliseconds MinBackOff{50};
constexpr Milliseconds MaxBackOff{2000};
//! A wrong server at an address is corrected by an operator, which takes long.
constexpr Milliseconds MismatchBackOff{5000};
//! A server that announced `draining` and came back may announce it again
//! right after `hello`; it gets no request before that.
constexpr Milliseconds ReturnHold{500};
//! Wait before the next request when the connection's queue is full.
constexpr Milliseconds SendQueueHold{50};
//! A server that does not even answer a `cancel` gets its slot back after this
//! time; it is refused by the server if it is still in use there.
constexpr Milliseconds AbandonedSlotTime{10'000};
//! A request that overran a deadline shorter than this many service times says
//! nothing about the server.
constexpr double OverrunServiceTimes = 2;

Milliseconds timeLeft(TimePoint Deadline, TimePoint Now) {
  const auto Left = std::chrono::duration_cast<Milliseconds>(Deadline - Now);
  return std::clamp(Left, Milliseconds(0), Milliseconds(wire::MaxDeadline));
}

} // namespace

Channel::Channel(const Executor &Where, config::BackendServer Declared,
                 std::uint64_t Seed, std::weak_ptr<ChannelOwner> Owner,
                 std::shared_ptr<DispatcherCounters> Counters)
    : Where(Where), Declared(std::move(Declared)), Random(Seed),
      Owner(std::move(Owner)), Counters(std::move(Counters)), Stopped(Where) {
  Load.Slots = this->Declared.Slots;
  Load.Draining = this->Declared.Draining;
}

Task<> Channel::serve(std::shared_ptr<Channel> Self) {
  while (!Self->Closed) {
    auto Hello = co_await Self->connect();
    if (Self->Closed)
      break;
    const bool Mismatch = Hello && !Self->isExpected(*Hello);
    if (Hello && !Mismatch) {
      Self->admit(*Hello);
      co_await Self->receiveAll();
    } else {
      ++Self->FailedConnects;
    }
    Self->dropAll();
    co_await Self->backOff(Mismatch);
  }
  Self->dropAll();
}

Task<Expected<wire::ServerHello>> Channel::connect() {
  auto Peer = parseTcpEndpoint(Declared.Address, "connect to backend server");
  if (!Peer)
    co_return Unexpected(Peer.error());
  auto Connected = co_await WebSocket::connect(*Peer);
  if (!Connected)
    co_return Unexpected(Connected.error());
  Link = *Connected;
  co_return co_await receiveHello();
}

Task<Expected<wire::ServerHello>> Channel::receiveHello() {
  boost::asio::steady_timer Limit(Where, HelloTimeout);
  Limit.async_wait([Connection = Link](const boost::system::error_code &Code) {
    if (!Code)
      Connection->close();
  });
  auto Received = co_await Link->receive();
  if (!Received)
    co_return Unexpected(Received.error());
  auto Message = wire::decodeServerMessage(*Received, Link->peer());
  if (!Message)
    co_return Unexpected(Message.error());
  if (const auto *Hello = std::get_if<wire::ServerHello>(&*Message))
    co_return *Hello;
  co_return Unexpected(Error{.Code = ErrorCode::Invalid,
                             .Step = "receive hello",
                             .Peer = Link->peer(),
                             .Message = "another message came first"});
}

bool Channel::isExpected(const wire::ServerHello &Hello) const {
  if (Hello.Server == Declared.Name &&
      Hello.ServerGeneration == Declared.ServerGeneration &&
      Hello.Service == Declared.Service)
    return true;
  ++Counters->ServerMismatches;
  log(LogLevel::Warn, "server_mismatch",
      {{"address", Declared.Address},
       {"declared", Declared.Name.value()},
       {"declared_generation", Declared.ServerGeneration.value()},
       {"declared_service", Declared.Service.value()},
       {"found", Hello.Server.value()},
       {"found_generation", Hello.ServerGeneration.value()},
       {"found_service", Hello.Service.value()}});
  return false;
}

void Channel::admit(const wire::ServerHello &Hello) {
  const TimePoint Now = Clock::now();
  FailedConnects = 0;
  const auto Service = Owner.lock();
  AnnouncedSlots = Hello.Slots;
  recordConnected(Load, std::min(AnnouncedSlots, Declared.Slots),
                  Service ? Service->usagePerSlot(Now) : 0, Now);
  Load.Draining = Declared.Draining || Retired;
  if (AnnouncedDraining)
    Load.HoldUntil = Now + ReturnHold;
  AnnouncedDraining = false;
  log(LogLevel::Info, "server_connected",
      {{"server", Declared.Name.value()}, {"address", Declared.Address}});
  notifyOwner();
}

Task<> Channel::receiveAll() {
  const WebSocket::Pointer Connection = Link;
  while (true) {
    auto Received = co_await Connection->receive();
    if (!Received && Received.error().Code == ErrorCode::Invalid)
      continue;
    if (!Received)
      co_return;
    handleMessage(*Received, Connection->peer());
    closeIfIdle();
  }
}

void Channel::handleMessage(const Json &Received, const std::string &Peer) {
  auto Message = wire::decodeServerMessage(Received, Peer);
  if (!Message) {
    log(LogLevel::Warn, "server_message_invalid",
        {{"server", Declared.Name.value()},
         {"error", describe(Message.error())}});
    return;
  }
  std::visit([this](const auto &Value) { handle(Value); }, *Message);
}

Task<> Channel::backOff(bool Mismatch) {
  if (Closed)
    co_return;
  const unsigned Doublings = std::min(FailedConnects, 6U);
  const Milliseconds Full =
      Mismatch ? MismatchBackOff
               : std::min(MaxBackOff, MinBackOff * (1U << Doublings));
  const double Jitter = 0.5 + 0.5 * randomUnit(Random);
  const auto Delay = std::chrono::duration_cast<Clock::duration>(Full * Jitter);
  co_await Stopped.waitUntil(Clock::now() + Delay);
}

void Channel::dropAll() {
  if (Link)
    Link->close();
  Link.reset();
  if (!Runs.empty() && !Closed)
    noteFailure();
  Load.Connected = false;
  Load.InFlight = 0;
  for (auto &[Id, Run] : std::exchange(Runs, {}))
    finish(*Run, RunReply{.End = RunReply::Kind::Lost});
  for (auto &[Id, Receiver] : std::exchange(Receivers, {}))
    if (auto Live = Receiver.lock())
      Live->onEnded();
  closeIfIdle();
}

bool Channel::matches(const config::BackendServer &Declaration) const {
  return Declaration.Name == Declared.Name &&
         Declaration.Service == Declared.Service &&
         Declaration.Address == Declared.Address &&
         Declaration.ServerGeneration == Declared.ServerGeneration;
}

void Channel::update(const config::BackendServer &Declaration) {
  const bool WasDraining = isDraining();
  Declared = Declaration;
  Load.Slots = Load.Connected ? std::min(AnnouncedSlots, Declared.Slots)
                              : Declared.Slots;
  if (isDraining())
    return startDrain();
  const auto Service = Owner.lock();
  const TimePoint Now = Clock::now();
  Load.Draining = false;
  if (WasDraining && Service)
    readmit(Load, Service->usagePerSlot(Now), Now);
}

bool Channel::isDraining() const {
  return Declared.Draining || AnnouncedDraining || Retired;
}

void Channel::startDrain() {
  Load.Draining = true;
  for (auto &[Id, Receiver] : std::map(Receivers))
    if (auto Live = Receiver.lock())
      Live->onDraining();
}

std::shared_ptr<ActiveRun> Channel::run(const Job &Work, TimePoint Now,
                                        std::shared_ptr<CancelSignal> Owner) {
  const wire::RunCommand Command{.Id = ++LastId,
                                 .Service = Work.Service,
                                 .Operation = Work.Operation,
                                 .Deadline = timeLeft(Work.Deadline, Now),
                                 .Body = Work.Body};
  if (!Link || !Link->send(wire::encode(wire::ServerCommand(Command)))) {
    Load.HoldUntil = Now + SendQueueHold;
    return nullptr;
  }
  auto Run = std::make_shared<ActiveRun>(
      ActiveRun{.Id = Command.Id, .SentAt = Now, .Owner = std::move(Owner)});
  Runs.emplace(Command.Id, Run);
  recordSent(Load);
  return Run;
}

void Channel::abandon(const std::shared_ptr<ActiveRun> &Run, bool Overrun) {
  if (!Link || !Runs.contains(Run->Id))
    return;
  Run->Abandoned = true;
  Link->send(
      wire::encode(wire::ServerCommand(wire::CancelCommand{.Id = Run->Id})));
  if (Overrun)
    noteOverrun(*Run);
  spawn(Where, "release_slot", releaseSlotLater(shared_from_this(), Run->Id));
}

Task<> Channel::releaseSlotLater(std::shared_ptr<Channel> Self,
                                 std::uint64_t Id) {
  const TimePoint Until = Clock::now() + AbandonedSlotTime;
  const bool Ended = co_await Self->Stopped.waitUntil(Until);
  if (!Ended)
    Self->releaseSlot(Id);
}

// Not a part of the coroutine: g++ 12 lays out the frame of a coroutine wrongly
// if its body has an initializer list such as that of log().
void Channel::releaseSlot(std::uint64_t Id) {
  if (!takeRun(Id))
    return;
  log(LogLevel::Warn, "server_ignores_cancel",
      {{"server", Declared.Name.value()}});
  recordCancelled(Load);
  notifyOwner();
}

void Channel::noteOverrun(const ActiveRun &Run) {
  ++Counters->Overruns;
  const std::chrono::duration<double, std::milli> Age =
      Clock::now() - Run.SentAt;
  if (Age.count() >= OverrunServiceTimes * expectedServiceTime(Load))
    noteFailure();
}

void Channel::noteFailure() {
  const TimePoint Now = Clock::now();
  if (!recordFailure(Health, Now, Random))
    return;
  ++Counters->Ejections;
  const auto Service = Owner.lock();
  readmit(Load, Service ? Service->usagePerSlot(Now) : 0,
          Health.UnhealthyUntil);
  log(LogLevel::Warn, "server_unhealthy",
      {{"server", Declared.Name.value()},
       {"failures", Health.ConsecutiveFailures}});
}

void Channel::notifyOwner() {
  if (const auto Service = Owner.lock())
    Service->onServerChanged();
}

std::uint64_t Channel::subscribe(const SubscriptionRequest &Wanted,
                                 Sequence After,
                                 std::weak_ptr<EventReceiver> Receiver) {
  const wire::SubscribeCommand Command{.Id = ++LastId,
                                       .Service = Wanted.Service,
                                       .Operation = Wanted.Operation,
                                       .After = After};
  if (!Link || !Link->send(wire::encode(wire::ServerCommand(Command))))
    return 0;
  Receivers.emplace(Command.Id, std::move(Receiver));
  return Command.Id;
}

void Channel::unsubscribe(std::uint64_t Id) {
  if (Receivers.erase(Id) != 0 && Link)
    Link->send(
        wire::encode(wire::ServerCommand(wire::UnsubscribeCommand{.Id = Id})));
  closeIfIdle();
}

void Channel::retire() {
  Retired = true;
  startDrain();
  closeIfIdle();
}

void Channel::closeIfIdle() {
  if (Retired && Runs.empty() && Receivers.empty())
    close();
}

void Channel::close() {
  if (Closed)
    return;
  Closed = true;
  if (Link)
    Link->close();
  Stopped.notifyAll();
}

Affinity Channel::affinity() const {
  return Affinity{.Server = Declared.Name,
                  .ServerGeneration = Declared.ServerGeneration};
}

ServerStatus Channel::status(bool Ejected) const {
  const char *State = !Load.Connected ? "connecting"
                      : Load.Draining ? "draining"
                      : Ejected       ? "ejected"
                                      : "connected";
  return ServerStatus{
      .Server = Declared.Name,
      .Service = Declared.Service,
      .State = State,
      .InFlight = Load.InFlight,
      .Subscriptions = static_cast<std::uint32_t>(Receivers.size()),
      .ServiceTime =
          Milliseconds(static_cast<std::int64_t>(Load.ServiceTimeMs))};
}

std::shared_ptr<ActiveRun> Channel::takeRun(std::uint64_t Id) {
  auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return nullptr;
  auto Run = std::move(Found->second);
  Runs.erase(Found);
  return Run;
}

void Channel::finish(ActiveRun &Run, RunReply Reply) {
  Run.Reply = std::move(Reply);
  Run.Owner->Changed.notifyAll();
}

void Channel::handle(const wire::ServerHello & /*Message*/) {}

void Channel::handle(const wire::ServerDone &Message) {
  auto Run = takeRun(Message.Id);
  if (!Run) {
    ++Counters->StrayAnswers;
    return;
  }
  const TimePoint Now = Clock::now();
  recordDone(Load, Message.Ok, Now - Run->SentAt, Now);
  if (Message.Ok)
    recordSuccess(Health, Now);
  else
    noteFailure();
  finish(*Run, RunReply{.End = RunReply::Kind::Done,
                        .Ok = Message.Ok,
                        .Body = Message.Body});
  notifyOwner();
}

void Channel::handle(const wire::ServerRefused &Message) {
  if (endSubscription(Message.Id))
    return;
  auto Run = takeRun(Message.Id);
  if (!Run) {
    ++Counters->StrayAnswers;
    return;
  }
  ++Counters->Refusals;
  recordRefused(Load, Message.Reason, Clock::now(), Random);
  if (Message.Reason == wire::Refusal::Draining && !AnnouncedDraining)
    handle(wire::ServerDraining{});
  if (Message.Reason == wire::Refusal::WrongService)
    noteFailure();
  finish(*Run, RunReply{.End = RunReply::Kind::NotStarted});
}

void Channel::handle(const wire::ServerCancelled &Message) {
  auto Run = takeRun(Message.Id);
  if (!Run) {
    ++Counters->StrayAnswers;
    return;
  }
  recordCancelled(Load);
  if (!Run->Abandoned)
    noteOverrun(*Run);
  finish(*Run, RunReply{.End = Message.Started ? RunReply::Kind::GivenUp
                                               : RunReply::Kind::NotStarted});
  notifyOwner();
}

void Channel::handle(const wire::ServerEvent &Message) {
  auto Found = Receivers.find(Message.Id);
  if (Found == Receivers.end())
    return;
  if (auto Live = Found->second.lock())
    Live->onEvent(Message.Number, Message.Body);
}

void Channel::handle(const wire::ServerEnded &Message) {
  endSubscription(Message.Id);
}

bool Channel::endSubscription(std::uint64_t Id) {
  auto Found = Receivers.find(Id);
  if (Found == Receivers.end())
    return false;
  auto Live = Found->second.lock();
  Receivers.erase(Found);
  if (Live)
    Live->onEnded();
  return true;
}

void Channel::handle(const wire::ServerDraining & /*Message*/) {
  AnnouncedDraining = true;
  log(LogLevel::Info, "server_draining", {{"server", Declared.Name.value()}});
  startDrain();
}

} // namespace buckthorndeck::routing
