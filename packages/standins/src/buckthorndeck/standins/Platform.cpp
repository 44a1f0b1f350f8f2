#include "buckthorndeck/standins/Platform.h"

#include "buckthorndeck/base/JsonSchema.h"
#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/net/HttpServer.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/standins/HttpCall.h"
#include "buckthorndeck/standins/PlatformSettings.h"
#include "buckthorndeck/standins/internal/RateLimit.h"

#include <deque>
#include <set>

namespace buckthorndeck::standins {

namespace {

using Answer = std::optional<HttpResponse>;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusTooMany = 429;
//! Longest wait of one watch call.
constexpr std::uint64_t MaxWaitMs = 600'000;
constexpr std::uint64_t MaxLeaseMs = 86'400'000;

HttpResponse respond(unsigned Status, const Json &Body) {
  return {.Status = Status, .Body = Body.dump()};
}

HttpResponse refuse(unsigned Status, const std::string &Message) {
  return respond(Status, {{"error", Message}});
}

struct Call : HttpCall {
  std::string Name; //!< What follows the route's prefix.
  Json Body;        //!< Discarded if it is not JSON.
};

std::optional<Call> parseCall(const HttpRequest &Request) {
  std::optional<HttpCall> Target = parseHttpCall(Request);
  if (!Target)
    return std::nullopt;
  Call Result{std::move(*Target)};
  Result.Body = Json::parse(Request.Body, nullptr, /*allow_exceptions=*/false);
  return Result;
}

struct Version {
  std::string Value;
  std::uint64_t Revision = 0;
};

//! A key, kept after its deletion so that stale reads can show it.
struct Entry {
  std::optional<Version> Now;
  std::optional<Version> Before; //!< State before the last write.
  std::string Lease;             //!< Empty for none.
};

struct Lease {
  explicit Lease(const Executor &Where) : Changed(Where) {}

  Notifier Changed;
  Milliseconds Lifetime{0};
  TimePoint Expires;
  bool Ended = false;
};

//! A watch call that waits.
struct Watch {
  Watch(const Executor &Where, std::string Key, std::uint64_t After)
      : Key(std::move(Key)), After(After), Wake(Where) {}

  std::string Key;
  std::uint64_t After;
  Notifier Wake;
};

//! A host list that becomes visible later.
struct PendingHosts {
  TimePoint VisibleAt;
  Json Hosts;
};

enum class Limit : std::uint8_t { None, Read, Write };

} // namespace

struct Platform::State {
  State(const Executor &Where, PlatformOptions Options, HttpServer Server)
      : Where(Where), Options(std::move(Options)), Server(std::move(Server)),
        Writes(this->Options.WritesPerSecond),
        Reads(this->Options.ReadsPerSecond), Faults(this->Options.Faults),
        Hosts(this->Options.Hosts), Changed(Where) {}

  Executor Where;
  PlatformOptions Options;
  HttpServer Server;
  RateLimit Writes;
  RateLimit Reads;
  PlatformFaults Faults;
  std::map<std::string, Entry> Entries;
  std::uint64_t Revision = 0;
  std::map<std::string, Entry> CopiedEntries;
  std::uint64_t CopiedRevision = 0;
  std::uint32_t Restorations = 0;
  std::map<std::string, std::shared_ptr<Lease>> Leases;
  std::uint64_t NextLease = 1;
  std::set<std::shared_ptr<Watch>> Watches;
  Json Hosts;
  std::deque<PendingHosts> HostsToCome;
  std::map<std::string, std::uint64_t> Calls;
  std::uint64_t LimitedCalls = 0;
  Notifier Changed;
  bool Stopped = false;

  // Keys.

  static std::uint64_t revisionOf(const Entry &Key) {
    return Key.Now ? Key.Now->Revision : 0;
  }

  //! Writes or deletes a key and wakes those who watch it.
  std::uint64_t change(const std::string &Key, std::optional<std::string> Value,
                       const std::string &LeaseId) {
    Entry &Slot = Entries[Key];
    Slot.Before = std::move(Slot.Now);
    Slot.Now.reset();
    Slot.Lease = LeaseId;
    ++Revision;
    if (Value) {
      Slot.Now = Version{.Value = std::move(*Value), .Revision = Revision};
      wakeWatches(Key);
    }
    return Revision;
  }

  void restoreCopy() {
    Entries = CopiedEntries;
    Revision = CopiedRevision;
    std::erase_if(Entries,
                  [](const auto &Item) { return !Item.second.Lease.empty(); });
    for (const auto &[Id, Held] : Leases) {
      Held->Ended = true;
      Held->Changed.notifyAll();
    }
    Leases.clear();
    ++Restorations;
    for (const auto &Waiting : Watches)
      Waiting->Wake.notifyAll();
  }

  void wakeWatches(const std::string &Key) {
    std::vector<std::shared_ptr<Watch>> Waiting;
    for (const auto &Entry : Watches)
      if (Entry->Key == Key)
        Waiting.push_back(Entry);
    if (Waiting.empty())
      return;
    const bool Missed = Faults.MissedWatchEvents > 0;
    if (Missed)
      --Faults.MissedWatchEvents;
    for (const auto &Entry : Waiting) {
      if (Missed)
        Entry->After = Revision;
      else
        Entry->Wake.notifyAll();
    }
  }

  static HttpResponse show(const std::optional<Version> &Shown) {
    if (!Shown)
      return refuse(StatusNotFound, "no such key");
    return respond(StatusOk,
                   {{"value", Shown->Value}, {"revision", Shown->Revision}});
  }

  Answer readKey(const Call &Received) {
    const auto Found = Entries.find(Received.Name);
    if (Found == Entries.end())
      return refuse(StatusNotFound, "no such key");
    if (Faults.StaleReads == 0)
      return show(Found->second.Now);
    --Faults.StaleReads;
    return show(Found->second.Before);
  }

  //! What a write answers, unless the answer is to be lost.
  Answer written(std::uint64_t NewRevision) {
    if (Faults.LoseWriteAnswers > 0) {
      --Faults.LoseWriteAnswers;
      return std::nullopt;
    }
    return respond(StatusOk, {{"revision", NewRevision}});
  }

  //! The answer to a write that must not take effect, if it must not.
  std::optional<HttpResponse> conflict(const Call &Received) {
    if (!Received.Query.contains("expect"))
      return std::nullopt;
    const auto Expected = numberIn(Received, "expect", 0);
    if (!Expected)
      return refuse(StatusBadRequest, "expect is not a number");
    const auto Found = Entries.find(Received.Name);
    const std::uint64_t Current =
        Found == Entries.end() ? 0 : revisionOf(Found->second);
    if (Current == *Expected)
      return std::nullopt;
    return respond(StatusConflict, {{"revision", Current}});
  }

  Answer writeKey(const Call &Received) {
    const Json &Body = Received.Body;
    if (!Body.is_object() || !Body.contains("value") ||
        !Body["value"].is_string() ||
        (Body.contains("lease") && !Body["lease"].is_string()))
      return refuse(StatusBadRequest,
                    "expected an object with texts \"value\" and \"lease\"");
    auto Value = Body["value"].get<std::string>();
    if (Value.size() > Options.MaxValueBytes)
      return refuse(StatusTooLarge, "the value is too large");
    const std::string LeaseId = Body.value("lease", "");
    if (!LeaseId.empty() && !Leases.contains(LeaseId))
      return refuse(StatusNotFound, "no such lease");
    if (auto Refused = conflict(Received))
      return Refused;
    return written(change(Received.Name, std::move(Value), LeaseId));
  }

  Answer deleteKey(const Call &Received) {
    if (auto Refused = conflict(Received))
      return Refused;
    const auto Found = Entries.find(Received.Name);
    if (Found == Entries.end() || !Found->second.Now)
      return refuse(StatusNotFound, "no such key");
    return written(change(Received.Name, std::nullopt, ""));
  }

  Answer listKeys(const Call &Received) {
    const std::string Prefix = textIn(Received, "prefix");
    Json Keys = Json::array();
    for (auto Next = Entries.lower_bound(Prefix);
         Next != Entries.end() && Next->first.starts_with(Prefix); ++Next)
      if (Next->second.Now)
        Keys.push_back(
            {{"key", Next->first}, {"revision", Next->second.Now->Revision}});
    return respond(StatusOk, {{"keys", std::move(Keys)}});
  }

  //! Waits for a revision of the key that is higher than the one named.
  static Task<Answer> watchKey(std::shared_ptr<State> Self, Call Received) {
    const auto After = numberIn(Received, "after", 0);
    const auto WaitMs = numberIn(Received, "wait_ms", 0);
    if (!After || !WaitMs || *WaitMs > MaxWaitMs)
      co_return refuse(StatusBadRequest, "after or wait_ms is out of range");
    const TimePoint Deadline = Clock::now() + Milliseconds(*WaitMs);
    const std::uint32_t Restorations = Self->Restorations;
    auto Entry = std::make_shared<Watch>(Self->Where, Received.Name, *After);
    while (true) {
      // Outages, restorations and a stop end the call without an answer.
      if (Self->Stopped || Self->Faults.Outage ||
          Self->Restorations != Restorations)
        co_return std::nullopt;
      const auto Found = Self->Entries.find(Received.Name);
      if (Found != Self->Entries.end() &&
          revisionOf(Found->second) > Entry->After)
        co_return show(Found->second.Now);
      if (Clock::now() >= Deadline)
        co_return HttpResponse{.Status = StatusNoContent};
      Self->Watches.insert(Entry);
      Self->Changed.notifyAll();
      co_await Entry->Wake.waitUntil(Deadline);
      Self->Watches.erase(Entry);
      Self->Changed.notifyAll();
    }
  }

  // Leases.

  static Task<> endLease(std::shared_ptr<State> Self, std::string Id,
                         std::shared_ptr<Lease> Held) {
    while (!Held->Ended && !Self->Stopped && Clock::now() < Held->Expires)
      co_await Held->Changed.waitUntil(Held->Expires);
    if (!Held->Ended && !Self->Stopped)
      Self->dropLease(Id);
  }

  //! Ends a lease and deletes its keys.
  bool dropLease(const std::string &Id) {
    const auto Found = Leases.find(Id);
    if (Found == Leases.end())
      return false;
    Found->second->Ended = true;
    Found->second->Changed.notifyAll();
    Leases.erase(Found);
    for (auto &[Key, Slot] : Entries)
      if (Slot.Lease == Id)
        change(Key, std::nullopt, "");
    return true;
  }

  static Answer createLease(const std::shared_ptr<State> &Self,
                            const Call &Received) {
    const Json &Body = Received.Body;
    if (!Body.is_object() || !Body.contains("ttl_ms") ||
        !Body["ttl_ms"].is_number_unsigned() || Body["ttl_ms"] == 0 ||
        Body["ttl_ms"] > MaxLeaseMs)
      return refuse(StatusBadRequest, "expected an object with \"ttl_ms\"");
    const std::string Id = "lease-" + std::to_string(Self->NextLease++);
    auto Held = std::make_shared<Lease>(Self->Where);
    Held->Lifetime = Milliseconds(Body["ttl_ms"].get<std::uint64_t>());
    Held->Expires = Clock::now() + Held->Lifetime;
    Self->Leases[Id] = Held;
    spawn(Self->Where, "lease", endLease(Self, Id, Held));
    return respond(StatusOk, {{"id", Id}});
  }

  Answer renewLease(const Call &Received) {
    const auto Found = Leases.find(Received.Name);
    if (Found == Leases.end())
      return refuse(StatusNotFound, "no such lease");
    Found->second->Expires = Clock::now() + Found->second->Lifetime;
    return respond(StatusOk, {{"id", Received.Name}});
  }

  Answer deleteLease(const Call &Received) {
    if (!dropLease(Received.Name))
      return refuse(StatusNotFound, "no such lease");
    return respond(StatusOk, {{"id", Received.Name}});
  }

  // Hosts and administration.

  Answer readHosts() {
    while (!HostsToCome.empty() &&
           HostsToCome.front().VisibleAt <= Clock::now())
      showNextHosts();
    return respond(StatusOk, {{"hosts", Hosts}});
  }

  void showNextHosts() {
    Hosts = std::move(HostsToCome.front().Hosts);
    HostsToCome.pop_front();
  }

  void setHosts(Json NewHosts) {
    HostsToCome.push_back({.VisibleAt = Clock::now() + Options.HostsLag,
                           .Hosts = std::move(NewHosts)});
  }

  Answer writeHosts(const Call &Received) {
    const Json Empty;
    const bool IsObject =
        Received.Body.is_object() && Received.Body.contains("hosts");
    const Json &NewHosts = IsObject ? Received.Body["hosts"] : Empty;
    if (auto Refused = checkBody(NewHosts, hostListSchema()))
      return Refused;
    setHosts(NewHosts);
    return respond(StatusOk, Json::object());
  }

  static std::optional<HttpResponse> checkBody(const Json &Body,
                                               const Json &Schema) {
    if (Body.is_discarded())
      return refuse(StatusBadRequest, "the body is not JSON");
    const auto Errors = checkSchema("request", Body, Schema);
    if (Errors.empty())
      return std::nullopt;
    return refuse(StatusBadRequest, describe(Errors.front()));
  }

  void setFaults(const PlatformFaults &New) {
    Faults = New;
    if (Faults.Outage)
      for (const auto &Entry : Watches)
        Entry->Wake.notifyAll();
  }

  Answer administrate(const Call &Received) {
    if (Received.Name == "calls" && Received.Method == "GET")
      return respond(StatusOk, {{"calls", Calls}, {"limited", LimitedCalls}});
    if (Received.Name != "faults" ||
        (Received.Method != "GET" && Received.Method != "PUT"))
      return refuse(StatusNotFound, "no such admin call");
    if (Received.Method == "PUT") {
      if (auto Refused = checkBody(Received.Body, platformFaultsSchema()))
        return Refused;
      setFaults(readPlatformFaults(Received.Body, Faults));
    }
    return respond(StatusOk, toJson(Faults));
  }

  // Calls.

  //! Counts a call. False if it is over its limit.
  bool admit(const std::string &Kind, Limit Limited) {
    ++Calls[Kind];
    const bool Admitted = Limited == Limit::None ||
                          (Limited == Limit::Read ? Reads : Writes).take();
    if (!Admitted)
      ++LimitedCalls;
    return Admitted;
  }

  static Task<Answer> handle(std::shared_ptr<State> Self, HttpRequest Request);
  static Task<Answer> handleCall(std::shared_ptr<State> Self, Call Received);
};

namespace {

//! A kind of call, found by method and prefix of the path.
struct Route {
  const char *Method;
  const char *Prefix;
  const char *Kind;
  Limit Limited;
  bool Named; //!< A name follows the prefix.
};

constexpr Route Routes[] = {
    {"GET", "/v1/kv/", "kv_get", Limit::Read, true},
    {"PUT", "/v1/kv/", "kv_put", Limit::Write, true},
    {"DELETE", "/v1/kv/", "kv_delete", Limit::Write, true},
    {"GET", "/v1/kv", "kv_list", Limit::Read, false},
    {"GET", "/v1/watch/", "watch", Limit::Read, true},
    {"POST", "/v1/leases", "lease_create", Limit::Write, false},
    {"PUT", "/v1/leases/", "lease_renew", Limit::Write, true},
    {"DELETE", "/v1/leases/", "lease_delete", Limit::Write, true},
    {"GET", "/v1/hosts", "hosts_get", Limit::None, false},
    {"PUT", "/v1/hosts", "hosts_put", Limit::None, false},
};

const Route *findRoute(const Call &Received) {
  for (const Route &Candidate : Routes) {
    const std::string_view Prefix = Candidate.Prefix;
    const bool Matches = Candidate.Named
                             ? Received.Path.starts_with(Prefix) &&
                                   Received.Path.size() > Prefix.size()
                             : Received.Path == Prefix;
    if (Matches && Received.Method == Candidate.Method)
      return &Candidate;
  }
  return nullptr;
}

constexpr std::string_view AdminPrefix = "/v1/admin/";

} // namespace

Task<Answer> Platform::State::handle(std::shared_ptr<State> Self,
                                     HttpRequest Request) {
  std::optional<Call> Received = parseCall(Request);
  if (!Received)
    co_return refuse(StatusBadRequest, "the target is malformed");
  // Faults and limits never keep a test from changing them.
  if (Received->Path.starts_with(AdminPrefix)) {
    Received->Name = Received->Path.substr(AdminPrefix.size());
    co_return Self->administrate(*Received);
  }
  Answer Result = co_await handleCall(Self, std::move(*Received));
  if (Self->Faults.Outage)
    co_return std::nullopt;
  co_return Result;
}

Task<Answer> Platform::State::handleCall(std::shared_ptr<State> Self,
                                         Call Received) {
  const Route *Found = findRoute(Received);
  if (!Found)
    co_return refuse(StatusNotFound, "no such call");
  const std::string Kind = Found->Kind;
  if (Found->Named)
    Received.Name =
        Received.Path.substr(std::string_view(Found->Prefix).size());
  const bool Admitted = Self->admit(Kind, Found->Limited);
  if (Self->Faults.Outage)
    co_return std::nullopt;
  if (!Admitted)
    co_return refuse(StatusTooMany, "over the limit of calls a second");
  if (Self->Faults.Delay.count() > 0)
    co_await sleepFor(Self->Faults.Delay);
  if (Self->Faults.Outage || Self->Stopped)
    co_return std::nullopt;
  if (Kind == "kv_get")
    co_return Self->readKey(Received);
  if (Kind == "kv_put")
    co_return Self->writeKey(Received);
  if (Kind == "kv_delete")
    co_return Self->deleteKey(Received);
  if (Kind == "kv_list")
    co_return Self->listKeys(Received);
  if (Kind == "lease_create")
    co_return createLease(Self, Received);
  if (Kind == "lease_renew")
    co_return Self->renewLease(Received);
  if (Kind == "lease_delete")
    co_return Self->deleteLease(Received);
  if (Kind == "hosts_get")
    co_return Self->readHosts();
  if (Kind == "hosts_put")
    co_return Self->writeHosts(Received);
  co_return co_await watchKey(Self, std::move(Received));
}

Platform::Platform(std::shared_ptr<State> Shared) : Shared(std::move(Shared)) {}

Platform::~Platform() {
  if (Shared)
    stop();
}

Expected<Platform> Platform::start(const Executor &Where,
                                   PlatformOptions Options) {
  auto Server = HttpServer::bind(Where, Options.Listen);
  if (!Server)
    return Unexpected(Server.error());
  auto Shared =
      std::make_shared<State>(Where, std::move(Options), std::move(*Server));
  spawn(Where, "platform", Shared->Server.serve([Shared](HttpRequest Request) {
    return State::handle(Shared, std::move(Request));
  }));
  return Platform(std::move(Shared));
}

TcpEndpoint Platform::endpoint() const {
  return Shared->Server.localEndpoint();
}

void Platform::setFaults(const PlatformFaults &Faults) {
  Shared->setFaults(Faults);
}

const PlatformFaults &Platform::faults() const { return Shared->Faults; }

const std::map<std::string, std::uint64_t> &Platform::calls() const {
  return Shared->Calls;
}

std::uint64_t Platform::limitedCalls() const { return Shared->LimitedCalls; }

std::optional<std::string> Platform::value(const std::string &Key) const {
  const auto Found = Shared->Entries.find(Key);
  if (Found == Shared->Entries.end() || !Found->second.Now)
    return std::nullopt;
  return Found->second.Now->Value;
}

std::uint64_t Platform::put(const std::string &Key, const std::string &Value) {
  return Shared->change(Key, Value, "");
}

void Platform::keepCopy() {
  Shared->CopiedEntries = Shared->Entries;
  Shared->CopiedRevision = Shared->Revision;
}

void Platform::restoreCopy() { Shared->restoreCopy(); }

bool Platform::expireLease(const std::string &Id) {
  return Shared->dropLease(Id);
}

std::size_t Platform::leases() const { return Shared->Leases.size(); }

void Platform::setHosts(const Json &Hosts) { Shared->setHosts(Hosts); }

void Platform::publishHosts() {
  while (!Shared->HostsToCome.empty())
    Shared->showNextHosts();
}

std::uint32_t Platform::waitingWatches() const {
  return static_cast<std::uint32_t>(Shared->Watches.size());
}

Task<> Platform::waitForWatches(std::uint32_t Count) {
  const std::shared_ptr<State> Self = Shared;
  while (Self->Watches.size() != Count)
    co_await Self->Changed.wait();
}

void Platform::stop() {
  if (Shared->Stopped)
    return;
  Shared->Stopped = true;
  Shared->Server.close();
  for (const auto &Entry : Shared->Watches)
    Entry->Wake.notifyAll();
  for (const auto &[Id, Held] : Shared->Leases)
    Held->Changed.notifyAll();
}

} // namespace buckthorndeck::standins
