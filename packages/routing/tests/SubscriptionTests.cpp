#include "Fixture.h"

#include <numeric>

using namespace buckthorndeck;
using namespace buckthorndeck::routing;
using wire::SubscribeCommand;
using wire::UnsubscribeCommand;

namespace {

//! A feed whose events are the numbers 1 to Last.
struct Feeder {
  std::uint64_t Last = 0;

  //! Sends everything after the position of each new subscription.
  void operator()(FakeServer &Server, const wire::ServerCommand &Command) {
    if (const auto *Wanted = std::get_if<SubscribeCommand>(&Command))
      sendEvents(Server, Wanted->Id, Wanted->After.value() + 1, Last);
  }

  static void sendEvents(FakeServer &Server, std::uint64_t Id,
                         std::uint64_t From, std::uint64_t To) {
    for (std::uint64_t Number = From; Number <= To; ++Number)
      Server.send(wire::ServerEvent{.Id = Id, .Number = Sequence(Number)});
  }
};

//! What one subscriber received.
struct Received {
  std::vector<std::uint64_t> Numbers;

  SubscriptionRequest request(std::optional<Affinity> Preferred) {
    return {.Service = ObjectName("ns/service"),
            .Operation = "watch",
            .Preferred = std::move(Preferred),
            .OnEvent = [this](Sequence Number, const Bytes &) {
              Numbers.push_back(Number.value());
            }};
  }

  bool isWhole(std::uint64_t Last) const {
    std::vector<std::uint64_t> Wanted(Last);
    std::iota(Wanted.begin(), Wanted.end(), 1);
    return Numbers == Wanted;
  }
};

const Affinity ServerA{ObjectName("ns/a"), Generation(1)};

} // namespace

TEST_CASE("A subscription moves without gap or repeat", "[subscription]") {
  // Guards against a feed that stalls, skips or repeats when its server
  // drains, ends it or is lost.
  struct Row {
    const char *Name;
    void (*Leave)(Fixture &, std::uint64_t Id);
  };
  const Row Rows[] = {
      {"draining",
       [](Fixture &F, std::uint64_t) {
         F.Servers[0]->send(wire::ServerDraining{});
       }},
      {"drain declared",
       [](Fixture &F, std::uint64_t) {
         F.Objects.BackendServers[ServerA.Server].Draining = true;
         F.Routes.apply(F.Objects);
       }},
      {"ended",
       [](Fixture &F, std::uint64_t Id) {
         F.Servers[0]->send(wire::ServerEnded{.Id = Id});
       }},
      {"lost", [](Fixture &F, std::uint64_t) { F.Servers[0]->drop(); }},
      {"removed",
       [](Fixture &F, std::uint64_t) {
         F.Objects.BackendServers.erase(ServerA.Server);
         F.Routes.apply(F.Objects);
       }},
  };
  for (const Row &Case : Rows) {
    INFO(Case.Name);
    Fixture Test;
    Test.server("a", Feeder{.Last = 5});
    Test.server("b", Feeder{.Last = 9});
    static void (*Leave)(Fixture &, std::uint64_t);
    Leave = Case.Leave;
    Test.run([](Fixture &F) -> Task<> {
      co_await F.connect(2);
      Received Seen;
      const auto Open = F.Routes.subscribe(Seen.request(ServerA));
      co_await F.waitUntil([&](Fixture &) { return Seen.isWhole(5); });
      Leave(F, F.Servers[0]->ids<SubscribeCommand>()[0]);
      co_await F.Servers[1]->waitFor<SubscribeCommand>(1);
      co_await F.waitUntil([&](Fixture &) { return Seen.Numbers.size() >= 9; });
      CHECK(Seen.isWhole(9));
      CHECK(Open->lastDelivered() == Sequence(9));
      CHECK(Open->server()->Server == ObjectName("ns/b"));
      CHECK(F.Routes.counters().SubscriptionMoves == 1);
      CHECK(F.Servers[0]->ids<SubscribeCommand>().size() == 1);
    });
  }
}

TEST_CASE("A subscription stays on a draining server while it is the only one",
          "[subscription]") {
  // Guards against a planned change that stalls a feed.
  Fixture Test;
  Test.server("a", Feeder{.Last = 2});
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    Received Seen;
    const auto Open = F.Routes.subscribe(Seen.request(ServerA));
    co_await F.waitUntil([&](Fixture &) { return Seen.isWhole(2); });
    F.Servers[0]->send(wire::ServerDraining{});
    co_await F.waitUntil(
        [](Fixture &Self) { return Self.inState("draining") == 1; });
    const auto Id = F.Servers[0]->ids<SubscribeCommand>()[0];
    Feeder::sendEvents(*F.Servers[0], Id, 3, 4);
    co_await F.waitUntil([&](Fixture &) { return Seen.isWhole(4); });
    CHECK(F.Servers[0]->ids<UnsubscribeCommand>().empty());
  });
}

TEST_CASE("Repeated events are dropped and a gap asks another server",
          "[subscription]") {
  Fixture Test;
  Test.server("a", [](FakeServer &Server, const wire::ServerCommand &Command) {
    if (const auto *Wanted = std::get_if<SubscribeCommand>(&Command))
      for (const std::uint64_t Number : {1, 2, 2, 1, 3, 5})
        Server.send(
            wire::ServerEvent{.Id = Wanted->Id, .Number = Sequence(Number)});
  });
  Test.server("b", Feeder{.Last = 6});
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(2);
    Received Seen;
    const auto Open = F.Routes.subscribe(Seen.request(ServerA));
    co_await F.waitUntil([&](Fixture &) { return Seen.Numbers.size() >= 6; });
    CHECK(Seen.isWhole(6));
    CHECK(F.Routes.counters().EventGaps == 1);
    const auto &Moved = std::get<SubscribeCommand>(F.Servers[1]->Commands[0]);
    CHECK(Moved.After == Sequence(3));
  });
}

TEST_CASE("A closed subscription ends upstream and gives no event",
          "[subscription]") {
  Fixture Test;
  Test.server("a", Feeder{.Last = 1});
  Test.run([](Fixture &F) -> Task<> {
    co_await F.connect(1);
    Received Seen;
    auto Open = F.Routes.subscribe(Seen.request(std::nullopt));
    co_await F.waitUntil([&](Fixture &) { return Seen.isWhole(1); });
    Open.reset();
    co_await F.Servers[0]->waitFor<UnsubscribeCommand>(1);
    const auto Id = F.Servers[0]->ids<SubscribeCommand>()[0];
    CHECK(F.Servers[0]->ids<UnsubscribeCommand>()[0] == Id);
    Feeder::sendEvents(*F.Servers[0], Id, 2, 2);
    F.Servers[0]->send(wire::ServerDraining{});
    co_await F.waitUntil(
        [](Fixture &Self) { return Self.inState("draining") == 1; });
    CHECK(Seen.isWhole(1));
  });
}
