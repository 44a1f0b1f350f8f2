#include "buckthorndeck/membership/Watchers.h"

#include "buckthorndeck/base/Hash.h"

#include <algorithm>

namespace buckthorndeck::membership {

std::vector<EntryHostName>
choosePlatformWatchers(const std::vector<Member> &Members,
                       const FailureDomainName &Domain, std::size_t Count) {
  std::vector<std::pair<std::uint64_t, EntryHostName>> Scores;
  for (const Member &Candidate : Members)
    if (Candidate.FailureDomain == Domain &&
        (Candidate.State == MemberState::Alive ||
         Candidate.State == MemberState::Suspect))
      Scores.emplace_back(
          rendezvousScore(Domain.value(), Candidate.Name.value()),
          Candidate.Name);
  std::sort(Scores.begin(), Scores.end(), std::greater<>());
  Scores.resize(std::min(Scores.size(), Count));
  std::vector<EntryHostName> Watchers;
  Watchers.reserve(Scores.size());
  for (auto &[Score, Name] : Scores)
    Watchers.push_back(std::move(Name));
  return Watchers;
}

} // namespace buckthorndeck::membership
