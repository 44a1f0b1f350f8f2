#include "buckthorndeck/faults/Soak.h"
#include "buckthorndeck/base/Log.h"

#include <docopt/docopt.h>
#include <filesystem>
#include <iostream>
#include <map>
#include <sstream>

using namespace buckthorndeck;
using namespace buckthorndeck::faults;

namespace {

constexpr const char *Usage =
    R"(soak: random faults against real entry hosts, with the promises checked.

Usage:
  soak --program=FILE [--seeds=FIRST-LAST] [--seconds=N] [--hosts=N]
       [--domains=N] [--servers=N] [--long-flows=N] [--short-flows=N]
       [--pause-ms=N] [--kinds=NAMES] [--logs=DIRECTORY]
  soak (-h | --help)

Options:
  --program=FILE       The program buckthorndeck.
  --seeds=FIRST-LAST   One run for each seed [default: 1-50].
  --seconds=N          Time of each run in which faults begin [default: 20].
  --hosts=N            Entry hosts [default: 4].
  --domains=N          Failure domains [default: 2].
  --servers=N          Backend servers of each of two services [default: 4].
  --long-flows=N       Callers that keep their flow [default: 12].
  --short-flows=N      Callers that open a flow each time [default: 6].
  --pause-ms=N         Longest pause between two faults; 0 lets the seed draw
                       it [default: 0].
  --kinds=NAMES        Kinds of faults, separated by commas; all if empty
                       [default: ].
  --logs=DIRECTORY     Settings and logs of hosts, by seed [default: out/soak].
  -h --help            Show this text.

Exit codes:
  0  every promise was kept in every run
  1  a promise was broken; the seed and the promise are printed
  2  wrong usage
)";

enum ExitCode : int { Kept = 0, BrokenPromise = 1, WrongUsage = 2 };

using Arguments = std::map<std::string, docopt::value>;

unsigned numberOf(const Arguments &Given, const std::string &Name) {
  return static_cast<unsigned>(Given.at(Name).asLong());
}

SoakOptions optionsFrom(const Arguments &Given) {
  SoakOptions Options;
  Options.Site.Program = Given.at("--program").asString();
  Options.Site.Hosts = numberOf(Given, "--hosts");
  Options.Site.Domains = numberOf(Given, "--domains");
  Options.Site.ServersPerService = numberOf(Given, "--servers");
  Options.Traffic.LongFlows = numberOf(Given, "--long-flows");
  Options.Traffic.ShortFlows = numberOf(Given, "--short-flows");
  Options.Length = std::chrono::seconds(numberOf(Given, "--seconds"));
  Options.MaxPause = Milliseconds(numberOf(Given, "--pause-ms"));
  std::istringstream Kinds(Given.at("--kinds").asString());
  for (std::string Name; std::getline(Kinds, Name, ',');)
    Options.Kinds.push_back(Name);
  return Options;
}

int runSeeds(const Arguments &Given) {
  const std::string Seeds = Given.at("--seeds").asString();
  const std::size_t Hyphen = Seeds.find('-');
  const std::uint64_t First = std::stoull(Seeds.substr(0, Hyphen));
  const std::uint64_t Last = Hyphen == std::string::npos
                                 ? First
                                 : std::stoull(Seeds.substr(Hyphen + 1));
  SoakOptions Options = optionsFrom(Given);
  int Code = Kept;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    Options.Site.Seed = Options.Traffic.Seed = Seed;
    Options.Site.Directory =
        Given.at("--logs").asString() + "/seed-" + std::to_string(Seed);
    std::filesystem::remove_all(Options.Site.Directory);
    std::filesystem::create_directories(Options.Site.Directory);
    const SoakReport Report = runSoak(Options);
    std::cout << "seed " << Seed << "\n" << describe(Report) << std::flush;
    if (!Report.Broken.empty())
      Code = BrokenPromise;
  }
  return Code;
}

} // namespace

int main(int Argc, char **Argv) {
  initLogging({.Threshold = LogLevel::Error, .Program = "soak"});
  try {
    const std::vector<std::string> Words(Argv + 1, Argv + Argc);
    return runSeeds(docopt::docopt_parse(Usage, Words, /*help=*/true));
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return Kept;
  } catch (const std::exception &Caught) {
    std::cerr << "soak: " << Caught.what() << "\nTry 'soak --help'.\n";
    return WrongUsage;
  }
}
