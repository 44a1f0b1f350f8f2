#include "buckthorndeck/forwarding/RegistryReader.h"

#include "RunTask.h"
#include "Samples.h"
#include "buckthorndeck/net/HttpServer.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

namespace {

Error makeError(ErrorCode Code) {
  return {.Code = Code, .Step = "test", .Message = "as scripted"};
}

//! A store whose answers a test scripts. A watch without an answer waits.
class FakeStore {
public:
  explicit FakeStore(const Executor &Where) : Changed(Where) {}

  RegistrySource source() {
    RegistrySource Calls;
    Calls.ReadServers = [this](std::string From) {
      return servers(std::move(From));
    };
    Calls.ReadRoutes = [this] { return routes(); };
    Calls.Watch = [this](StoreRevision After, Milliseconds) {
      return watch(After);
    };
    return Calls;
  }

  void answerWatch(Expected<RegistryChanges> Answer) {
    WatchAnswers.push_back(std::move(Answer));
    Changed.notifyAll();
  }

  //! Returns once Count watches were asked for.
  Task<> waitWatches(std::size_t Count) {
    while (Watches.size() < Count)
      co_await Changed.wait();
  }

  bool Down = false;
  bool Silent = false; //!< Calls wait.
  Milliseconds PageDelay{0};
  std::optional<RouteSet> Routes = makeRoutes(1);
  std::vector<ServerChange> Entries;
  StoreRevision Revision{5};
  unsigned Loads = 0;
  unsigned PageReads = 0;
  unsigned FailedPageRead = 0; //!< Number of the page read that fails.
  ErrorCode Failure = ErrorCode::Refused;
  std::vector<StoreRevision> Watches;

private:
  //! One entry a page.
  Task<Expected<RegistryPage>> servers(std::string From) {
    Loads += From.empty() ? 1 : 0;
    ++PageReads;
    Changed.notifyAll();
    while (Silent)
      co_await Changed.wait();
    if (PageDelay.count() > 0)
      co_await sleepFor(PageDelay);
    if (Down)
      co_return Unexpected(makeError(ErrorCode::Unavailable));
    if (FailedPageRead == PageReads)
      co_return Unexpected(makeError(Failure));
    RegistryPage Page;
    Page.Changes.AsOf = Revision;
    const std::size_t Index = From.empty() ? 0 : std::stoul(From);
    if (Index < Entries.size())
      Page.Changes.Servers.push_back(Entries[Index]);
    if (Index + 1 < Entries.size())
      Page.Next = std::to_string(Index + 1);
    co_return Page;
  }

  Task<Expected<RegistryChanges>> routes() {
    if (!Routes)
      co_return Unexpected(makeError(ErrorCode::NotFound));
    RegistryChanges Changes;
    Changes.Routes = *Routes;
    Changes.AsOf = Revision;
    co_return Changes;
  }

  Task<Expected<RegistryChanges>> watch(StoreRevision After) {
    Watches.push_back(After);
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
          .Revision = StoreRevision(Revision),
          .Record = makeServer(Number)};
}

class FeedFixture {
public:
  explicit FeedFixture(Milliseconds ChangePause = Milliseconds(1),
                       Milliseconds Backoff = Milliseconds(1))
      : Pause(ChangePause), Backoff(Backoff) {
    Store.Entries.push_back(entryOf(0, 3));
  }

  void start() { spawn(Context.get_executor(), "feed", Feed.run()); }

  Milliseconds Pause;
  Milliseconds Backoff;
  boost::asio::io_context Context;
  FakeStore Store{Context.get_executor()};
  Forwarder Host{{.Domain = FailureDomainName("north")}};
  PeerDirectory Peers{
      {.Name = EntryHostName("self"), .Domain = FailureDomainName("north")},
      {}};
  RegistryReader Feed{
      Context.get_executor(),
      {.ChangePause = Pause, .Backoff = {.First = Backoff, .Max = Backoff}},
      Store.source(),
      Host,
      Peers};
};

} // namespace

TEST_CASE("A host reads everything and watches from the first page on",
          "[feed]") {
  FeedFixture Site;
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  CHECK(Site.Feed.loaded());
  CHECK(Site.Store.Watches[0] == StoreRevision(5));
  CHECK(Site.Host.servers().find(tokenOf(makeServer(0))) != nullptr);
  CHECK(Site.Host.routes().version() == ConfigVersion(1));
}

TEST_CASE("A host that starts before the first configuration waits for it by "
          "its watch",
          "[feed]") {
  // Polling for it cost ten calls a host.
  FeedFixture Site;
  Site.Store.Routes.reset();
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  RegistryChanges First;
  First.Routes = makeRoutes(4);
  First.AsOf = StoreRevision(6);
  First.Events = 1;
  Site.Store.answerWatch(First);
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Host.routes().version() == ConfigVersion(4));
  CHECK(Site.Store.Loads == 1);
  CHECK(Site.Store.Watches[1] == StoreRevision(6));
}

TEST_CASE("A host asks again at once after an answer that was cut", "[feed]") {
  // 3,000 servers registered within a second arrive 500 at a time; a pause
  // after each answer held a configuration back for 9 s.
  FeedFixture Site(std::chrono::hours(1));
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  RegistryChanges Cut;
  Cut.AsOf = StoreRevision(505);
  Cut.Events = 500;
  Site.Store.answerWatch(Cut);
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Store.Watches[1] == StoreRevision(505));
  // A storm of large configurations is cut by its size.
  Cut.AsOf = StoreRevision(510);
  Cut.Events = 5;
  Cut.Bytes = 900'000;
  Site.Store.answerWatch(Cut);
  runTask(Site.Context, Site.Store.waitWatches(3));
  CHECK(Site.Store.Watches[2] == StoreRevision(510));
}

TEST_CASE("A lost history is made good by a complete read", "[feed]") {
  FeedFixture Site;
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  // The server left while nobody watched.
  Site.Store.Entries.clear();
  Site.Store.Revision = StoreRevision(90);
  Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Expired)));
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Store.Loads == 2);
  CHECK(Site.Store.Watches[1] == StoreRevision(90));
  CHECK_FALSE(Site.Host.servers().find(tokenOf(makeServer(0)))->Registered);
}

TEST_CASE("A store that lost its history is not read again without a pause",
          "[feed]") {
  // All hosts lose the history at the same moment; a store that keeps none
  // would be read by each of them without end.
  FeedFixture Site(Milliseconds(1), std::chrono::hours(1));
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Expired)));
  Site.Context.poll();
  CHECK(Site.Store.Loads == 1);
  Site.Feed.refresh();
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Store.Loads == 2);
}

TEST_CASE("A failed watch is repeated from the same position", "[feed]") {
  FeedFixture Site;
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Timeout)));
  runTask(Site.Context, Site.Store.waitWatches(2));
  CHECK(Site.Store.Watches[1] == StoreRevision(5));
  CHECK(Site.Store.Loads == 1);
}

TEST_CASE("A complete read that is older than what is known is not applied",
          "[feed]") {
  FeedFixture Site;
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  // A replica of the store that is behind would take the server away.
  Site.Store.Entries.clear();
  Site.Store.Revision = StoreRevision(2);
  Site.Store.answerWatch(Unexpected(makeError(ErrorCode::Expired)));
  runTask(Site.Context, [](FeedFixture &Fixture) -> Task<> {
    while (Fixture.Store.Loads < 3)
      co_await sleepFor(Milliseconds(1));
  }(Site));
  CHECK(Site.Host.servers().find(tokenOf(makeServer(0)))->Registered);
}

TEST_CASE("A page that fails is read again, not the whole registry", "[feed]") {
  // All hosts of a fleet start at once and are over the store's rate together.
  FeedFixture Site;
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

//! A peer whose snapshot has the configuration version 8 and server 4.
class Donor {
public:
  explicit Donor(const Executor &Where)
      : Server(*HttpServer::bind(Where, loopbackTcp())) {
    FeedFixture Site;
    Site.Host.applyRoutes(makeRoutes(8));
    Site.Host.updateServer(makeServer(4), StoreRevision(40), Start);
    Body = toText(Site.Feed.snapshot());
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

TEST_CASE("A host whose store does not answer asks a peer without waiting for "
          "the call's timeout",
          "[feed]") {
  // A host that restarted in a failure domain that was cut off served only
  // after the timeout of its first call.
  FeedFixture Site;
  Site.Store.Silent = true;
  const Donor Peer(Site.Context.get_executor());
  Site.Peers.update(Peer.heartbeat(), Clock::now());
  Site.start();
  runTask(Site.Context, Site.Feed.waitLoaded());
  CHECK(Site.Host.routes().version() == ConfigVersion(8));
  CHECK(Site.Store.Loads == 1);
  CHECK(Site.Store.Watches.empty());
}

TEST_CASE("A host that a peer has helped to start reads no further pages",
          "[feed]") {
  // All hosts of a large deployment read the whole registry at once.
  FeedFixture Site;
  for (unsigned Number = 1; Number < 100; ++Number)
    Site.Store.Entries.push_back(entryOf(Number, 3));
  Site.Store.PageDelay = Milliseconds(50);
  const Donor Peer(Site.Context.get_executor());
  Site.Peers.update(Peer.heartbeat(), Clock::now());
  Site.start();
  runTask(Site.Context, Site.Store.waitWatches(1));
  CHECK(Site.Feed.loaded());
  CHECK(Site.Store.PageReads < 100);
  CHECK(Site.Host.servers().find(tokenOf(makeServer(4))) != nullptr);
}

TEST_CASE("A host that cannot read the store serves from a peer's snapshot",
          "[feed]") {
  // Two of three hosts of a failure domain restarted while it was cut off.
  FeedFixture Site;
  Site.Store.Down = true;
  const Donor Peer(Site.Context.get_executor());
  Site.start();
  runTask(Site.Context, [](FeedFixture &Fixture) -> Task<> {
    while (Fixture.Store.Loads < 2)
      co_await sleepFor(Milliseconds(1));
  }(Site));
  CHECK_FALSE(Site.Feed.loaded());
  Site.Peers.update(Peer.heartbeat(), Clock::now());
  Site.Feed.onPeerDiscovered();
  runTask(Site.Context, Site.Feed.waitLoaded());
  CHECK(Site.Host.routes().version() == ConfigVersion(8));
  CHECK(Site.Host.servers().find(tokenOf(makeServer(4))) != nullptr);
  runTask(Site.Context, Site.Store.waitWatches(1));
}
