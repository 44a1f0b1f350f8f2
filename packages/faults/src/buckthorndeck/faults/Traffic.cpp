#include "buckthorndeck/faults/Traffic.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/faults/Site.h"
#include "buckthorndeck/standins/GeneratedBody.h"

#include <algorithm>

namespace buckthorndeck::faults {

namespace {

//! One kind of call that a client repeats.
struct CallKind {
  std::string Operation;
  bool Idempotent = false;
  std::size_t Bytes = 40; //!< Of the request, which servers echo.
};

Bytes makeBody(const CallKind &Kind, std::uint64_t Seed, std::uint64_t Client,
               std::uint64_t Number) {
  const std::string Head = Kind.Operation + " " + std::to_string(Seed) + "/" +
                           std::to_string(Client) + "/" +
                           std::to_string(Number) + " ";
  Bytes Body = toBytes(Head);
  RandomEngine Engine(Seed * 1'000'003 + Client * 1'009 + Number);
  while (Body.size() < Kind.Bytes)
    Body.push_back(static_cast<std::uint8_t>(Engine()));
  return Body;
}

} // namespace

struct Traffic::Client {
  std::uint64_t Index = 0;
  std::string Service;
  std::vector<CallKind> Kinds;
  std::string FeedOperation; //!< Empty for none.
  std::unique_ptr<standins::Caller> Flow;
  std::uint64_t Calls = 0;
  std::uint64_t Events = 0;
  std::uint64_t WrongBodies = 0;
  std::uint64_t CallsMark = 0;
  std::uint64_t EventsMark = 0;
  bool Done = false;
};

Traffic::Traffic(Site &Target, TrafficOptions Options)
    : Target(Target), Options(Options), Changed(Target.executor()) {
  const auto Add = [&](unsigned Count, const Client &Model) {
    for (unsigned Index = 0; Index < Count; ++Index) {
      Clients.push_back(std::make_unique<Client>());
      Client &Added = *Clients.back();
      Added.Index = Clients.size();
      Added.Service = Model.Service;
      Added.Kinds = Model.Kinds;
      Added.FeedOperation = Model.FeedOperation;
    }
  };
  Client Fitter;
  Fitter.Service = "exchange/trading-floor";
  Fitter.Kinds = {{.Operation = "bid"}};
  Fitter.FeedOperation = "lot-watch";
  Add(Options.Fitters, Fitter);
  Client Family;
  Family.Service = "registry/tag-registry";
  Family.Kinds = {{.Operation = "record", .Idempotent = true},
                  {.Operation = "amend", .Idempotent = true}};
  Family.FeedOperation = "open-record";
  Add(Options.Families, Family);
  Client Showroom;
  Showroom.Service = "exchange/swatch-press";
  Showroom.Kinds = {
      {.Operation = "swatch-sheet", .Idempotent = true, .Bytes = 60'000}};
  Add(Options.Showrooms, Showroom);
  Client Household;
  Household.Service = "registry/certificate-press";
  Household.Kinds = {{.Operation = "certificate", .Bytes = 5'000}};
  Add(Options.Households, Household);
}

Traffic::~Traffic() = default;

void Traffic::start() {
  for (const auto &Who : Clients) {
    standins::CallerOptions Wanted{
        .Entry = Target.fabric().endpoint(),
        .Service = Target.serviceAddress(Who->Service),
        .RandomSeed = Options.Seed * 1'000 + Who->Index,
        .FirstRetry = Milliseconds(200),
        .MaxRetry = Milliseconds(1'000),
        .Keepalive = Milliseconds(300)};
    Who->Flow = std::make_unique<standins::Caller>(
        standins::Caller::start(Target.executor(), std::move(Wanted)).value());
    if (!Who->FeedOperation.empty()) {
      standins::SubscribeRequest Feed{.Operation = Who->FeedOperation};
      Client *Seen = Who.get();
      Feed.OnEvent = [this, Seen](Sequence Number, const Bytes &Body) {
        ++Seen->Events;
        if (Body != standins::eventBody(Seen->FeedOperation, Number))
          ++Seen->WrongBodies;
        Changed.notifyAll();
      };
      // Start near the newest event instead of with the whole history.
      Feed.After = Target.servers().front()->latestEvent();
      Who->Flow->subscribe(std::move(Feed));
    }
    spawn(Target.executor(), "traffic", run(*this, *Who));
  }
}

Task<> Traffic::run(Traffic &Self, Client &Who) {
  while (!Self.Stopping) {
    const CallKind &Kind = Who.Kinds[Who.Calls % Who.Kinds.size()];
    const Bytes Body = makeBody(Kind, Self.Options.Seed, Who.Index, Who.Calls);
    standins::CallRequest Wanted{.Operation = Kind.Operation,
                                 .Body = Body,
                                 .Idempotent = Kind.Idempotent,
                                 .Deadline = Self.Options.Deadline};
    const standins::CallResult Result =
        co_await Who.Flow->call(std::move(Wanted));
    Self.Records.push_back({.Service = Who.Service,
                            .Operation = Kind.Operation,
                            .Idempotent = Kind.Idempotent,
                            .BodyDigest = digestOf(Body),
                            .Result = Result.Result,
                            .Reason = Result.Reason,
                            .WholeAnswer = Result.Result == wire::Outcome::Ok &&
                                           Result.Body == Body});
    ++Who.Calls;
    Self.Changed.notifyAll();
  }
  Who.Done = true;
  Self.Changed.notifyAll();
}

Task<> Traffic::progress(unsigned Count) {
  Wanted = Count;
  for (const auto &Who : Clients) {
    Who->CallsMark = Who->Calls;
    Who->EventsMark = Who->Events;
  }
  const auto Reached = [&] {
    return std::all_of(Clients.begin(), Clients.end(), [&](const auto &Who) {
      const bool Feeds =
          Who->FeedOperation.empty() || Who->Events >= Who->EventsMark + Count;
      return Feeds && Who->Calls >= Who->CallsMark + Count;
    });
  };
  while (!Reached())
    co_await Changed.wait();
}

Task<> Traffic::stop() {
  Stopping = true;
  for (const auto &Who : Clients)
    while (!Who->Done)
      co_await Changed.wait();
}

std::string Traffic::waiting() const {
  std::string Names;
  for (const auto &Who : Clients) {
    const std::string Name =
        " " + Who->Service + "#" + std::to_string(Who->Index);
    if (Who->Calls < Who->CallsMark + Wanted)
      Names += Name + " calls";
    if (!Who->FeedOperation.empty() && Who->Events < Who->EventsMark + Wanted)
      Names += Name + " feed";
  }
  return Names;
}

FeedTotals Traffic::feeds() const {
  FeedTotals Totals;
  for (const auto &Who : Clients) {
    if (Who->FeedOperation.empty())
      continue;
    Totals.Delivered += Who->Events;
    Totals.WrongBodies += Who->WrongBodies;
    Totals.Gaps += Who->Flow->subscription().Gaps;
  }
  return Totals;
}

} // namespace buckthorndeck::faults
