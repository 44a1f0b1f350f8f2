#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/bench/SelectionModel.h"

#include <algorithm>
#include <cstdio>
#include <iostream>

using namespace buckthorndeck;
using namespace buckthorndeck::bench;

namespace {

constexpr std::uint64_t Seeds = 10;

struct Row {
  ModelOptions Options;
  double Imbalance = 0;      //!< Mean over the seeds.
  double WorstImbalance = 0; //!< Highest of the seeds.
  double RefusalsPerRequest = 0;
  std::vector<double> RequestMs; //!< Sorted, of all seeds.

  double quantile(double Share) const {
    const auto Count = static_cast<double>(RequestMs.size() - 1);
    return RequestMs[static_cast<std::size_t>(Share * Count)];
  }
};

Row measure(ModelOptions Options) {
  Row Result{.Options = Options};
  std::uint64_t Refusals = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Options.Seed = Seed;
    const ModelResult One = runModel(Options);
    Result.Imbalance += One.Imbalance / Seeds;
    Result.WorstImbalance = std::max(Result.WorstImbalance, One.Imbalance);
    Refusals += One.Refusals;
    Result.RequestMs.insert(Result.RequestMs.end(), One.RequestMs.begin(),
                            One.RequestMs.end());
  }
  std::sort(Result.RequestMs.begin(), Result.RequestMs.end());
  Result.RefusalsPerRequest = static_cast<double>(Refusals) /
                              static_cast<double>(Result.RequestMs.size());
  return Result;
}

void printHeader() {
  std::puts("| servers | slots | load % | policy | imbalance | worst seed | "
            "refusals/request | p50 ms | p99 ms | p99.9 ms |");
  std::puts("|---|---|---|---|---|---|---|---|---|---|");
}

void print(const Row &Result) {
  std::printf("| %zu | %u | %.0f | %s | %.3f | %.3f | %.2f | %.1f | %.0f | "
              "%.0f |\n",
              Result.Options.Servers, Result.Options.Slots,
              Result.Options.Load * 100, toString(Result.Options.Choice),
              Result.Imbalance, Result.WorstImbalance,
              Result.RefusalsPerRequest, Result.quantile(0.5),
              Result.quantile(0.99), Result.quantile(0.999));
  std::fflush(stdout);
}

Json toJson(const Row &Result) {
  return {{"servers", Result.Options.Servers},
          {"slots", Result.Options.Slots},
          {"load", Result.Options.Load},
          {"policy", toString(Result.Options.Choice)},
          {"imbalance", Result.Imbalance},
          {"worst_imbalance", Result.WorstImbalance},
          {"refusals_per_request", Result.RefusalsPerRequest},
          {"p50_ms", Result.quantile(0.5)},
          {"p99_ms", Result.quantile(0.99)},
          {"p999_ms", Result.quantile(0.999)}};
}

} // namespace

//! Prints a Markdown table and then the same rows as one line of JSON.
int main() {
  Json Rows = Json::array();
  printHeader();
  for (const std::size_t Servers : {15, 4})
    for (const std::uint32_t Slots : {2, 3})
      for (const double Load : {0.5, 0.8, 0.95})
        for (const Policy Choice :
             {Policy::Balance, Policy::Continuity, Policy::Random,
              Policy::RoundRobin, Policy::LeastOutstanding, Policy::Ideal}) {
          const Row Result = measure(ModelOptions{.Choice = Choice,
                                                  .Servers = Servers,
                                                  .Slots = Slots,
                                                  .Load = Load});
          print(Result);
          Rows.push_back(toJson(Result));
        }
  std::cout << '\n' << Rows.dump() << '\n';
}
