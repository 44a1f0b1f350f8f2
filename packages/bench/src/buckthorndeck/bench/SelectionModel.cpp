#include "buckthorndeck/bench/SelectionModel.h"

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/bench/EventQueue.h"
#include "buckthorndeck/routing/Selection.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>
#include <optional>

namespace buckthorndeck::bench {

namespace {

using routing::Candidate;
using routing::ServerLoad;
using Seconds = std::chrono::duration<double>;

//! Between entry host and server. The ideal dispatcher sees a change at once;
//! its request times get the two ways added.
constexpr Seconds OneWay{0.001};
//! Mean time of a request at a server of speed 1.
constexpr Seconds MeanWork{0.1};

Clock::duration ticks(Seconds Value) {
  return std::chrono::duration_cast<Clock::duration>(Value);
}

struct Request {
  TimePoint Arrival;
  Seconds Work{0}; //!< At a server of speed 1.
};
using RequestPointer = std::shared_ptr<Request>;

struct Server {
  double Speed = 1;
  std::uint32_t Running = 0;
  Seconds Busy{0}; //!< Slot time used within the measured period.
};

struct Host {
  double Share = 1; //!< Of all requests; hosts differ in size.
  std::vector<ServerLoad> Loads;
  std::deque<RequestPointer> Queue;
  std::size_t Turn = 0;
  bool RetryPending = false;
};

class Model {
public:
  explicit Model(const ModelOptions &Options)
      : Options(Options), Random(Options.Seed), Servers(Options.Servers),
        Hosts(Options.Choice == Policy::Ideal ? 1 : Options.Hosts) {
    makeServers();
    makeHosts();
  }

  ModelResult run() {
    const bool Ideal = Options.Choice == Policy::Ideal;
    Way = Ideal ? Seconds(0) : OneWay;
    AddedTime = Ideal ? 2 * OneWay : Seconds(0);
    MeasureFrom = Events.now() + Options.WarmUp;
    MeasureTo = MeasureFrom + Options.Measured;
    arrive();
    Events.runUntil(MeasureTo);
    Result.Imbalance = imbalance();
    return std::move(Result);
  }

private:
  void makeServers() {
    // Even steps from 1x to 4x, so that every seed has the same capacity.
    for (std::size_t Index = 0; Index < Servers.size(); ++Index)
      Servers[Index].Speed = 1 + 3.0 * static_cast<double>(Index) /
                                     static_cast<double>(Servers.size() - 1);
  }

  void makeHosts() {
    for (Host &Entry : Hosts) {
      Entry.Share = 0.5 + 1.5 * randomUnit(Random);
      Entry.Loads.resize(Servers.size());
      for (ServerLoad &Load : Entry.Loads)
        recordConnected(Load, Options.Slots, /*UsagePerSlot=*/0, Events.now());
    }
  }

  double requestsPerSecond() const {
    double Speed = 0;
    for (const Server &Each : Servers)
      Speed += Each.Speed;
    return Options.Load * Speed * Options.Slots / MeanWork.count();
  }

  Seconds exponential(double Mean) {
    return Seconds(std::exponential_distribution<double>(1 / Mean)(Random));
  }

  Host &randomHost() {
    double Sum = 0;
    for (const Host &Each : Hosts)
      Sum += Each.Share;
    double Pick = randomUnit(Random) * Sum;
    for (Host &Each : Hosts) {
      Pick -= Each.Share;
      if (Pick < 0)
        return Each;
    }
    return Hosts.back();
  }

  void arrive() {
    Events.after(ticks(exponential(1 / requestsPerSecond())), [this] {
      auto Work = std::make_shared<Request>(Request{
          .Arrival = Events.now(), .Work = exponential(MeanWork.count())});
      Host &Entry = randomHost();
      Entry.Queue.push_back(std::move(Work));
      serveQueue(Entry);
      arrive();
    });
  }

  //! Sends waiting requests while a server is eligible, oldest first, as the
  //! dispatcher does when all deadlines are equally far from the arrival.
  void serveQueue(Host &Entry) {
    while (!Entry.Queue.empty()) {
      const auto Chosen = choose(Entry);
      if (!Chosen)
        return retryLater(Entry);
      const RequestPointer Work = std::move(Entry.Queue.front());
      Entry.Queue.pop_front();
      send(Entry, *Chosen, Work);
    }
  }

  void retryLater(Host &Entry) {
    if (Entry.RetryPending)
      return;
    Entry.RetryPending = true;
    const TimePoint Next = nextAttemptTime(candidates(Entry), Events.now());
    Events.after(Next - Events.now(), [this, &Entry] {
      Entry.RetryPending = false;
      serveQueue(Entry);
    });
  }

  void send(Host &Entry, std::size_t Index, const RequestPointer &Work) {
    recordSent(Entry.Loads[Index]);
    const TimePoint SentAt = Events.now();
    Events.after(ticks(Way), [this, &Entry, Index, SentAt, Work] {
      Server &Target = Servers[Index];
      if (Target.Running >= Options.Slots)
        return refuse(Entry, Index, Work);
      ++Target.Running;
      const Seconds Time = Work->Work / Target.Speed;
      const TimePoint Start = Events.now();
      Events.after(ticks(Time), [this, &Entry, Index, SentAt, Start, Work] {
        --Servers[Index].Running;
        countBusy(Servers[Index], Start);
        answer(Entry, Index, SentAt, Work);
      });
    });
  }

  void refuse(Host &Entry, std::size_t Index, const RequestPointer &Work) {
    ++Result.Refusals;
    Events.after(ticks(Way), [this, &Entry, Index, Work] {
      recordRefused(Entry.Loads[Index], wire::Refusal::Busy, Events.now(),
                    Random);
      const auto Place = std::find_if(
          Entry.Queue.begin(), Entry.Queue.end(),
          [&](const auto &Other) { return Other->Arrival > Work->Arrival; });
      Entry.Queue.insert(Place, Work);
      serveQueue(Entry);
    });
  }

  void answer(Host &Entry, std::size_t Index, TimePoint SentAt,
              const RequestPointer &Work) {
    Events.after(ticks(Way), [this, &Entry, Index, SentAt, Work] {
      const TimePoint Now = Events.now();
      recordDone(Entry.Loads[Index], /*Ok=*/true, Now - SentAt, Now);
      if (Work->Arrival >= MeasureFrom)
        Result.RequestMs.push_back(
            (Seconds(Now - Work->Arrival) + AddedTime).count() * 1e3);
      serveQueue(Entry);
    });
  }

  void countBusy(Server &Target, TimePoint Start) {
    const TimePoint From = std::max(Start, MeasureFrom);
    if (Events.now() > From)
      Target.Busy += Events.now() - From;
  }

  double imbalance() const {
    double Sum = 0;
    double Highest = 0;
    for (const Server &Each : Servers) {
      Sum += Each.Busy.count();
      Highest = std::max(Highest, Each.Busy.count());
    }
    return Highest * static_cast<double>(Servers.size()) / Sum;
  }

  std::vector<Candidate> candidates(const Host &Entry) const {
    std::vector<Candidate> All;
    All.reserve(Entry.Loads.size());
    for (const ServerLoad &Load : Entry.Loads)
      All.push_back(Candidate{.Load = &Load});
    return All;
  }

  std::optional<std::size_t> choose(Host &Entry) {
    const auto All = candidates(Entry);
    const TimePoint Now = Events.now();
    switch (Options.Choice) {
    case Policy::Balance:
      return chooseServer(All, config::Objective::Balance, std::nullopt, Now,
                          Random);
    case Policy::Continuity:
      return chooseServer(All, config::Objective::Continuity, std::nullopt, Now,
                          Random);
    default:
      return chooseBaseline(Entry, All);
    }
  }

  std::optional<std::size_t> chooseBaseline(Host &Entry,
                                            const std::vector<Candidate> &All) {
    std::vector<std::size_t> Eligible;
    for (std::size_t Index = 0; Index < All.size(); ++Index)
      if (isEligible(All[Index], Events.now()))
        Eligible.push_back(Index);
    if (Eligible.empty())
      return std::nullopt;
    if (Options.Choice == Policy::Random)
      return Eligible[randomBelow(Random, Eligible.size())];
    if (Options.Choice == Policy::RoundRobin)
      return nextInTurn(Entry, Eligible);
    std::shuffle(Eligible.begin(), Eligible.end(), Random);
    const bool Ideal = Options.Choice == Policy::Ideal;
    return *std::min_element(Eligible.begin(), Eligible.end(),
                             [&](std::size_t Left, std::size_t Right) {
                               return Ideal ? used(Left) < used(Right)
                                            : All[Left].Load->InFlight <
                                                  All[Right].Load->InFlight;
                             });
  }

  std::size_t nextInTurn(Host &Entry,
                         const std::vector<std::size_t> &Eligible) {
    const auto Next =
        std::find_if(Eligible.begin(), Eligible.end(),
                     [&](std::size_t Index) { return Index >= Entry.Turn; });
    const std::size_t Chosen = Next == Eligible.end() ? Eligible[0] : *Next;
    Entry.Turn = Chosen + 1;
    return Chosen;
  }

  //! Slot time that the server used so far or is about to use.
  double used(std::size_t Index) const {
    const Server &Each = Servers[Index];
    const double InFlight = Hosts[0].Loads[Index].InFlight;
    return Each.Busy.count() + InFlight * MeanWork.count() / Each.Speed;
  }

  ModelOptions Options;
  RandomEngine Random;
  EventQueue Events;
  std::vector<Server> Servers;
  std::vector<Host> Hosts;
  TimePoint MeasureFrom;
  TimePoint MeasureTo;
  Seconds Way{0};
  Seconds AddedTime{0};
  ModelResult Result;
};

} // namespace

const char *toString(Policy Value) {
  switch (Value) {
  case Policy::Balance:
    return "balance";
  case Policy::Continuity:
    return "continuity, no affinity";
  case Policy::Random:
    return "random";
  case Policy::RoundRobin:
    return "round robin";
  case Policy::LeastOutstanding:
    return "least outstanding";
  case Policy::Ideal:
    return "ideal";
  }
  return "invalid";
}

ModelResult runModel(const ModelOptions &Options) {
  return Model(Options).run();
}

} // namespace buckthorndeck::bench
