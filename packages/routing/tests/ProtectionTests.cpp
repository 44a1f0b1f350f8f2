#include "buckthorndeck/routing/RetryBudget.h"
#include "buckthorndeck/routing/ServerHealth.h"
#include "buckthorndeck/routing/Shedding.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::routing;

namespace {

TimePoint at(int Ms) {
  return TimePoint(std::chrono::hours(1) + Milliseconds(Ms));
}

ServerHealth failing(int Failures, int Ms = 0) {
  RandomEngine Random(1);
  ServerHealth Health;
  for (int Count = 0; Count < Failures; ++Count)
    recordFailure(Health, at(Ms), Random);
  return Health;
}

int countEjected(const std::vector<ServerHealth> &Servers, TimePoint Now) {
  std::vector<const ServerHealth *> Pointers;
  Pointers.reserve(Servers.size());
  for (const ServerHealth &Health : Servers)
    Pointers.push_back(&Health);
  const auto Ejected = ejectedServers(Pointers, Now);
  return static_cast<int>(std::count(Ejected.begin(), Ejected.end(), true));
}

} // namespace

TEST_CASE("Only consecutive failures make a server unhealthy", "[health]") {
  // Guards against ejecting a server for single failures between successes.
  CHECK(failing(4).UnhealthyUntil < at(0));
  ServerHealth Health = failing(4);
  recordSuccess(Health, at(0));
  RandomEngine Random(1);
  CHECK_FALSE(recordFailure(Health, at(0), Random));
  CHECK(failing(5).UnhealthyUntil > at(1000));
}

TEST_CASE("At most a third of a service's servers are ejected", "[health]") {
  // Guards against a fault of the host itself, after which every server looks
  // unhealthy and would be ejected.
  struct TestCase {
    int Servers;
    int Unhealthy;
    int Ejected;
  };
  const TestCase TestCases[] = {{15, 0, 0}, {15, 1, 1},  {15, 5, 5}, {15, 7, 5},
                                {15, 8, 0}, {15, 15, 0}, {4, 1, 1},  {4, 2, 1},
                                {4, 3, 0},  {3, 1, 1},   {2, 1, 0},  {1, 1, 0}};
  for (const TestCase &Case : TestCases) {
    INFO(Case.Unhealthy << " of " << Case.Servers);
    std::vector<ServerHealth> Servers(Case.Servers);
    for (int Index = 0; Index < Case.Unhealthy; ++Index)
      Servers[Index] = failing(5);
    CHECK(countEjected(Servers, at(1)) == Case.Ejected);
    CHECK(countEjected(Servers, at(60'000)) == 0);
  }
}

TEST_CASE("A server that fails again is ejected at once and for longer",
          "[health]") {
  // Guards against a broken server that gets requests as often as before after
  // each ejection.
  RandomEngine Random(1);
  ServerHealth Health = failing(5);
  const auto First = Health.UnhealthyUntil - at(0);
  REQUIRE(recordFailure(Health, at(10'000), Random));
  CHECK(Health.UnhealthyUntil - at(10'000) > First);
  recordSuccess(Health, at(60'000));
  CHECK(Health.Ejections == 0);
}

TEST_CASE("Retries are limited to a tenth of the requests plus a reserve",
          "[budget]") {
  // Guards against retries that multiply the load of the remaining servers when
  // one fails.
  RetryBudget Budget;
  for (int Request = 0; Request < 200; ++Request)
    recordRequest(Budget);
  int Granted = 0;
  while (takeRetry(Budget, at(0)))
    ++Granted;
  CHECK(Granted >= 22);
  CHECK(Granted <= 23);
  CHECK_FALSE(takeRetry(Budget, at(100)));
  CHECK(takeRetry(Budget, at(3000)));
}

TEST_CASE("A request is shed only if it cannot meet its deadline", "[shed]") {
  // Guards against shedding requests that can be in time, also when no service
  // time is known yet.
  struct TestCase {
    QueueState Queue;
    int DeadlineMs;
    bool Waits;
  };
  const TestCase TestCases[] = {
      {{.Ahead = 0, .InFlight = 4, .ServiceTimeMs = 100}, 100, true},
      {{.Ahead = 0, .InFlight = 4, .ServiceTimeMs = 100}, 40, false},
      {{.Ahead = 8, .InFlight = 4, .ServiceTimeMs = 100}, 300, true},
      {{.Ahead = 8, .InFlight = 4, .ServiceTimeMs = 100}, 140, false},
      {{.Ahead = 8, .InFlight = 0, .ServiceTimeMs = 100}, 400, false},
      {{.Ahead = 1000, .InFlight = 1, .ServiceTimeMs = 0}, 1, true},
  };
  for (const TestCase &Case : TestCases) {
    INFO(Case.Queue.Ahead << " ahead, " << Case.DeadlineMs << " ms left");
    CHECK(canMeetDeadline(Case.Queue, at(Case.DeadlineMs), at(0)) ==
          Case.Waits);
  }
}
