// Measures what the configuration costs one entry host: size of a whole set
// and of one change, heap, and processor time, by number of backend servers.
// Prints a Markdown table. Needs no arguments.

#include "buckthorndeck/config/Delta.h"
#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/sync/VersionHistory.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <malloc.h>

using namespace buckthorndeck;
using namespace buckthorndeck::config;

namespace {

constexpr unsigned Repeats = 5;

//! Servers and service addresses in the proportion of 8,800 to 3,900.
ObjectSet makeSet(unsigned Servers) {
  ObjectSet Set;
  const unsigned Services = (Servers * 39 + 87) / 88;
  const ObjectName Place("exchange/kita");
  Set.Places[Place] = {.Name = Place,
                       .Region = RegionName("doo-central"),
                       .FailureDomain = FailureDomainName("sapporo-kita")};
  for (unsigned Index = 0; Index < Services; ++Index) {
    const ObjectName Name("exchange/service-" + std::to_string(Index));
    const ObjectName Rule("exchange/rule-" + std::to_string(Index));
    Set.Services[Name] = {
        .Name = Name,
        .Address = ServiceAddress("10.1." + std::to_string(Index / 250) + "." +
                                  std::to_string(Index % 250 + 1) + ":7000")};
    Set.Rules[Rule] = {
        .Name = Rule,
        .Service = Name,
        .Operations = {{.Name = "bid"}, {.Name = "watch", .Idempotent = true}}};
  }
  for (unsigned Index = 0; Index < Servers; ++Index) {
    const ObjectName Name("exchange/server-" + std::to_string(Index));
    Set.BackendServers[Name] = {
        .Name = Name,
        .Place = Place,
        .Service =
            ObjectName("exchange/service-" + std::to_string(Index % Services)),
        .Address = "10.2." + std::to_string(Index / 250) + "." +
                   std::to_string(Index % 250 + 1) + ":8000",
        .ServerGeneration = Generation(1),
        .Slots = 2};
  }
  return Set;
}

double processorMs() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) * 1e3 +
         static_cast<double>(Now.tv_nsec) / 1e6;
}

//! Processor time of one run of Work, the least of some.
template <typename Function> double measure(Function Work) {
  double Least = 1e12;
  for (unsigned Run = 0; Run < Repeats; ++Run) {
    const double Begin = processorMs();
    Work();
    Least = std::min(Least, processorMs() - Begin);
  }
  return Least;
}

void measureSize(unsigned Servers) {
  const std::size_t HeapBefore = mallinfo2().uordblks;
  const ObjectSet Before = makeSet(Servers);
  const std::size_t Heap = mallinfo2().uordblks - HeapBefore;
  ObjectSet After = Before;
  After.BackendServers.begin()->second.Draining = true;
  const std::size_t WholeBytes = encodeCbor(toJson(Before)).size();
  const std::size_t ChangeBytes = encodeDelta(makeDelta(Before, After)).size();
  Digest Kept;
  const double DigestMs = measure([&] { Kept = digestOf(Before); });
  const Digest Wanted = digestOf(After);
  const double ApplyMs = measure([&] {
    sync::VersionHistory History;
    (void)sync::applySet(History, ConfigVersion(1), Kept, Before);
    (void)sync::applySet(History, ConfigVersion(2), Wanted, After);
  });
  std::printf("| %u | %zu | %zu | %zu | %.2f | %.2f |\n", Servers, WholeBytes,
              ChangeBytes, Heap / 1024, DigestMs, ApplyMs / 2);
}

} // namespace

int main() {
  std::printf("| servers | whole set, bytes | one change, bytes | heap, KB | "
              "digest, ms | putting a version into force, ms |\n"
              "|---|---|---|---|---|---|\n");
  for (unsigned Servers : {100U, 1000U, 4000U, 8800U})
    measureSize(Servers);
  return 0;
}
