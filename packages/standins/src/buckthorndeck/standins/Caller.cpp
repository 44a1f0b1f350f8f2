#include "buckthorndeck/standins/Caller.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/UdpSocket.h"
#include "buckthorndeck/wire/Body.h"

#include <algorithm>
#include <deque>
#include <gsl/util>
#include <list>
#include <map>

namespace buckthorndeck::standins {

namespace {

//! An `open` that nobody waits for is given up after this long.
constexpr Milliseconds UnwantedOpenLimit{10'000};
//! First pause before a request is sent again as a new one; doubles.
constexpr Milliseconds FirstReopenPause{20};
constexpr Milliseconds MaxReopenPause{500};
//! Attempts without any sign of the home after which its token is given up.
constexpr std::uint32_t AttemptsBeforeReopen = 2;
//! Highest attempt number that the protocol carries.
constexpr std::uint32_t MaxAttempt = 1000;
//! Parts sent in a row, so that a large body does not overrun socket buffers.
constexpr unsigned PartsInRow = 32;
constexpr Milliseconds PartsPause{1};
//! Tokens remembered so that a late duplicate does not replace a newer one.
constexpr std::size_t RememberedTokens = 16;
//! Different answers to one request that are assembled side by side.
constexpr std::size_t MaxAssemblies = 4;
//! Events kept while earlier ones are missing.
constexpr std::size_t MaxEarlyEvents = 4096;
//! Least time between keepalives that are sent early because events are
//! missing.
constexpr Milliseconds EarlyKeepaliveGap{100};

struct HeldToken {
  Bytes Value;
  TimePoint TakenAt;
  Milliseconds Lifetime{0};
};

//! One answer that is being assembled. Two hosts may answer one request with
//! different bodies, whose parts must not be mixed.
struct Assembly {
  wire::Outcome Result = wire::Outcome::Unknown;
  std::string Reason;
  Digest BodyDigest;
  std::uint32_t Parts = 0;
  std::uint32_t TotalBytes = 0;
  wire::BodyAssembler Body;
};

//! A request that was sent and has no whole answer yet.
struct Pending {
  explicit Pending(const Executor &Where) : Wake(Where) {}

  Notifier Wake;
  Bytes Token; //!< The same for every attempt.
  std::list<Assembly> Assemblies;
  std::optional<TimePoint> LastPart; //!< Arrival of an answer's part.
  bool HomeHasAll = false; //!< Some home has accepted the whole request.
  bool Accepted = false;   //!< Accepted since the latest attempt.
  std::uint32_t Attempts = 0;
  std::uint32_t HighestAttempt = 0; //!< As numbered in the datagrams.
  bool Done = false;
  wire::Outcome Result = wire::Outcome::Unknown;
  std::string Reason;
  Bytes Body;
};

struct Feed {
  explicit Feed(const Executor &Where) : Wake(Where) {}

  Notifier Wake;
  SubscribeRequest Wanted;
  SubscriptionStatus Status;
  std::map<std::uint64_t, Bytes> Early;
  std::uint64_t HighestKnown = 0; //!< Highest event known to exist.
  std::optional<TimePoint> MissingSince;
  std::uint64_t ReportedGap = 0; //!< First missing event of the last report.
  TimePoint LastKeepalive;
  TimePoint LastPaced; //!< Last keepalive that was sent at the set pace.
  bool KeepaliveWanted = false;
};

Milliseconds remaining(TimePoint Deadline) {
  const auto Left =
      std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
  return std::clamp(Left, Milliseconds(0), wire::MaxDeadline);
}

} // namespace

struct Caller::State {
  State(const Executor &Where, CallerOptions Options, UdpSocket Socket)
      : Where(Where), Options(std::move(Options)), Socket(std::move(Socket)),
        Random(this->Options.RandomSeed),
        Flow(this->Options.Flow ? *this->Options.Flow : FlowId(Random())),
        TokenChanged(Where), Changed(Where),
        Subscription(std::make_shared<Feed>(Where)) {}

  Executor Where;
  CallerOptions Options;
  UdpSocket Socket;
  RandomEngine Random;
  FlowId Flow;
  CallerStats Stats;
  std::optional<HeldToken> Token;
  std::deque<Bytes> SeenTokens;
  std::uint64_t TokenSerial = 0; //!< Raised with each token taken.
  unsigned TokenWaiters = 0;
  bool Opening = false;
  TimePoint LastHeard; //!< Last valid datagram of this flow but welcomes.
  Notifier TokenChanged;
  Notifier Changed;
  std::uint64_t NextNumber = 1;
  std::map<std::uint64_t, std::shared_ptr<Pending>> InProgress;
  std::shared_ptr<Feed> Subscription;
  bool Stopped = false;

  void send(const wire::Datagram &Message) {
    // A datagram that the kernel does not take is like one that was lost.
    Socket.send(encode(Message), Options.Entry);
  }

  //! Shortens or lengthens a pause by up to a tenth, so that many callers do
  //! not retry in step.
  Milliseconds jittered(Milliseconds Pause) {
    const double Factor = 0.9 + 0.2 * randomUnit(Random);
    return Milliseconds(static_cast<Milliseconds::rep>(
        static_cast<double>(Pause.count()) * Factor));
  }

  // Tokens.

  bool tokenYoungerThan(double Part) const {
    if (!Token)
      return false;
    const auto Limit = std::chrono::duration<double, std::milli>(
        static_cast<double>(Token->Lifetime.count()) * Part);
    return Clock::now() - Token->TakenAt < Limit;
  }

  //! Returns false if the token is empty or was seen before. A late duplicate
  //! of an old welcome must not replace a newer token.
  bool takeToken(const Bytes &Value, Milliseconds Lifetime) {
    if (Value.empty() || std::find(SeenTokens.begin(), SeenTokens.end(),
                                   Value) != SeenTokens.end())
      return false;
    SeenTokens.push_back(Value);
    if (SeenTokens.size() > RememberedTokens)
      SeenTokens.pop_front();
    Token = HeldToken{
        .Value = Value, .TakenAt = Clock::now(), .Lifetime = Lifetime};
    ++TokenSerial;
    ++Stats.Tokens;
    TokenChanged.notifyAll();
    return true;
  }

  //! Gives up the token if it is still the one in use.
  void dropToken(const Bytes &Value) {
    if (Token && Token->Value == Value)
      Token.reset();
  }

  static void startOpening(const std::shared_ptr<State> &Self) {
    if (Self->Opening || Self->Stopped)
      return;
    Self->Opening = true;
    spawn(Self->Where, "caller_open", open(Self));
  }

  static Task<> open(std::shared_ptr<State> Self) {
    const std::uint64_t Before = Self->TokenSerial;
    const TimePoint Begin = Clock::now();
    Milliseconds Pause = Self->Options.OpenRetry;
    while (!Self->Stopped && Self->TokenSerial == Before &&
           (Self->TokenWaiters > 0 || Self->Subscription->Status.Open ||
            Clock::now() - Begin < UnwantedOpenLimit)) {
      Self->send(
          wire::Open{.Flow = Self->Flow, .Service = Self->Options.Service});
      co_await Self->TokenChanged.waitUntil(Clock::now() +
                                            Self->jittered(Pause));
      Pause = std::min(Pause * 2, Self->Options.MaxRetry);
    }
    Self->Opening = false;
  }

  //! A token that has some of its lifetime left.
  static Task<std::optional<Bytes>> acquireToken(std::shared_ptr<State> Self,
                                                 TimePoint Deadline) {
    ++Self->TokenWaiters;
    const auto Leave = gsl::finally([&] { --Self->TokenWaiters; });
    while (!Self->Stopped) {
      if (!Self->tokenYoungerThan(Self->Options.RefreshAt))
        startOpening(Self);
      if (Self->tokenYoungerThan(Self->Options.ExpireAt))
        co_return Self->Token->Value;
      if (!co_await Self->TokenChanged.waitUntil(Deadline))
        break;
    }
    co_return std::nullopt;
  }

  // Requests.

  static Task<> sendParts(std::shared_ptr<State> Self,
                          std::shared_ptr<Pending> Entry, wire::Request Request,
                          const std::vector<wire::BodyPart> *Parts,
                          TimePoint Deadline) {
    unsigned InRow = 0;
    for (const wire::BodyPart &Part : *Parts) {
      if (Entry->Done || Self->Stopped)
        co_return;
      if (++InRow > PartsInRow) {
        InRow = 0;
        co_await sleepFor(PartsPause);
      }
      Request.Deadline = remaining(Deadline);
      Request.Part = Part;
      Self->send(Request);
      // An answer shows that the home has the whole request; one part is then
      // enough to ask for the rest of the answer.
      if (Entry->LastPart || Entry->HomeHasAll)
        co_return;
    }
  }

  //! Sends one request until it has an outcome. Returns false if none came.
  static Task<bool> exchange(std::shared_ptr<State> Self,
                             std::shared_ptr<Pending> Entry,
                             wire::Request Request,
                             const std::vector<wire::BodyPart> *Parts,
                             TimePoint Deadline) {
    const TimePoint Begin = Clock::now();
    const TimePoint GiveUp = Deadline + Self->Options.AnswerGrace;
    Milliseconds Pause = Self->Options.FirstRetry;
    while (true) {
      ++Entry->Attempts;
      Entry->HighestAttempt = std::max(Entry->HighestAttempt, Request.Attempt);
      Entry->Accepted = false;
      co_await sendParts(Self, Entry, Request, Parts, Deadline);
      const TimePoint Sent = Clock::now();
      const Milliseconds Wait = Self->jittered(Pause);
      while (!Entry->Done && !Self->Stopped) {
        const TimePoint Quiet = std::max(Sent, Entry->LastPart.value_or(Sent));
        const TimePoint Until = std::min(Quiet + Wait, GiveUp);
        if (Clock::now() >= Until)
          break;
        co_await Entry->Wake.waitUntil(Until);
      }
      if (Entry->Done)
        co_return true;
      if (Self->Stopped || Clock::now() >= GiveUp)
        co_return false;
      Pause = std::min(Pause * 2, Self->Options.MaxRetry);
      // A home that answers is alive, so its attempts are counted anew.
      Request.Attempt =
          Entry->Accepted ? 2 : std::min(Request.Attempt + 1, MaxAttempt);
      if (Request.Attempt > AttemptsBeforeReopen && Self->LastHeard < Begin) {
        // Only later requests use the new token.
        Self->dropToken(Request.Token);
        startOpening(Self);
      }
    }
  }

  static Task<CallResult> call(std::shared_ptr<State> Self,
                               CallRequest Wanted) {
    const TimePoint Begin = Clock::now();
    const TimePoint Deadline = Begin + Wanted.Deadline;
    CallResult Result;
    const auto Settle = [&](wire::Outcome Outcome, const char *Reason) {
      Result.Result = Outcome;
      Result.Reason = Reason;
    };
    if (Wanted.Body.size() > wire::MaxBodyBytes) {
      Settle(wire::Outcome::NotRun, "the body is too large");
      co_return Result;
    }
    const std::vector<wire::BodyPart> Parts = wire::splitBody(Wanted.Body);
    Milliseconds Pause = FirstReopenPause;
    bool MayHaveRun = false; //!< Another host than the home may have run it.
    while (true) {
      const std::optional<Bytes> Token = co_await acquireToken(Self, Deadline);
      if (!Token) {
        // Nothing was sent, or all that was sent was answered with reopen.
        Settle(MayHaveRun ? wire::Outcome::Unknown : wire::Outcome::NotRun,
               "no token before the deadline");
        break;
      }
      const Sequence Number(Self->NextNumber++);
      auto Entry = std::make_shared<Pending>(Self->Where);
      Entry->Token = *Token;
      Self->InProgress[Number.value()] = Entry;
      wire::Request Request{.Flow = Self->Flow,
                            .Number = Number,
                            .Service = Self->Options.Service,
                            .Operation = Wanted.Operation,
                            .Idempotent = Wanted.Idempotent,
                            .Token = *Token};
      Result.Number = Number;
      const bool Answered =
          co_await exchange(Self, Entry, Request, &Parts, Deadline);
      Self->InProgress.erase(Number.value());
      Result.Attempts += Entry->Attempts;
      if (!Answered) {
        Self->sendCancel(Number, *Token);
        Settle(wire::Outcome::Unknown, "no answer before the deadline");
        break;
      }
      // From the third attempt on any host may run an idempotent request, so
      // no single answer can tell any more that none has.
      MayHaveRun = MayHaveRun || (Wanted.Idempotent &&
                                  Entry->HighestAttempt > AttemptsBeforeReopen);
      if (Entry->Result != wire::Outcome::Reopen) {
        const bool Doubtful =
            MayHaveRun && Entry->Result == wire::Outcome::NotRun;
        Result.Answered = true;
        Result.Result = Doubtful ? wire::Outcome::Unknown : Entry->Result;
        Result.Reason = Entry->Reason;
        Result.Body = std::move(Entry->Body);
        break;
      }
      ++Result.Reopens;
      Self->dropToken(*Token);
      if (Clock::now() + Pause >= Deadline) {
        Settle(MayHaveRun ? wire::Outcome::Unknown : wire::Outcome::NotRun,
               "asked to reopen until the deadline");
        break;
      }
      co_await sleepFor(Self->jittered(Pause));
      Pause = std::min(Pause * 2, MaxReopenPause);
    }
    Result.Elapsed =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - Begin);
    co_return Result;
  }

  void sendCancel(Sequence Number, const Bytes &Token) {
    send(wire::Cancel{.Flow = Flow,
                      .Number = Number,
                      .Service = Options.Service,
                      .Token = Token});
  }

  void onAnswer(const wire::Answer &Answer) {
    const auto Found = InProgress.find(Answer.Number.value());
    if (Found == InProgress.end() || Found->second->Done) {
      ++Stats.LateAnswers;
      return;
    }
    Pending &Entry = *Found->second;
    LastHeard = Clock::now();
    Entry.LastPart = LastHeard;
    takeToken(Answer.Token, Answer.Lifetime);
    const wire::BodyPart &Part = Answer.Part;
    auto Slot = std::find_if(Entry.Assemblies.begin(), Entry.Assemblies.end(),
                             [&](const Assembly &Other) {
                               return Other.Result == Answer.Result &&
                                      Other.BodyDigest == Part.BodyDigest &&
                                      Other.Parts == Part.Parts &&
                                      Other.TotalBytes == Part.TotalBytes;
                             });
    if (Slot == Entry.Assemblies.end()) {
      if (Entry.Assemblies.size() >= MaxAssemblies)
        Entry.Assemblies.pop_front();
      Entry.Assemblies.push_back(Assembly{.Result = Answer.Result,
                                          .Reason = Answer.Reason,
                                          .BodyDigest = Part.BodyDigest,
                                          .Parts = Part.Parts,
                                          .TotalBytes = Part.TotalBytes});
      Slot = std::prev(Entry.Assemblies.end());
    }
    if (const auto Added = Slot->Body.add(Part); !Added) {
      ++Stats.BadAnswers;
      log(LogLevel::Warn, "bad_answer",
          {{"sequence", Answer.Number.value()},
           {"error", describe(Added.error())}});
      Entry.Assemblies.erase(Slot);
      return;
    }
    if (Slot->Body.complete()) {
      Entry.Done = true;
      Entry.Result = Slot->Result;
      Entry.Reason = Slot->Reason;
      Entry.Body = Slot->Body.take();
    }
    Entry.Wake.notifyAll();
  }

  void onAccepted(const wire::Accepted &Message) {
    const auto Found = InProgress.find(Message.Number.value());
    if (Found == InProgress.end())
      return;
    LastHeard = Clock::now();
    Found->second->HomeHasAll = true;
    Found->second->Accepted = true;
  }

  // The subscription.

  static Task<> keepAlive(std::shared_ptr<State> Self,
                          std::shared_ptr<Feed> Link) {
    SubscriptionStatus &Status = Link->Status;
    while (Status.Open && !Self->Stopped) {
      const auto Token =
          co_await acquireToken(Self, Clock::now() + Self->Options.Keepalive);
      if (!Status.Open || Self->Stopped)
        co_return;
      Self->reportGap(*Link);
      if (!Token)
        continue;
      const TimePoint Now = Clock::now();
      const bool Paced = Now - Link->LastPaced >= Self->Options.Keepalive;
      if (Paced)
        Link->LastPaced = Now;
      Link->LastKeepalive = Now;
      Link->KeepaliveWanted = false;
      Self->send(wire::Subscribe{.Flow = Self->Flow,
                                 .Service = Self->Options.Service,
                                 .Operation = Link->Wanted.Operation,
                                 .After = Status.Position,
                                 .Attempt = Status.Attempt,
                                 .Token = *Token});
      // Keepalives that are sent early do not count as attempts: the home has
      // had no time to answer the one before.
      if (Paced)
        Status.Attempt = std::min(Status.Attempt + 1, MaxAttempt);
      if (Paced && Status.Attempt > AttemptsBeforeReopen + 1) {
        Self->dropToken(*Token);
        startOpening(Self);
      }
      const TimePoint Next = Link->LastPaced + Self->Options.Keepalive;
      while (Status.Open && !Self->Stopped && Clock::now() < Next) {
        const TimePoint Early = Link->LastKeepalive + EarlyKeepaliveGap;
        if (Link->KeepaliveWanted && Clock::now() >= Early)
          break;
        co_await Link->Wake.waitUntil(
            Link->KeepaliveWanted ? std::min(Early, Next) : Next);
      }
    }
  }

  void reportGap(Feed &Link) {
    const std::uint64_t Missing = Link.Status.Position.value() + 1;
    if (!Link.MissingSince || Link.ReportedGap == Missing ||
        Clock::now() - *Link.MissingSince < Options.GapTimeout)
      return;
    Link.ReportedGap = Missing;
    ++Link.Status.Gaps;
    log(LogLevel::Warn, "event_gap",
        {{"flow", Flow.value()},
         {"missing", Missing},
         {"known", Link.HighestKnown}});
    if (Link.Wanted.OnGap)
      Link.Wanted.OnGap(Sequence(Missing));
    Changed.notifyAll();
  }

  //! Notes that all events up to Number exist.
  static void noteKnown(Feed &Link, std::uint64_t Number) {
    Link.HighestKnown = std::max(Link.HighestKnown, Number);
    const bool Behind = Link.HighestKnown > Link.Status.Position.value();
    if (!Behind)
      Link.MissingSince.reset();
    else if (!Link.MissingSince)
      Link.MissingSince = Clock::now();
  }

  void deliver(Feed &Link, std::uint64_t Number, const Bytes &Body) {
    Link.Status.Position = Sequence(Number);
    Link.Status.LastEvent = Clock::now();
    ++Link.Status.Delivered;
    Link.MissingSince.reset();
    if (Link.Wanted.OnEvent)
      Link.Wanted.OnEvent(Sequence(Number), Body);
  }

  void onEvent(const wire::Event &Event) {
    const std::shared_ptr<Feed> Link = Subscription;
    if (!Link->Status.Open)
      return;
    LastHeard = Clock::now();
    const std::uint64_t Number = Event.Number.value();
    const std::uint64_t Expected = Link->Status.Position.value() + 1;
    if (Number < Expected || Link->Early.contains(Number)) {
      ++Link->Status.Duplicates;
      return;
    }
    if (Number > Expected) {
      ++Link->Status.OutOfOrder;
      if (Link->Early.size() < MaxEarlyEvents)
        Link->Early.emplace(Number, Event.Body);
      noteKnown(*Link, Number);
      Link->KeepaliveWanted = true;
      Link->Wake.notifyAll();
      return;
    }
    deliver(*Link, Number, Event.Body);
    while (!Link->Early.empty() &&
           Link->Early.begin()->first == Link->Status.Position.value() + 1) {
      const auto Next = Link->Early.extract(Link->Early.begin());
      deliver(*Link, Next.key(), Next.mapped());
    }
    noteKnown(*Link, Link->Status.Position.value());
    Changed.notifyAll();
  }

  void onSubscribed(const wire::Subscribed &Confirmed) {
    Feed &Link = *Subscription;
    if (!Link.Status.Open)
      return;
    LastHeard = Clock::now();
    ++Link.Status.Confirmed;
    Link.Status.Attempt = 1;
    takeToken(Confirmed.Token, Confirmed.Lifetime);
    noteKnown(Link, Confirmed.Position.value());
    Changed.notifyAll();
  }

  // Receiving.

  void onDatagram(const wire::Datagram &Message) {
    const auto Ours = [&](FlowId Other) {
      if (Other != Flow)
        ++Stats.ForeignFlow;
      return Other == Flow;
    };
    if (const auto *Welcome = std::get_if<wire::Welcome>(&Message)) {
      if (Ours(Welcome->Flow) &&
          (!Opening || !takeToken(Welcome->Token, Welcome->Lifetime)))
        ++Stats.IgnoredWelcomes;
    } else if (const auto *Answer = std::get_if<wire::Answer>(&Message)) {
      if (Ours(Answer->Flow))
        onAnswer(*Answer);
    } else if (const auto *Event = std::get_if<wire::Event>(&Message)) {
      if (Ours(Event->Flow))
        onEvent(*Event);
    } else if (const auto *Confirmed =
                   std::get_if<wire::Subscribed>(&Message)) {
      if (Ours(Confirmed->Flow))
        onSubscribed(*Confirmed);
    } else if (const auto *Accepted = std::get_if<wire::Accepted>(&Message)) {
      if (Ours(Accepted->Flow))
        onAccepted(*Accepted);
    } else {
      ++Stats.BadDatagrams;
    }
  }

  static Task<> receive(std::shared_ptr<State> Self) {
    while (true) {
      auto Received = co_await Self->Socket.receive();
      if (!Received)
        co_return;
      ++Self->Stats.Datagrams;
      const auto Message =
          wire::decode(Received->Payload, toString(Received->Sender));
      if (Message)
        Self->onDatagram(*Message);
      else
        ++Self->Stats.BadDatagrams;
    }
  }
};

Caller::Caller(std::shared_ptr<State> Shared) : Shared(std::move(Shared)) {}

Caller::~Caller() {
  if (Shared)
    stop();
}

Expected<Caller> Caller::start(const Executor &Where, CallerOptions Options) {
  auto Socket = UdpSocket::bind(Where, Options.Local);
  if (!Socket)
    return Unexpected(Socket.error());
  auto Shared =
      std::make_shared<State>(Where, std::move(Options), std::move(*Socket));
  spawn(Where, "caller_receiver", State::receive(Shared));
  return Caller(std::move(Shared));
}

UdpEndpoint Caller::endpoint() const { return Shared->Socket.localEndpoint(); }

FlowId Caller::flow() const { return Shared->Flow; }

Task<CallResult> Caller::call(CallRequest Wanted) {
  return State::call(Shared, std::move(Wanted));
}

void Caller::cancelCalls() {
  for (const auto &[Number, Entry] : Shared->InProgress)
    Shared->sendCancel(Sequence(Number), Entry->Token);
}

void Caller::subscribe(SubscribeRequest Wanted) {
  unsubscribe();
  auto Link = std::make_shared<Feed>(Shared->Where);
  Link->Status.Position = Wanted.After;
  Link->Status.Open = true;
  Link->Wanted = std::move(Wanted);
  Shared->Subscription = Link;
  spawn(Shared->Where, "caller_keepalive", State::keepAlive(Shared, Link));
}

void Caller::unsubscribe() {
  Feed &Link = *Shared->Subscription;
  if (!Link.Status.Open)
    return;
  Link.Status.Open = false;
  Link.Wake.notifyAll();
  // If this datagram is lost, the home ends the subscription when no more
  // keepalives arrive.
  Shared->send(wire::Unsubscribe{.Flow = Shared->Flow,
                                 .Service = Shared->Options.Service,
                                 .Token = token()});
}

const SubscriptionStatus &Caller::subscription() const {
  return Shared->Subscription->Status;
}

Task<> Caller::waitForEvent(Sequence Number) {
  const std::shared_ptr<State> Self = Shared;
  while (!Self->Stopped && Self->Subscription->Status.Position < Number)
    co_await Self->Changed.wait();
}

Task<> Caller::waitForGaps(std::uint64_t Count) {
  const std::shared_ptr<State> Self = Shared;
  while (!Self->Stopped && Self->Subscription->Status.Gaps < Count)
    co_await Self->Changed.wait();
}

const CallerStats &Caller::stats() const { return Shared->Stats; }

Bytes Caller::token() const {
  return Shared->Token ? Shared->Token->Value : Bytes{};
}

void Caller::forgetToken() { Shared->Token.reset(); }

void Caller::stop() {
  if (Shared->Stopped)
    return;
  unsubscribe();
  Shared->Stopped = true;
  Shared->Socket.close();
  for (const auto &[Number, Entry] : Shared->InProgress)
    Entry->Wake.notifyAll();
  Shared->Subscription->Wake.notifyAll();
  Shared->TokenChanged.notifyAll();
  Shared->Changed.notifyAll();
}

} // namespace buckthorndeck::standins
