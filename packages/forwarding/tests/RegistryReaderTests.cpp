#include "buckthorndeck/forwarding/RegistryReader.h"

#include "RunTask.h"
#include "Samples.h"
#include "SlowResponder.h"
#include "buckthorndeck/net/HttpServer.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

Error makeError(ErrorCode Code) {
  return {.Code = Code, .Step = "test", .Message = "as scripted"};
}

//! A store with scripted answers. A watch waits until a test supplies its
//! answer.
class FakeStore {
public:
  explicit FakeStore(const Executor &Where) : Changed(Where) {}

  RegistrySource source() {
    RegistrySource Calls;
    Calls.ReadPage = [this](std::string From) { return page(std::move(From)); };
    Calls.Watch = [this](StoreRevision After, Milliseconds) {
      return watch(After);
    };
    return Calls;
  }

  void answerWatch(Expected<RegistryChanges> Answer) {
    WatchAnswers.push_back(std::move(Answer));
    Changed.notifyAll();
  }

  //! Returns once Count watches were requested.
  Task<> waitWatches(std::size_t Count) {
    while (Watches.size() < Count)
      co_await Changed.wait();
  }

  bool Down = false;
  bool Unresponsive = false; //!< Reads are not answered.
  Milliseconds PageDelay{0};
  std::optional<RouteSet> Routes = makeRoutes(1);
  std::vector<ServerChange> Entries;
  StorePosition AsOf = at(5);
  unsigned Loads = 0;
  unsigned PageReads = 0;
  unsigned FailedPageRead = 0; //!< Number of the read that fails; 0 for none.
  ErrorCode Failure = ErrorCode::Refused;
  std::vector<StorePosition> Watches;

private:
  //! Each page has one entry, and the first one the configuration.
  Task<Expected<RegistryPage>> page(std::string From) {
    Loads += From.empty() ? 1 : 0;
    ++PageReads;
    Changed.notifyAll();
    while (Unresponsive)
      co_await Changed.wait();
    if (PageDelay.count() > 0)
      co_await sleepFor(PageDelay);
    if (Down)
      co_return Unexpected(makeError(ErrorCode::Unavailable));
    if (FailedPageRead == PageReads)
      co_return Unexpected(makeError(Failure));
    RegistryPage Page;
    Page.Changes.AsOf = AsOf;
    if (From.empty())
      Page.Changes.Routes = Routes;
    const std::size_t Index = From.empty() ? 0 : std::stoul(From);
    if (Index < Entries.size())
      Page.Changes.Servers.push_back(Entries[Index]);
    if (Index + 1 < Entries.size())
      Page.Next = std::to_string(Index + 1);
    co_return Page;
  }

  Task<Expected<RegistryChanges>> watch(StoreRevision After) {
    Watches.push_back(at(After.value()));
    Changed.notifyAll();
    while (WatchAnswers.empty())
      co_await Changed.wait();
    Expected<RegistryChanges> Answer = std::move(WatchAnswers.front());
    WatchAnswers.pop_front();
    co_return Answer;
  }

  std::deque<Expected<RegistryChanges>> WatchAnswers;
  Notifier Changed;
};

ServerChange entryOf(unsigned Number, std::uint64_t Revision) {
  return {.Name = makeServer(Number).Name,
          .Position = at(Revision),
          .Record = makeServer(Number)};
}

class ReaderFixture {
public:
  explicit ReaderFixture(Milliseconds ChangePause = Milliseconds(1),
                         Milliseconds Backoff = Milliseconds(1))
      : Pause(ChangePause), Backoff(Backoff) {
    Store.Entries.push_back(entryOf(0, 3));
  }

  void start() { spawn(Context.get_executor(), "feed", Reader.run()); }

  Milliseconds Pause;
  Milliseconds Backoff;
  boost::asio::io_context Context;
  FakeStore Store{Context.get_executor()};
  Forwarder Host{{.Domain = FailureDomainName("north")}};
  PeerDirectory Peers{
      {.Name = EntryHostName("self"), .Domain = FailureDomainName("north")},
      {}};
  RegistryReader Reader{
      Context.get_executor(),
      {.ChangePause = Pause, .Backoff = {.First = Backoff, .Max = Backoff}},
      Store.source(),
      Host,
      Peers};
};

} // namespace

TEST_CASE(
    "After a complete read, a host watches from the revision of the first page",
    "[registry_reader]") {
  ReaderFixture Site;
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  CHECK(Site.Reader.loaded());
  CHECK(Site.Store.Watches[0] == at(5));
  CHECK(Site.Host.servers().find(tokenOf(makeServer(0))) != nullptr);
  CHECK(Site.Host.routes().version() == ConfigVersion(1));
}

TEST_CASE("A host that starts makes one call before its first watch",
          "[registry_reader]") {
  // Load pattern: all hosts of a large fleet lose power and start at once. A
  // second call for the configuration doubled the calls of that second.
  ReaderFixture Site;
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  CHECK(Site.Store.PageReads == 1);
  CHECK(Site.Reader.counters().StoreCalls == 1);
}

TEST_CASE(
    "A host that starts before the first configuration receives it by its "
    "watch",
    "[registry_reader]") {
  // Polling for the first configuration would cost ten calls per host.
  ReaderFixture Site;
  Site.Store.Routes.reset();
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  RegistryChanges First;
  First.Routes = makeRoutes(4);
  First.AsOf = at(6);
  First.Events = 1;
  Site.Store.answerWatch(First);
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Host.routes().version() == ConfigVersion(4));
  CHECK(Site.Store.Loads == 1);
  CHECK(Site.Store.Watches[1] == at(6));
}

TEST_CASE("A host watches again without a pause after a truncated answer",
          "[registry_reader]") {
  // 3,000 servers that register within a second arrive 500 at a time. With a
  // pause after each answer, a configuration was delayed by 9 s.
  ReaderFixture Site(std::chrono::hours(1));
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  RegistryChanges Truncated;
  Truncated.AsOf = at(505);
  Truncated.Events = 500;
  Site.Store.answerWatch(Truncated);
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Store.Watches[1] == at(505));
  // An answer with many large configurations is truncated by its size.
  Truncated.AsOf = at(510);
  Truncated.Events = 5;
  Truncated.Bytes = 900'000;
  Site.Store.answerWatch(Truncated);
  runTask(Site.Context, Site.Store.waitWatches(3));
  CHECK(Site.Store.Watches[2] == at(510));
}

TEST_CASE(
    "After the store's history has expired, a host reads the whole registry",
    "[registry_reader]") {
  ReaderFixture Site;
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  // The server was removed while no watch was active.
  Site.Store.Entries.clear();
  Site.Store.AsOf = at(90);
  Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Expired)));
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Store.Loads == 2);
  CHECK(Site.Store.Watches[1] == at(90));
  CHECK_FALSE(Site.Host.servers().find(tokenOf(makeServer(0)))->Registered);
}

TEST_CASE(
    "After the store's history has expired, a host pauses before it reads",
    "[registry_reader]") {
  // The history expires for all hosts at the same time; if the store keeps
  // none, every host would read it in an endless loop.
  ReaderFixture Site(Milliseconds(1), std::chrono::hours(1));
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Expired)));
  Site.Context.poll();
  CHECK(Site.Store.Loads == 1);
  Site.Reader.refresh();
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Store.Loads == 2);
}

TEST_CASE("After a watch's answer that can't be read, a host reads the whole "
          "registry",
          "[registry_reader]") {
  // Guards against hosts that learn nothing more: the answer to the same watch
  // has the same changes again, for as long as the store keeps its history.
  ReaderFixture Site;
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  Site.Store.Entries.push_back(entryOf(1, 80));
  Site.Store.AsOf = at(90);
  const ErrorCode Code = GENERATE(ErrorCode::TooLarge, ErrorCode::Invalid);
  CAPTURE(toString(Code));
  Site.Store.answerWatch(Unexpected(makeError(Code)));
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Store.Loads == 2);
  CHECK(Site.Store.Watches[1] == at(90));
  CHECK(Site.Host.servers().find(tokenOf(makeServer(1))));
}

TEST_CASE("The time of a removal is limited by the answer before it",
          "[registry_reader]") {
  // Guards against flows to servers that left the registry during the pause
  // after an answer, for the pause too long (review case 7).
  const Milliseconds Pause(200);
  ReaderFixture Site(Pause);
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  const bool StoreFailed = GENERATE(false, true);
  CAPTURE(StoreFailed);
  if (StoreFailed)
    Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Timeout)));
  else
    Site.Store.answerWatch(RegistryChanges{.AsOf = at(6), .Events = 1});
  runTask(Site.Context, Site.Store.waitWatches(2));
  const TimePoint Asked = Clock::now();
  Site.Store.answerWatch(RegistryChanges{
      .Servers = {{.Name = makeServer(0).Name, .Position = at(7)}},
      .AsOf = at(7),
      .Events = 1});
  runTask(Site.Context, Site.Store.waitWatches(3));
  const Server &Removed = *Site.Host.servers().find(tokenOf(makeServer(0)));
  REQUIRE_FALSE(Removed.Registered);
  if (StoreFailed)
    CHECK(Removed.FallbackUntil == TimePoint::max());
  else
    CHECK(Removed.FallbackUntil <= Asked - Pause + Milliseconds(2900));
}

TEST_CASE("A failed watch is repeated from the same revision",
          "[registry_reader]") {
  ReaderFixture Site;
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Timeout)));
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Store.Watches[1] == at(5));
  CHECK(Site.Store.Loads == 1);
}

TEST_CASE(
    "A watch that failed after longer than the backoff is repeated at once",
    "[registry_reader]") {
  // Guards against a pause after a watch without response: hosts that the store
  // had turned away had an old view for longer than detect_within_ms.
  ReaderFixture Site(Milliseconds(1), Milliseconds(100));
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  runTask(Site.Context, sleepFor(Site.Backoff + Milliseconds(20)));
  Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Timeout)));
  runTask(Site.Context, sleepFor(Milliseconds(1)));
  CHECK(Site.Store.Watches.size() == 2);
}

TEST_CASE("A watch that failed at once is repeated after the backoff",
          "[registry_reader]") {
  // A store that refuses calls would get them without a pause.
  ReaderFixture Site(Milliseconds(1), std::chrono::hours(1));
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Refused)));
  Site.Context.poll();
  CHECK(Site.Store.Watches.size() == 1);
}

TEST_CASE("A complete read of an older revision is not applied",
          "[registry_reader]") {
  ReaderFixture Site;
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  // An outdated replica of the store has no entry of the server, which must not
  // be removed.
  Site.Store.Entries.clear();
  Site.Store.AsOf = at(2);
  Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Expired)));
  runTask(Site.Context, [](ReaderFixture &Fixture) -> Task<> {
    while (Fixture.Store.Loads < 3)
      co_await sleepFor(Milliseconds(1));
  }(Site));
  CHECK(Site.Host.servers().find(tokenOf(makeServer(0)))->Registered);
}

TEST_CASE("After a failed page read, only that page is read again",
          "[registry_reader]") {
  // When all hosts of a deployment start at once, together they exceed the
  // store's rate limit.
  ReaderFixture Site;
  Site.Store.Entries.push_back(entryOf(1, 4));
  Site.Store.Entries.push_back(entryOf(2, 5));
  Site.Store.FailedPageRead = 2;
  Site.Store.Failure = GENERATE(ErrorCode::Refused, ErrorCode::Timeout);
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  CHECK(Site.Store.Loads == 1);
  CHECK(Site.Store.PageReads == 4);
  CHECK(Site.Host.servers().size() == 3);
}

namespace {

//! A peer whose snapshot has configuration version 8 and server 4.
class SnapshotProvider {
public:
  explicit SnapshotProvider(const Executor &Where)
      : Server(*HttpServer::bind(Where, loopbackTcp())) {
    ReaderFixture Site;
    Site.Host.applyRoutes(makeRoutes(8));
    Site.Host.updateServer(makeServer(4), at(40), Start);
    Body = toText(Site.Reader.snapshot());
    spawn(Where, "donor",
          Server.serve([this](HttpRequest) { return answer(); }));
  }

  PeerHeartbeat heartbeat() const {
    return {.Sender = {.Name = EntryHostName("donor"),
                       .Domain = FailureDomainName("north"),
                       .Snapshot = Server.localEndpoint()}};
  }

private:
  Task<std::optional<HttpResponse>> answer() {
    HttpResponse Answer;
    Answer.Body = Body;
    co_return Answer;
  }

  HttpServer Server;
  std::string Body;
};

} // namespace

TEST_CASE(
    "A host whose store does not answer requests a peer's snapshot before "
    "the call's timeout",
    "[registry_reader]") {
  // Otherwise a host that restarts in a failure domain without connection to
  // the store serves only after the timeout of its first call.
  ReaderFixture Site;
  Site.Store.Unresponsive = true;
  const SnapshotProvider Provider(Site.Context.get_executor());
  Site.Peers.update(Provider.heartbeat(), Clock::now());
  Site.start();
  runTask(Site.Context, Site.Reader.waitLoaded());
  CHECK(Site.Host.routes().version() == ConfigVersion(8));
  CHECK(Site.Store.Loads == 1);
  CHECK(Site.Store.Watches.empty());
}

TEST_CASE("A host that has loaded a peer's snapshot reads no further pages",
          "[registry_reader]") {
  // Otherwise all hosts of a large deployment read the whole registry at once.
  ReaderFixture Site;
  for (unsigned Number = 1; Number < 100; ++Number)
    Site.Store.Entries.push_back(entryOf(Number, 3));
  Site.Store.PageDelay = Milliseconds(50);
  const SnapshotProvider Provider(Site.Context.get_executor());
  Site.Peers.update(Provider.heartbeat(), Clock::now());
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  CHECK(Site.Reader.loaded());
  CHECK(Site.Store.PageReads < 100);
  CHECK(Site.Host.servers().find(tokenOf(makeServer(4))) != nullptr);
}

TEST_CASE("A host that cannot read the store loads a peer's snapshot",
          "[registry_reader]") {
  // Two of three hosts of a failure domain restart while it has no connection
  // to the store.
  ReaderFixture Site;
  Site.Store.Down = true;
  const SnapshotProvider Provider(Site.Context.get_executor());
  Site.start();
  runTask(Site.Context, [](ReaderFixture &Fixture) -> Task<> {
    while (Fixture.Store.Loads < 2)
      co_await sleepFor(Milliseconds(1));
  }(Site));
  CHECK_FALSE(Site.Reader.loaded());
  Site.Peers.update(Provider.heartbeat(), Clock::now());
  Site.Reader.onPeerDiscovered();
  runTask(Site.Context, Site.Reader.waitLoaded());
  CHECK(Site.Host.routes().version() == ConfigVersion(8));
  CHECK(Site.Host.servers().find(tokenOf(makeServer(4))) != nullptr);
  runTask(Site.Context, Site.Store.waitWatches(1));
}

TEST_CASE("A peer's snapshot may take long over a slow link",
          "[registry_reader]") {
  // Guards against a limit on the whole transfer: under a large configuration
  // a host on a link of 10 Mbit/s would never start without the store.
  ReaderFixture Site;
  Site.Store.Down = true;
  ReaderFixture Donor;
  Donor.Host.applyRoutes(makeRoutes(8));
  Donor.Host.updateServer(makeServer(4), at(40), Start);
  const SlowResponder Provider(Site.Context,
                               std::string(toText(Donor.Reader.snapshot())),
                               Milliseconds(150));
  Site.Peers.update({.Sender = {.Name = EntryHostName("donor"),
                                .Domain = FailureDomainName("north"),
                                .Snapshot = Provider.endpoint()}},
                    Clock::now());
  Site.start();
  runTask(Site.Context, Site.Reader.waitLoaded());
  CHECK(Site.Host.routes().version() == ConfigVersion(8));
}
