#include "buckthorndeck/routing/internal/Channel.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/routing/internal/CancelSignal.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace buckthorndeck::routing {

namespace {

constexpr Milliseconds HelloTimeout{2000};
constexpr Milliseconds MinReconnectBackOff{50};
constexpr Milliseconds MaxReconnectBackOff{2000};
//! Longer than other back-offs: an operator has to correct the address of a
//! server that is not the declared one.
constexpr Milliseconds MismatchBackOff{5000};
//! A server that announced `draining` and was connected again may announce it
//! once more right after `hello`, so it gets no request for this time.
constexpr Milliseconds AfterDrainBackOff{500};
//! Back-off of a server whose connection cannot queue another message.
constexpr Milliseconds SendQueueFullBackOff{50};
//! The slot of a request whose `cancel` the server does not answer counts as
//! free after this time. If it is still in use, the server refuses the next
//! request.
constexpr Milliseconds AbandonedSlotTimeout{10'000};
//! An overrun counts as a failure only if the request had run for at least this
//! many mean service times; an earlier deadline was too short for any server.
constexpr double MinOverrunServiceTimes = 2;

Milliseconds timeLeft(TimePoint Deadline, TimePoint Now) {
  const auto Left = std::chrono::duration_cast<Milliseconds>(Deadline - Now);
  return std::clamp(Left, Milliseconds(0), Milliseconds(wire::MaxDeadline));
}

} // namespace

Channel::Channel(const Executor &Where, ServiceServer Server,
                 std::uint64_t Seed, std::weak_ptr<ChannelDelegate> Delegate,
                 std::shared_ptr<DispatcherCounters> Counters)
    : Where(Where), Declared(std::move(Server.Declared)),
      FailureDomain(std::move(Server.FailureDomain)), Random(Seed),
      Delegate(std::move(Delegate)), Counters(std::move(Counters)),
      Stopped(Where) {
  Load.Slots = this->Declared.Slots;
  Load.Draining = this->Declared.Draining;
  Load.Evacuated = Server.Evacuated;
}

Task<> Channel::serve(std::shared_ptr<Channel> Self) {
  while (!Self->Closed) {
    auto Hello = co_await Self->connect();
    if (Self->Closed)
      break;
    const bool Mismatch = Hello && !Self->isExpected(*Hello);
    if (Hello && !Mismatch) {
      Self->markConnected(*Hello);
      co_await Self->receiveUntilClosed();
    } else {
      ++Self->FailedConnections;
    }
    Self->handleConnectionEnd();
    co_await Self->backOff(Mismatch);
  }
  Self->handleConnectionEnd();
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
                             .Message = "the server's first message must be "
                                        "hello, but it sent another message"});
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

void Channel::markConnected(const wire::ServerHello &Hello) {
  const TimePoint Now = Clock::now();
  FailedConnections = 0;
  const auto Service = Delegate.lock();
  AnnouncedSlots = Hello.Slots;
  recordConnected(Load, std::min(AnnouncedSlots, Declared.Slots),
                  Service ? Service->usagePerSlot(Now) : 0, Now);
  Load.Draining = Declared.Draining || Retired;
  if (AnnouncedDraining)
    Load.BackOffUntil = Now + AfterDrainBackOff;
  AnnouncedDraining = false;
  log(LogLevel::Info, "server_connected",
      {{"server", Declared.Name.value()}, {"address", Declared.Address}});
  notifyDelegate();
}

Task<> Channel::receiveUntilClosed() {
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
  const unsigned Doublings = std::min(FailedConnections, 6U);
  const Milliseconds Full =
      Mismatch ? MismatchBackOff
               : std::min(MaxReconnectBackOff,
                          MinReconnectBackOff * (1U << Doublings));
  const double Jitter = 0.5 + 0.5 * randomUnit(Random);
  const auto Delay = std::chrono::duration_cast<Clock::duration>(Full * Jitter);
  co_await Stopped.waitUntil(Clock::now() + Delay);
}

void Channel::handleConnectionEnd() {
  if (Link)
    Link->close();
  Link.reset();
  if (!Attempts.empty() && !Closed)
    recordServerFailure();
  Load.Connected = false;
  Load.InFlight = 0;
  for (auto &[Id, Attempt] : std::exchange(Attempts, {}))
    finish(*Attempt,
           AttemptResult{.Ending = AttemptResult::Kind::ConnectionLost});
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

void Channel::update(const ServiceServer &Server, double UsagePerSlot) {
  const bool TookNoWork = isDraining() || Load.Evacuated;
  Declared = Server.Declared;
  FailureDomain = Server.FailureDomain;
  Load.Evacuated = Server.Evacuated;
  Load.Slots = Load.Connected ? std::min(AnnouncedSlots, Declared.Slots)
                              : Declared.Slots;
  Load.Draining = isDraining();
  if (Load.Draining || Load.Evacuated)
    return moveSubscriptions();
  if (TookNoWork)
    restartSlowStart(Load, UsagePerSlot, Clock::now());
}

bool Channel::isDraining() const {
  return Declared.Draining || AnnouncedDraining || Retired;
}

void Channel::startDrain() {
  Load.Draining = true;
  moveSubscriptions();
}

void Channel::moveSubscriptions() {
  for (auto &[Id, Receiver] : std::map(Receivers))
    if (auto Live = Receiver.lock())
      Live->onDraining();
}

std::shared_ptr<RequestAttempt>
Channel::sendRequest(const Job &Request, TimePoint Now,
                     std::shared_ptr<CancelSignal> Signal) {
  const wire::RunCommand Command{.Id = ++LastId,
                                 .Service = Request.Service,
                                 .Operation = Request.Operation,
                                 .Deadline = timeLeft(Request.Deadline, Now),
                                 .Body = Request.Body};
  if (!Link || !Link->send(wire::encode(wire::ServerCommand(Command)))) {
    Load.BackOffUntil = Now + SendQueueFullBackOff;
    return nullptr;
  }
  auto Attempt = std::make_shared<RequestAttempt>(RequestAttempt{
      .Id = Command.Id, .SentAt = Now, .Signal = std::move(Signal)});
  Attempts.emplace(Command.Id, Attempt);
  recordSent(Load);
  return Attempt;
}

void Channel::abandon(const std::shared_ptr<RequestAttempt> &Attempt,
                      bool DeadlineOverrun) {
  if (!Link || !Attempts.contains(Attempt->Id))
    return;
  Attempt->Abandoned = true;
  Link->send(wire::encode(
      wire::ServerCommand(wire::CancelCommand{.Id = Attempt->Id})));
  if (DeadlineOverrun)
    recordDeadlineOverrun(*Attempt);
  spawn(Where, "release_slot",
        releaseSlotAfterTimeout(shared_from_this(), Attempt->Id));
}

Task<> Channel::releaseSlotAfterTimeout(std::shared_ptr<Channel> Self,
                                        std::uint64_t Id) {
  const TimePoint Until = Clock::now() + AbandonedSlotTimeout;
  const bool Ended = co_await Self->Stopped.waitUntil(Until);
  if (!Ended)
    Self->releaseSlot(Id);
}

// Not part of the coroutine above: g++ 12 lays out a coroutine frame wrongly if
// its body contains an initializer list, such as that of log().
void Channel::releaseSlot(std::uint64_t Id) {
  if (!takeAttempt(Id))
    return;
  log(LogLevel::Warn, "server_ignores_cancel",
      {{"server", Declared.Name.value()}});
  recordCancelled(Load);
  notifyDelegate();
}

void Channel::recordDeadlineOverrun(const RequestAttempt &Attempt) {
  ++Counters->DeadlineOverruns;
  const std::chrono::duration<double, std::milli> Age =
      Clock::now() - Attempt.SentAt;
  if (Age.count() >= MinOverrunServiceTimes * expectedServiceTime(Load))
    recordServerFailure();
}

void Channel::recordServerFailure() {
  const TimePoint Now = Clock::now();
  if (!recordFailure(Health, Now, Random))
    return;
  ++Counters->Ejections;
  const auto Service = Delegate.lock();
  restartSlowStart(Load, Service ? Service->usagePerSlot(Now) : 0,
                   Health.UnhealthyUntil);
  log(LogLevel::Warn, "server_unhealthy",
      {{"server", Declared.Name.value()},
       {"failures", Health.ConsecutiveFailures}});
}

void Channel::notifyDelegate() {
  if (const auto Service = Delegate.lock())
    Service->onServerChanged();
}

std::uint64_t Channel::subscribe(const SubscriptionRequest &Request,
                                 Sequence After,
                                 std::weak_ptr<EventReceiver> Receiver) {
  const wire::SubscribeCommand Command{.Id = ++LastId,
                                       .Service = Request.Service,
                                       .Operation = Request.Operation,
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
  if (Retired && Attempts.empty() && Receivers.empty())
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
  const char *State = !Load.Connected  ? "connecting"
                      : Load.Evacuated ? "evacuated"
                      : Load.Draining  ? "draining"
                      : Ejected        ? "ejected"
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

std::shared_ptr<RequestAttempt> Channel::takeAttempt(std::uint64_t Id) {
  auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return nullptr;
  auto Attempt = std::move(Found->second);
  Attempts.erase(Found);
  return Attempt;
}

void Channel::finish(RequestAttempt &Attempt, AttemptResult Result) {
  Attempt.Result = std::move(Result);
  Attempt.Signal->Changed.notifyAll();
}

void Channel::handle(const wire::ServerHello & /*Message*/) {}

void Channel::handle(const wire::ServerDone &Message) {
  auto Attempt = takeAttempt(Message.Id);
  if (!Attempt) {
    ++Counters->UnmatchedAnswers;
    return;
  }
  const TimePoint Now = Clock::now();
  recordDone(Load, Message.Ok, Now - Attempt->SentAt, Now);
  if (Message.Ok)
    recordSuccess(Health, Now);
  else
    recordServerFailure();
  finish(*Attempt, AttemptResult{.Ending = AttemptResult::Kind::Done,
                                 .Ok = Message.Ok,
                                 .Body = Message.Body});
  notifyDelegate();
}

void Channel::handle(const wire::ServerRefused &Message) {
  if (endSubscription(Message.Id))
    return;
  auto Attempt = takeAttempt(Message.Id);
  if (!Attempt) {
    ++Counters->UnmatchedAnswers;
    return;
  }
  ++Counters->Refusals;
  recordRefused(Load, Message.Reason, Clock::now(), Random);
  if (Message.Reason == wire::Refusal::Draining && !AnnouncedDraining)
    handle(wire::ServerDraining{});
  if (Message.Reason == wire::Refusal::WrongService)
    recordServerFailure();
  finish(*Attempt, AttemptResult{.Ending = AttemptResult::Kind::NotStarted});
}

void Channel::handle(const wire::ServerCancelled &Message) {
  auto Attempt = takeAttempt(Message.Id);
  if (!Attempt) {
    ++Counters->UnmatchedAnswers;
    return;
  }
  recordCancelled(Load);
  if (!Attempt->Abandoned)
    recordDeadlineOverrun(*Attempt);
  finish(*Attempt,
         AttemptResult{.Ending = Message.Started
                                     ? AttemptResult::Kind::Aborted
                                     : AttemptResult::Kind::NotStarted});
  notifyDelegate();
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
