// The cases of this review that are scripts: `cases NAME RECORD`. Exits with 1
// if the rule was broken, 0 if it held, 2 if the case couldn't run. With
// TROUBLE=0 in the environment, the same without the disruption.
#include "world.hh"

#include <cmath>
#include <cstdlib>
#include <cstring>
#include <random>

using namespace review;

namespace {

enum Verdict : int { Held = 0, Broken = 1, NotRun = 2 };

constexpr std::uint16_t Port = 8443;
//! Of a server, as on the site.
constexpr std::size_t MaxConnections = 2000;

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::strcmp(Value, "0") != 0;
}

//! Opens Rate flows a second from Begin to End, each for a request and for
//! MeanHoldMs of idle time on average.
void traffic(World &W, std::uint16_t RoutePort, Ms Begin, Ms End, double Rate,
             Ms MeanHoldMs) {
  static std::mt19937 Random(20261207);
  std::exponential_distribution<double> Hold(1);
  for (Ms At = Begin; At < End; At += 1000 / Rate) {
    const Ms HoldMs = MeanHoldMs * Hold(Random);
    W.at(At, [&W, RoutePort, HoldMs] { W.openFlow(RoutePort, HoldMs); });
  }
}

//! Violations that are described one by one.
constexpr unsigned MaxDescribed = 20;

void summary(World &W) {
  std::map<const ClientFlow *, const Run *> Ran;
  for (const Run &R : W.Runs)
    Ran[R.Flow] = &R;
  std::map<std::string, unsigned> Count;
  W.record("requests: number, route's port, times of the opening packets sent, "
           "outcome at the client; where it ran, opening packet that the "
           "server took, entry host, arrival");
  for (const auto &F : W.Flows) {
    const std::string Outcome = F->Outcome.empty() ? "in progress" : F->Outcome;
    ++Count[Outcome];
    std::string Sent;
    for (const Ms At : F->SentAt)
      if (At >= 0)
        Sent += " " + std::to_string(std::lround(At));
    const auto Found = Ran.find(F.get());
    if (Found == Ran.end()) {
      W.note("%llu %u%s %s", static_cast<unsigned long long>(F->Number),
             F->RoutePort, Sent.c_str(), Outcome.c_str());
      continue;
    }
    const Run &R = *Found->second;
    W.note("%llu %u%s %s; %s %s %u %s %.0f",
           static_cast<unsigned long long>(F->Number), F->RoutePort,
           Sent.c_str(), Outcome.c_str(), R.At->Service.c_str(),
           R.At->Id.c_str(), R.Copy, W.hostName(R.Via).c_str(), R.OpeningAt);
  }
  for (const auto &[Outcome, Number] : Count)
    W.record("requests %s: %u", Outcome.c_str(), Number);
  for (const auto &S : W.Servers)
    W.record("server %s of %s ran %llu", S->Id.c_str(), S->Service.c_str(),
             static_cast<unsigned long long>(S->Runs));
}

int verdict(World &W, unsigned Violations, const char *Rule, std::size_t Runs,
            std::size_t LeastRuns) {
  summary(W);
  if (W.HostDied) {
    W.record("verdict: an entry host ended by itself");
    return Broken;
  }
  W.record("verdict: %s broken %u times", Rule, Violations);
  if (Runs < LeastRuns) {
    W.record("only %zu requests ran: the case shows nothing", Runs);
    return NotRun;
  }
  return Violations > 0 ? Broken : Held;
}

//! A route is removed from a service that is full and added for another one.
int movedRoute(World &W) {
  for (unsigned I = 0; I < 2; ++I)
    W.addServer("old", MaxConnections);
  for (unsigned I = 0; I < 4; ++I)
    W.addServer("new", MaxConnections);
  const std::map<std::string, std::size_t> Services{{"old", MaxConnections},
                                                    {"new", MaxConnections}};
  W.Keys.put(W, "op/config",
             configText(3, {{Port, "old"}}, Services, W.RouteIp));
  W.startHosts(3);
  if (!W.waitReady(10000))
    return NotRun;
  const Ms Begin = W.now() + 500;
  // Flows are kept for 10 s on average, so that 600 a second would be 6,000 at
  // a time, while the servers hold 4,000.
  traffic(W, Port, Begin, Begin + 20000, withTrouble() ? 600 : 300, 10000);
  // Three versions in quick succession: a route is added, the route of the
  // flows is removed, and its address is added again for the other service.
  Ms Moved = -1;
  const auto Publish =
      [&](Ms At, unsigned Version,
          std::vector<std::pair<unsigned, std::string>> Routes) {
        W.at(Begin + At, [&, Version, Routes] {
          W.Keys.put(W, "op/config",
                     configText(Version, Routes, Services, W.RouteIp));
          Moved = W.now();
        });
      };
  Publish(15200, 5, {{Port, "old"}, {9000, "new"}});
  Publish(15600, 8, {{9000, "new"}});
  Publish(16000, 12, {{Port, "new"}, {9000, "new"}});
  W.runUntil(Begin + 22500);

  // When a server saw the first effect of version 12 through each host.
  std::map<std::uint32_t, Ms> Effect;
  for (const Run &R : W.Runs)
    if (R.At->Service == "new" &&
        (!Effect.contains(R.Via) || R.OpeningAt < Effect[R.Via]))
      Effect[R.Via] = R.OpeningAt;
  unsigned Violations = 0;
  for (const Run &R : W.Runs) {
    if (R.At->Service != "old" || !Effect.contains(R.Via))
      continue;
    const Ms Late = R.Flow->SentAt[R.Copy] - Effect[R.Via];
    const Ms AfterBound = R.Flow->SentAt[R.Copy] - Moved - ConfigApplyMs;
    if (Late <= RevertSlackMs && AfterBound <= 0)
      continue;
    ++Violations;
    if (Violations <= MaxDescribed)
      W.record(
          "CONFIG: request %llu, opened by copy %u sent %.0f ms after a "
          "server saw version 12 through %s, ran at the service of version 5",
          static_cast<unsigned long long>(R.Flow->Number), R.Copy, Late,
          W.hostName(R.Via).c_str());
  }
  return verdict(W, Violations, "CONFIG", W.Runs.size(), 300);
}

//! The servers of a service fall silent towards the store.
int silentServers(World &W) {
  for (unsigned I = 0; I < 2; ++I)
    W.addServer("only", MaxConnections);
  for (unsigned I = 0; I < 2; ++I)
    W.addServer("other", MaxConnections);
  // They report every 1.2 s, a little apart.
  W.Servers[1]->NextReport = W.now() + 150;
  W.Keys.put(W, "op/config",
             configText(3, {{Port, "only"}, {8080, "other"}},
                        {{"only", MaxConnections}, {"other", MaxConnections}},
                        W.RouteIp));
  W.startHosts(3);
  if (!W.waitReady(10000))
    return NotRun;
  const Ms Begin = W.now() + 3000;
  traffic(W, Port, Begin, Begin + 13000, 60, 0);
  traffic(W, 8080, Begin, Begin + 13000, 10, 0);
  if (withTrouble())
    W.at(Begin + 2000, [&] {
      W.Servers[0]->Reports = W.Servers[1]->Reports = false;
      W.record("the reports of two servers no longer reach the store");
    });
  W.runUntil(Begin + 14500);
  unsigned Violations = 0;
  for (const Run &R : W.Runs) {
    if (R.At->GoneAt < 0 || R.OpeningAt <= R.At->GoneAt + DrainMs)
      continue;
    ++Violations;
    if (Violations <= MaxDescribed)
      W.record("DRAIN: request %llu reached %s through %s %.0f ms after the "
               "store had said that it is gone",
               static_cast<unsigned long long>(R.Flow->Number),
               R.At->Id.c_str(), W.hostName(R.Via).c_str(),
               R.OpeningAt - R.At->GoneAt);
  }
  return verdict(W, Violations, "DRAIN", W.Runs.size(), 150);
}

//! Another writer puts large values into the store in one transaction.
int largeEntries(World &W) {
  for (unsigned I = 0; I < 3; ++I)
    W.addServer("floor", MaxConnections);
  W.Keys.put(
      W, "op/config",
      configText(3, {{Port, "floor"}}, {{"floor", MaxConnections}}, W.RouteIp));
  W.startHosts(3);
  if (!W.waitReady(10000))
    return NotRun;
  const Ms Begin = W.now() + 3000;
  traffic(W, Port, Begin, Begin + 16000, 60, 0);
  const std::string Value(1048576, withTrouble() ? '\xff' : 'x');
  W.at(Begin + 2000, [&] {
    const std::string Small = "x";
    const std::string *Written = withTrouble() ? &Value : &Small;
    W.Keys.change(W, {{"servers/i-f1", Written},
                      {"servers/i-f2", Written},
                      {"servers/i-f3", Written},
                      {"servers/i-f4", Written}});
  });
  Ms Acknowledged = -1;
  W.at(Begin + 4000, [&] {
    W.Keys.put(W, "op/config",
               configText(8, {{Port, "floor"}, {8080, "floor"}},
                          {{"floor", MaxConnections}}, W.RouteIp));
    Acknowledged = W.now();
    W.Servers[0]->Draining = true;
    W.Servers[0]->NextReport = W.now();
  });
  // A few requests on the new route, later than the bound.
  traffic(W, 8080, Begin + 4000 + ConfigApplyMs + 200, Begin + 16000, 10, 0);
  W.runUntil(Begin + 17500);
  unsigned Violations = 0;
  for (const auto &F : W.Flows)
    if (F->RoutePort == 8080 && F->Outcome.starts_with("refused") &&
        F->SentAt[0] > Acknowledged + ConfigApplyMs) {
      ++Violations;
      if (Violations <= MaxDescribed)
        W.record("CONFIG: request %llu, sent %.0f ms after version 8 was "
                 "acknowledged, was refused though it has the route",
                 static_cast<unsigned long long>(F->Number),
                 F->SentAt[0] - Acknowledged);
    }
  for (const Run &R : W.Runs)
    if (R.At->DrainingAt >= 0 && R.OpeningAt > R.At->DrainingAt + DrainMs) {
      ++Violations;
      if (Violations <= MaxDescribed)
        W.record("DRAIN: request %llu reached %s %.0f ms after the store had "
                 "accepted that it is draining",
                 static_cast<unsigned long long>(R.Flow->Number),
                 R.At->Id.c_str(), R.OpeningAt - R.At->DrainingAt);
    }
  return verdict(W, Violations, "CONFIG or DRAIN", W.Runs.size(), 300);
}

} // namespace

int main(int Count, char **Words) {
  if (Count != 3)
    return NotRun;
  World W(Words[2]);
  const std::string Name = Words[1];
  if (Name == "moved-route")
    return movedRoute(W);
  if (Name == "silent-servers")
    return silentServers(W);
  if (Name == "large-entries")
    return largeEntries(W);
  return NotRun;
}
