#include "FakePeers.h"

#include <algorithm>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <malloc.h>

using namespace buckthorndeck;
using namespace buckthorndeck::membership;

namespace {

constexpr const char *Usage = R"(Measures what membership costs one entry host.

One real Membership runs among fake peers under a virtual clock. The processor
time includes the clock and the delivery in memory, but not sockets and MACs.

Usage:
  bench-membership [--seconds=N] [--seed=N] [--json=FILE]

Options:
  --seconds=N  Virtual seconds per measurement [default: 1800].
  --seed=N     Seed of all random choices [default: 1].
  --json=FILE  Also write the results to FILE.
)";

//! Size of the fleet that the rates of failures and replacements are for.
constexpr double FullFleet = 1200;
constexpr double FailuresPerDay = 13;
constexpr double ReplacementsPerDay = 2500;
constexpr double SecondsPerDay = 86400;
constexpr unsigned RackHosts = 40;
//! Time to read the whole table and for its news to pass.
constexpr int WarmUpSeconds = 200;

struct Result {
  unsigned Hosts = 0;
  std::string Scenario;
  double BytesPerSecond = 0;   //!< Both directions, headers and MAC included.
  std::uint64_t PeakBytes = 0; //!< Largest mean over 10 s.
  double MicrosecondsPerSecond = 0;
  std::size_t HeapBytes = 0;
  std::size_t Reachable = 0;
};

void change(FakePeers &Peers, Member Peer, MemberState State) {
  Peer.State = State;
  merge(Peers.PeerTable, Peer, Peers.Time.now());
}

//! Failures and replacements of one second, in proportion to the fleet.
class Churn {
public:
  explicit Churn(FakePeers &Peers, unsigned Hosts)
      : Peers(Peers), Share(Hosts / FullFleet), NextIndex(Hosts + 1) {}

  void second() {
    removeExpiredMembers(Peers.PeerTable, Peers.Time.now(),
                         Milliseconds(600'000));
    for (auto Each = Failing.begin(); Each != Failing.end();) {
      ++Each->second;
      const Member &Known = Peers.PeerTable.Others.at(Each->first).Info;
      if (Each->second == 2)
        change(Peers, Known, MemberState::Suspect);
      if (Each->second == 5)
        change(Peers, Known, MemberState::Dead);
      Each = Each->second == 5 ? Failing.erase(Each) : std::next(Each);
    }
    if (happens(FailuresPerDay))
      fail(Peers.randomLivePeer());
    if (happens(ReplacementsPerDay)) {
      Member Old = Peers.randomLivePeer();
      ++Old.Refutation;
      change(Peers, Old, MemberState::Left);
      merge(Peers.PeerTable, makeMember(NextIndex++), Peers.Time.now());
    }
  }

  void fail(const Member &Peer) {
    Peers.FailedPeers.insert(Peer.Name);
    Failing[Peer.Name] = 0;
  }

private:
  bool happens(double PerDay) {
    return randomUnit(Peers.Random) < PerDay * Share / SecondsPerDay;
  }

  FakePeers &Peers;
  double Share;
  unsigned NextIndex;
  std::map<EntryHostName, int> Failing; //!< With the seconds since.
};

Result measure(unsigned Hosts, const std::string &Scenario, int Seconds,
               std::uint64_t Seed) {
  FakePeers Peers(Hosts, Seed);
  Peers.MakeUpdates = [&] {
    auto Updates = chooseUpdates(Peers.PeerTable, MaxUpdates);
    recordSent(Peers.PeerTable, Updates);
    return Updates;
  };
  for (int I = 0; I < WarmUpSeconds; ++I)
    Peers.advanceOneSecond();
  Churn Events(Peers, Hosts);
  if (Scenario == "rack lost") {
    std::vector<Member> Rack;
    for (const auto &[Name, Entry] : Peers.PeerTable.Others)
      if (Rack.size() < RackHosts)
        Rack.push_back(Entry.Info);
    for (const Member &Host : Rack)
      Events.fail(Host);
  }
  const std::uint64_t BytesBefore = Peers.totalBytes();
  const std::int64_t OwnBefore = Peers.PeerNanoseconds;
  std::int64_t Used = 0;
  Result Measured{.Hosts = Hosts, .Scenario = Scenario};
  std::vector<std::uint64_t> Totals{BytesBefore};
  for (int I = 0; I < Seconds; ++I) {
    if (Scenario != "rest")
      Events.second();
    {
      const CpuTimeMeter Running(Used);
      Peers.advanceOneSecond();
    }
    Totals.push_back(Peers.totalBytes());
    if (Totals.size() > 10)
      Measured.PeakBytes =
          std::max(Measured.PeakBytes,
                   (Totals.back() - Totals[Totals.size() - 11]) / 10);
  }
  const double Length = Seconds;
  Measured.BytesPerSecond =
      static_cast<double>(Peers.totalBytes() - BytesBefore) / Length;
  Measured.MicrosecondsPerSecond =
      static_cast<double>(Used - (Peers.PeerNanoseconds - OwnBefore)) / 1000 /
      Length;
  Measured.Reachable = Peers.Node->reachable().size();
  // The table of the peers grows by as much as they learn, so that only the
  // node is counted when the peers' events have been taken out.
  const std::size_t WithNode = mallinfo2().uordblks;
  Peers.Node.reset();
  Peers.Time.advance(Milliseconds(5000));
  Measured.HeapBytes = WithNode - mallinfo2().uordblks;
  return Measured;
}

} // namespace

int main(int Count, char **Arguments) {
  auto Options = docopt::docopt(Usage, {Arguments + 1, Arguments + Count});
  const int Seconds = static_cast<int>(Options["--seconds"].asLong());
  const std::uint64_t Seed = Options["--seed"].asLong();
  Json Document = Json::array();
  std::cout << "| hosts | scenario | bytes/s | peak bytes/s over 10 s | "
               "processor, % of a core | heap, KB | reachable |\n"
               "|---|---|---|---|---|---|---|\n";
  for (const unsigned Hosts : {3U, 9U, 80U, 200U, 1200U})
    for (const std::string Scenario : {"rest", "churn", "rack lost"}) {
      if (Scenario == "rack lost" && Hosts < 2 * RackHosts)
        continue;
      const Result R = measure(Hosts, Scenario, Seconds, Seed);
      const double Percent = R.MicrosecondsPerSecond / 10'000;
      std::cout << "| " << R.Hosts << " | " << R.Scenario << " | "
                << static_cast<std::uint64_t>(R.BytesPerSecond) << " | "
                << R.PeakBytes << " | " << Percent << " | "
                << R.HeapBytes / 1024 << " | " << R.Reachable << " |"
                << std::endl;
      Document.push_back({{"hosts", R.Hosts},
                          {"scenario", R.Scenario},
                          {"bytes_per_second", R.BytesPerSecond},
                          {"peak_bytes_per_second", R.PeakBytes},
                          {"processor_percent", Percent},
                          {"heap_bytes", R.HeapBytes},
                          {"reachable", R.Reachable}});
    }
  if (Options["--json"])
    std::ofstream(Options["--json"].asString()) << Document.dump(2) << "\n";
  return 0;
}
