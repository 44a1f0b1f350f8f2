#include "buckthorndeck/standins/BackendServer.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/net/HttpServer.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/WebSocket.h"
#include "buckthorndeck/standins/GeneratedBody.h"
#include "buckthorndeck/wire/Datagram.h"
#include "buckthorndeck/wire/ServerMessage.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fstream>
#include <set>

namespace buckthorndeck::standins {

namespace {

//! Events sent in a row to a subscriber that is behind, so that a long
//! catch-up does not fill the connection's queue.
constexpr unsigned CatchUpBatch = 50;
constexpr Milliseconds CatchUpPause{1};
//! Pause before another try when a connection's queue is full.
constexpr Milliseconds QueueFullPause{10};

Milliseconds wallClock() {
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

//! A run or a subscription of one connection.
struct Activity {
  explicit Activity(const Executor &Where) : Wake(Where) {}

  Notifier Wake;
  bool Cancelled = false;
  bool Released = false;
};

struct Channel {
  WebSocket::Pointer Socket;
  std::map<std::uint64_t, std::shared_ptr<Activity>> Runs;
  std::map<std::uint64_t, std::shared_ptr<Activity>> Feeds;
  bool Ended = false;
};

//! What the health endpoint reports, since when.
struct LoadSnapshot {
  TimePoint Since;
  std::string Status;
  std::uint32_t InUse = 0;
  std::uint32_t Subscriptions = 0;
};

} // namespace

struct BackendServer::State {
  State(const Executor &Where, BackendServerOptions Options,
        WebSocketListener Listener)
      : Where(Where), Options(std::move(Options)),
        Listener(std::move(Listener)), Random(this->Options.RandomSeed),
        Changed(Where), Started(Clock::now()) {}

  Executor Where;
  BackendServerOptions Options;
  WebSocketListener Listener;
  std::optional<HttpServer> Health;
  RandomEngine Random;
  Notifier Changed;
  TimePoint Started;
  std::ofstream RunLog;
  std::vector<RunRecord> Runs;
  std::set<std::shared_ptr<Channel>> Channels;
  std::set<std::shared_ptr<Activity>> HeldRuns;
  std::deque<LoadSnapshot> History;
  std::uint32_t InUse = 0;
  std::uint32_t Subscriptions = 0;
  std::uint64_t Refusals = 0;
  std::uint64_t Cancellations = 0;
  bool Draining = false;
  bool Warm = false;
  bool Stopped = false;

  bool cold() const {
    if (Warm || Options.Cold == ColdStart::None)
      return false;
    return !Options.ColdFor || Clock::now() - Started < *Options.ColdFor;
  }

  std::string status() const {
    if (Draining)
      return "draining";
    return cold() ? "cold" : "ok";
  }

  //! Wakes those who wait and adds to what the health endpoint may report.
  void changed() {
    const TimePoint Now = Clock::now();
    History.push_back({Now, status(), InUse, Subscriptions});
    while (History.size() > 1 && History[1].Since <= Now - Options.HealthLag)
      History.pop_front();
    Changed.notifyAll();
  }

  std::uint64_t latestEvent() const {
    const Milliseconds Age = wallClock() - Options.EventEpoch;
    return Age.count() < 0 ? 0 : Age / Options.EventInterval;
  }

  OperationBehaviour behaviour(const std::string &Operation) const {
    const auto Found = Options.Operations.find(Operation);
    return Found == Options.Operations.end() ? OperationBehaviour{}
                                             : Found->second;
  }

  Milliseconds serviceTime(const OperationBehaviour &Behaviour) {
    double Ms = drawMs(Behaviour.Time.value_or(Options.Time), Random) /
                Options.SpeedFactor;
    if (Options.Cold == ColdStart::Slow && cold())
      Ms *= Options.ColdSlowdown;
    return Milliseconds(std::llround(Ms));
  }

  std::optional<wire::Refusal> refusal(const ObjectName &Service,
                                       bool Full) const {
    if (Service != Options.Service)
      return wire::Refusal::WrongService;
    if (Draining)
      return wire::Refusal::Draining;
    if (Options.Cold == ColdStart::Refuse && cold())
      return wire::Refusal::Cold;
    if (Full)
      return wire::Refusal::Busy;
    return std::nullopt;
  }

  void refuse(Channel &Link, std::uint64_t Id, wire::Refusal Reason) {
    ++Refusals;
    Link.Socket->send(encode(
        wire::ServerMessage(wire::ServerRefused{.Id = Id, .Reason = Reason})));
  }

  void record(const wire::RunCommand &Command) {
    const RunRecord Entry{.Service = Command.Service,
                          .Operation = Command.Operation,
                          .BodyDigest = digestOf(Command.Body),
                          .StartedAt = wallClock(),
                          .Server = Options.Name};
    Runs.push_back(Entry);
    if (!RunLog.is_open())
      return;
    const Json Line = {
        {"time_ms", Entry.StartedAt.count()}, {"server", Entry.Server.value()},
        {"service", Entry.Service.value()},   {"operation", Entry.Operation},
        {"digest", Entry.BodyDigest.value()}, {"bytes", Command.Body.size()}};
    RunLog << Line.dump() << std::endl;
  }

  static void startRun(const std::shared_ptr<State> &Self,
                       const std::shared_ptr<Channel> &Link,
                       wire::RunCommand Command);
  static void startFeed(const std::shared_ptr<State> &Self,
                        const std::shared_ptr<Channel> &Link,
                        wire::SubscribeCommand Command);
  static Task<> run(std::shared_ptr<State> Self, std::shared_ptr<Channel> Link,
                    std::shared_ptr<Activity> Job, wire::RunCommand Command);
  static Task<> feed(std::shared_ptr<State> Self, std::shared_ptr<Channel> Link,
                     std::shared_ptr<Activity> Job,
                     wire::SubscribeCommand Command);
  static Task<> serveChannel(std::shared_ptr<State> Self,
                             WebSocket::Pointer Socket);
  static Task<std::optional<HttpResponse>>
  serveHealth(std::shared_ptr<State> Self, HttpRequest Request);

  void disconnect() {
    for (const auto &Link : Channels)
      Link->Socket->close();
  }
};

void BackendServer::State::startRun(const std::shared_ptr<State> &Self,
                                    const std::shared_ptr<Channel> &Link,
                                    wire::RunCommand Command) {
  const bool Full = Self->InUse >= Self->Options.Slots;
  if (const auto Reason = Self->refusal(Command.Service, Full)) {
    Self->refuse(*Link, Command.Id, *Reason);
    return;
  }
  if (Command.Deadline.count() == 0) {
    ++Self->Cancellations;
    Link->Socket->send(encode(wire::ServerMessage(
        wire::ServerCancelled{.Id = Command.Id, .Started = false})));
    return;
  }
  ++Self->InUse;
  Self->record(Command);
  Self->changed();
  auto Job = std::make_shared<Activity>(Self->Where);
  Link->Runs[Command.Id] = Job;
  spawn(Self->Where, "standin_run", run(Self, Link, Job, std::move(Command)));
}

Task<> BackendServer::State::run(std::shared_ptr<State> Self,
                                 std::shared_ptr<Channel> Link,
                                 std::shared_ptr<Activity> Job,
                                 wire::RunCommand Command) {
  const OperationBehaviour Behaviour = Self->behaviour(Command.Operation);
  const TimePoint Now = Clock::now();
  const TimePoint Deadline = Now + Command.Deadline;
  const TimePoint End =
      Behaviour.Held ? TimePoint::max() : Now + Self->serviceTime(Behaviour);
  if (Behaviour.Held)
    Self->HeldRuns.insert(Job);
  bool Expired = false;
  while (!Job->Cancelled && !Job->Released && !Expired && Clock::now() < End)
    if (!co_await Job->Wake.waitUntil(std::min(Deadline, End)))
      Expired = Deadline < End;
  Self->HeldRuns.erase(Job);

  // The slot is free before the entry host learns of it, so that a request
  // sent in reply is not refused.
  --Self->InUse;
  Link->Runs.erase(Command.Id);
  if (Job->Cancelled || Expired) {
    ++Self->Cancellations;
    Link->Socket->send(encode(wire::ServerMessage(
        wire::ServerCancelled{.Id = Command.Id, .Started = true})));
  } else {
    wire::ServerDone Done{.Id = Command.Id, .Ok = !Behaviour.Fails};
    if (Behaviour.Fails)
      Done.Body = toBytes("the operation fails by setting");
    else if (Behaviour.Body == AnswerBody::Echo)
      Done.Body = std::move(Command.Body);
    else if (Behaviour.Body == AnswerBody::Fixed)
      Done.Body = toBytes(Behaviour.Text);
    else
      Done.Body =
          generatedAnswer(Behaviour.Seed, Command.Body, Behaviour.Length);
    Link->Socket->send(encode(wire::ServerMessage(std::move(Done))));
  }
  Self->changed();
}

void BackendServer::State::startFeed(const std::shared_ptr<State> &Self,
                                     const std::shared_ptr<Channel> &Link,
                                     wire::SubscribeCommand Command) {
  const bool Full = Self->Subscriptions >= Self->Options.MaxSubscriptions;
  if (const auto Reason = Self->refusal(Command.Service, Full)) {
    Self->refuse(*Link, Command.Id, *Reason);
    return;
  }
  ++Self->Subscriptions;
  Self->changed();
  auto Job = std::make_shared<Activity>(Self->Where);
  Link->Feeds[Command.Id] = Job;
  spawn(Self->Where, "standin_feed", feed(Self, Link, Job, std::move(Command)));
}

Task<> BackendServer::State::feed(std::shared_ptr<State> Self,
                                  std::shared_ptr<Channel> Link,
                                  std::shared_ptr<Activity> Job,
                                  wire::SubscribeCommand Command) {
  std::uint64_t Next = Command.After.value() + 1;
  unsigned InBatch = 0;
  while (!Job->Cancelled) {
    if (Next > Self->latestEvent()) {
      const Milliseconds Due =
          Self->Options.EventEpoch + Next * Self->Options.EventInterval;
      InBatch = 0;
      co_await Job->Wake.waitUntil(Clock::now() + (Due - wallClock()));
    } else if (++InBatch > CatchUpBatch) {
      InBatch = 0;
      co_await Job->Wake.waitUntil(Clock::now() + CatchUpPause);
    } else if (Link->Socket->send(encode(wire::ServerMessage(wire::ServerEvent{
                   .Id = Command.Id,
                   .Number = Sequence(Next),
                   .Body = eventBody(Command.Operation, Sequence(Next))})))) {
      ++Next;
    } else {
      co_await Job->Wake.waitUntil(Clock::now() + QueueFullPause);
    }
  }
  --Self->Subscriptions;
  Link->Feeds.erase(Command.Id);
  Self->changed();
}

Task<> BackendServer::State::serveChannel(std::shared_ptr<State> Self,
                                          WebSocket::Pointer Socket) {
  auto Link = std::make_shared<Channel>();
  Link->Socket = Socket;
  Self->Channels.insert(Link);
  Socket->send(encode(wire::ServerMessage(
      wire::ServerHello{.Server = Self->Options.Name,
                        .ServerGeneration = Self->Options.ServerGeneration,
                        .Service = Self->Options.Service,
                        .Slots = Self->Options.Slots})));
  if (Self->Draining)
    Socket->send(encode(wire::ServerMessage(wire::ServerDraining{})));
  while (true) {
    auto Fields = co_await Socket->receive();
    if (!Fields && Fields.error().Code != ErrorCode::Invalid)
      break;
    auto Command = Fields ? wire::decodeServerCommand(*Fields, Socket->peer())
                          : Unexpected(Fields.error());
    if (!Command) {
      log(LogLevel::Warn, "bad_command",
          {{"error", describe(Command.error())}});
      continue;
    }
    if (auto *Run = std::get_if<wire::RunCommand>(&*Command)) {
      startRun(Self, Link, std::move(*Run));
    } else if (auto *Subscribe =
                   std::get_if<wire::SubscribeCommand>(&*Command)) {
      startFeed(Self, Link, std::move(*Subscribe));
    } else {
      const auto *Cancel = std::get_if<wire::CancelCommand>(&*Command);
      const auto &Jobs = Cancel ? Link->Runs : Link->Feeds;
      const std::uint64_t Id =
          Cancel ? Cancel->Id : std::get<wire::UnsubscribeCommand>(*Command).Id;
      // An unknown id belongs to a request that has just ended.
      if (const auto Found = Jobs.find(Id); Found != Jobs.end()) {
        Found->second->Cancelled = true;
        Found->second->Wake.notifyAll();
      }
    }
  }
  for (const auto &[Id, Feed] : Link->Feeds) {
    Feed->Cancelled = true;
    Feed->Wake.notifyAll();
  }
  Self->Channels.erase(Link);
}

Task<std::optional<HttpResponse>>
BackendServer::State::serveHealth(std::shared_ptr<State> Self,
                                  HttpRequest Request) {
  if (Request.Method != "GET" ||
      (Request.Target != "/health" && Request.Target != "/load"))
    co_return HttpResponse{.Status = 404};
  const TimePoint Reported = Clock::now() - Self->Options.HealthLag;
  LoadSnapshot Shown = Self->History.front();
  for (const LoadSnapshot &Entry : Self->History)
    if (Entry.Since <= Reported)
      Shown = Entry;
  if (Self->Options.HealthLag.count() == 0)
    Shown.Status = Self->status();
  if (Self->Options.HealthLie) {
    Shown.Status = Self->Options.HealthLie->Status;
    Shown.InUse = Self->Options.HealthLie->InUse;
  }
  const Json Body = {{"server", Self->Options.Name.value()},
                     {"status", Shown.Status},
                     {"in_use", Shown.InUse},
                     {"slots", Self->Options.Slots},
                     {"subscriptions", Shown.Subscriptions}};
  co_return HttpResponse{.Body = Body.dump()};
}

BackendServer::BackendServer(std::shared_ptr<State> Shared)
    : Shared(std::move(Shared)) {}

BackendServer::~BackendServer() {
  if (Shared)
    stop();
}

Expected<BackendServer> BackendServer::start(const Executor &Where,
                                             BackendServerOptions Options) {
  auto Listener = WebSocketListener::bind(Where, Options.Listen);
  if (!Listener)
    return Unexpected(Listener.error());
  auto Shared =
      std::make_shared<State>(Where, std::move(Options), std::move(*Listener));
  if (!Shared->Options.RunLogFile.empty()) {
    Shared->RunLog.open(Shared->Options.RunLogFile, std::ios::app);
    if (!Shared->RunLog)
      return Unexpected(Error{.Code = ErrorCode::Invalid,
                              .Step = "open run log",
                              .Peer = Shared->Options.RunLogFile,
                              .Message = "the file cannot be written"});
  }
  if (Shared->Options.HealthListen) {
    auto Health = HttpServer::bind(Where, *Shared->Options.HealthListen);
    if (!Health)
      return Unexpected(Health.error());
    Shared->Health.emplace(std::move(*Health));
    spawn(Where, "standin_health",
          Shared->Health->serve([Shared](HttpRequest Request) {
            return State::serveHealth(Shared, std::move(Request));
          }));
  }
  Shared->changed();
  spawn(Where, "standin_server",
        Shared->Listener.serve([Shared](WebSocket::Pointer Socket) {
          return State::serveChannel(Shared, std::move(Socket));
        }));
  return BackendServer(std::move(Shared));
}

TcpEndpoint BackendServer::endpoint() const {
  return Shared->Listener.localEndpoint();
}

std::optional<TcpEndpoint> BackendServer::healthEndpoint() const {
  if (!Shared->Health)
    return std::nullopt;
  return Shared->Health->localEndpoint();
}

const BackendServerOptions &BackendServer::options() const {
  return Shared->Options;
}

void BackendServer::drain() {
  if (Shared->Draining)
    return;
  Shared->Draining = true;
  for (const auto &Link : Shared->Channels) {
    Link->Socket->send(encode(wire::ServerMessage(wire::ServerDraining{})));
    for (const auto &[Id, Feed] : Link->Feeds) {
      Link->Socket->send(encode(wire::ServerMessage(
          wire::ServerEnded{.Id = Id, .Reason = wire::Refusal::Draining})));
      Feed->Cancelled = true;
      Feed->Wake.notifyAll();
    }
  }
  Shared->changed();
}

void BackendServer::warmUp() {
  Shared->Warm = true;
  Shared->changed();
}

void BackendServer::setOperation(const std::string &Operation,
                                 OperationBehaviour Behaviour) {
  Shared->Options.Operations[Operation] = std::move(Behaviour);
}

void BackendServer::releaseRuns() {
  for (const auto &Job : Shared->HeldRuns) {
    Job->Released = true;
    Job->Wake.notifyAll();
  }
}

void BackendServer::disconnect() { Shared->disconnect(); }

void BackendServer::stop() {
  if (Shared->Stopped)
    return;
  Shared->Stopped = true;
  Shared->Listener.close();
  if (Shared->Health)
    Shared->Health->close();
  Shared->disconnect();
}

const std::vector<RunRecord> &BackendServer::runs() const {
  return Shared->Runs;
}

std::uint32_t BackendServer::runsInProgress() const { return Shared->InUse; }

std::uint32_t BackendServer::subscriptions() const {
  return Shared->Subscriptions;
}

std::uint64_t BackendServer::refusals() const { return Shared->Refusals; }

std::uint64_t BackendServer::cancellations() const {
  return Shared->Cancellations;
}

Sequence BackendServer::latestEvent() const {
  return Sequence(Shared->latestEvent());
}

Task<> BackendServer::waitForRuns(std::size_t Count) {
  const std::shared_ptr<State> Self = Shared;
  while (Self->Runs.size() < Count)
    co_await Self->Changed.wait();
}

Task<> BackendServer::waitForIdle() {
  const std::shared_ptr<State> Self = Shared;
  while (Self->InUse > 0)
    co_await Self->Changed.wait();
}

Task<> BackendServer::waitForSubscriptions(std::uint32_t Count) {
  const std::shared_ptr<State> Self = Shared;
  while (Self->Subscriptions != Count)
    co_await Self->Changed.wait();
}

} // namespace buckthorndeck::standins
