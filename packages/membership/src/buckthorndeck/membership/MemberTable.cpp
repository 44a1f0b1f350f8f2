#include "buckthorndeck/membership/MemberTable.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace buckthorndeck::membership {

namespace {

//! An update that an outdated peer lacks is queued again at most once in this
//! time, so that one such peer cannot keep it circulating.
constexpr Milliseconds RequeueInterval{10'000};

//! Of two states with equal start time and refutation, the higher precedence
//! wins. Suspect overrides leaving, because a leaving host can fail as well.
int precedence(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return 0;
  case MemberState::Leaving:
    return 1;
  case MemberState::Suspect:
    return 2;
  case MemberState::Dead:
    return 3;
  case MemberState::Left:
    return 4;
  }
  return 0;
}

void queueUpdate(MemberTable &Table, const EntryHostName &Name) {
  Table.PendingUpdates[Name] = 0;
}

void queueUpdate(MemberTable &Table, MemberEntry &Entry, TimePoint Now) {
  queueUpdate(Table, Entry.Info.Name);
  Entry.LastQueued = Now;
}

bool isDeadOrLeft(const Member &Candidate) {
  return Candidate.State == MemberState::Dead ||
         Candidate.State == MemberState::Left;
}

//! True if Claim wins over Recorded. Both have the same start time.
bool overrides(const Member &Claim, const Member &Recorded) {
  if (Recorded.State == MemberState::Left)
    return false;
  if (Claim.State == MemberState::Left)
    return true;
  if (Claim.Refutation != Recorded.Refutation)
    return Claim.Refutation > Recorded.Refutation;
  return precedence(Claim.State) > precedence(Recorded.State);
}

MergeResult mergeSelf(MemberTable &Table, const Member &Claim) {
  Member &Self = Table.Self;
  if (Claim.StartTime > Self.StartTime)
    return MergeResult::Replaced;
  if (Claim.StartTime < Self.StartTime)
    return MergeResult::Outdated;
  if (Self.State == MemberState::Left || !overrides(Claim, Self))
    return MergeResult::Unchanged;
  Self.Refutation = Claim.Refutation + 1;
  queueUpdate(Table, Self.Name);
  return MergeResult::Refuted;
}

std::optional<Member> nextInRound(std::vector<EntryHostName> &Round,
                                  const MemberTable &Table,
                                  RandomEngine &Random, bool SameRegion) {
  const auto IsCandidate = [&](const Member &Candidate) {
    return isReachable(Candidate) &&
           (Candidate.Region == Table.Self.Region) == SameRegion;
  };
  // The second pass runs on a new round, so it finds no member only if there is
  // none to probe.
  for (int Pass = 0; Pass < 2; ++Pass) {
    while (!Round.empty()) {
      const EntryHostName Name = std::move(Round.back());
      Round.pop_back();
      auto Found = Table.Others.find(Name);
      if (Found != Table.Others.end() && IsCandidate(Found->second.Info))
        return Found->second.Info;
    }
    for (const auto &[Name, Entry] : Table.Others)
      if (IsCandidate(Entry.Info))
        Round.push_back(Name);
    std::shuffle(Round.begin(), Round.end(), Random);
  }
  return std::nullopt;
}

} // namespace

bool isReachable(const Member &Candidate) { return !isDeadOrLeft(Candidate); }

MergeResult merge(MemberTable &Table, const Member &Claim, TimePoint Now,
                  Propagate ToOthers) {
  if (Claim.Name == Table.Self.Name)
    return mergeSelf(Table, Claim);
  auto Found = Table.Others.find(Claim.Name);
  if (Found == Table.Others.end()) {
    if (isDeadOrLeft(Claim))
      return MergeResult::Unchanged;
    MemberEntry &Entry = Table.Others[Claim.Name];
    Entry = MemberEntry{.Info = Claim, .StateSince = Now, .LastQueued = Now};
    Entry.Info.Version = ConfigVersion();
    if (ToOthers == Propagate::Yes)
      queueUpdate(Table, Entry, Now);
    return MergeResult::Changed;
  }
  MemberEntry &Entry = Found->second;
  const bool SameStart = Claim.StartTime == Entry.Info.StartTime;
  if (Claim.StartTime < Entry.Info.StartTime ||
      (SameStart && overrides(Entry.Info, Claim))) {
    if (Now - Entry.LastQueued >= RequeueInterval)
      queueUpdate(Table, Entry, Now);
    return MergeResult::Outdated;
  }
  if (SameStart && !overrides(Claim, Entry.Info))
    return MergeResult::Unchanged;
  const ConfigVersion Version =
      SameStart ? Entry.Info.Version : ConfigVersion();
  if (!SameStart || Claim.State != Entry.Info.State)
    Entry.StateSince = Now;
  Entry.Info = Claim;
  Entry.Info.Version = Version;
  Entry.SuspectedHere = false;
  if (ToOthers == Propagate::Yes)
    queueUpdate(Table, Entry, Now);
  return MergeResult::Changed;
}

bool recordVersion(MemberTable &Table, const Member &From) {
  auto Found = Table.Others.find(From.Name);
  if (Found == Table.Others.end() ||
      Found->second.Info.StartTime != From.StartTime ||
      Found->second.Info.Version >= From.Version)
    return false;
  Found->second.Info.Version = From.Version;
  return true;
}

bool suspect(MemberTable &Table, const EntryHostName &Name, Incarnation Start,
             TimePoint Now) {
  auto Found = Table.Others.find(Name);
  if (Found == Table.Others.end() || Found->second.Info.StartTime != Start)
    return false;
  Member Claim = Found->second.Info;
  if (Claim.State != MemberState::Alive && Claim.State != MemberState::Leaving)
    return false;
  Claim.State = MemberState::Suspect;
  if (merge(Table, Claim, Now) != MergeResult::Changed)
    return false;
  Found->second.SuspectedHere = true;
  return true;
}

std::vector<Member> expireSuspicions(MemberTable &Table, TimePoint Now,
                                     Milliseconds Timeout) {
  std::vector<Member> Expired;
  for (auto &[Name, Entry] : Table.Others) {
    if (Entry.Info.State != MemberState::Suspect ||
        Now - Entry.StateSince < (Entry.SuspectedHere ? Timeout : 2 * Timeout))
      continue;
    Entry.Info.State = MemberState::Dead;
    Entry.StateSince = Now;
    queueUpdate(Table, Entry, Now);
    Expired.push_back(Entry.Info);
  }
  return Expired;
}

void restartSuspicions(MemberTable &Table, TimePoint Now) {
  for (auto &[Name, Entry] : Table.Others)
    if (Entry.Info.State == MemberState::Suspect)
      Entry.StateSince = Now;
}

void removeExpiredMembers(MemberTable &Table, TimePoint Now,
                          Milliseconds Retention) {
  std::erase_if(Table.Others, [&](const auto &Item) {
    const MemberEntry &Entry = Item.second;
    if (!isDeadOrLeft(Entry.Info) || Now - Entry.StateSince < Retention)
      return false;
    Table.PendingUpdates.erase(Item.first);
    return true;
  });
}

void setOwnState(MemberTable &Table, MemberState State) {
  Table.Self.State = State;
  ++Table.Self.Refutation;
  queueUpdate(Table, Table.Self.Name);
}

std::optional<Member> nextProbeTarget(MemberTable &Table,
                                      RandomEngine &Random) {
  return nextInRound(Table.ProbeRound, Table, Random, /*SameRegion=*/true);
}

std::optional<Member> nextRemoteTarget(MemberTable &Table,
                                       RandomEngine &Random) {
  return nextInRound(Table.RemoteProbeRound, Table, Random,
                     /*SameRegion=*/false);
}

std::vector<Member> chooseIndirectProbers(const MemberTable &Table,
                                          const Member &Target,
                                          std::size_t Count,
                                          RandomEngine &Random) {
  std::vector<const Member *> Candidates;
  for (const auto &[Name, Entry] : Table.Others)
    if (Name != Target.Name && Entry.Info.Region == Target.Region &&
        isReachable(Entry.Info))
      Candidates.push_back(&Entry.Info);
  std::vector<const Member *> Chosen;
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Chosen),
              Count, Random);
  std::vector<Member> Result;
  Result.reserve(Chosen.size());
  for (const Member *Prober : Chosen)
    Result.push_back(*Prober);
  return Result;
}

unsigned transmissionLimit(std::size_t Members) {
  return 3 * std::bit_width(std::max<std::size_t>(Members, 1));
}

std::vector<Member> chooseUpdates(const MemberTable &Table, std::size_t Count) {
  std::vector<std::pair<unsigned, const EntryHostName *>> Order;
  Order.reserve(Table.PendingUpdates.size());
  for (const auto &[Name, Sent] : Table.PendingUpdates)
    Order.emplace_back(Sent, &Name);
  const std::size_t Chosen = std::min(Count, Order.size());
  std::partial_sort(
      Order.begin(),
      std::next(Order.begin(), static_cast<std::ptrdiff_t>(Chosen)),
      Order.end(), [](const auto &Left, const auto &Right) {
        return Left.first < Right.first;
      });
  std::vector<Member> Result;
  for (std::size_t I = 0; I < Chosen; ++I) {
    const EntryHostName &Name = *Order[I].second;
    auto Found = Table.Others.find(Name);
    if (Found != Table.Others.end())
      Result.push_back(Found->second.Info);
    else if (Name == Table.Self.Name)
      Result.push_back(Table.Self);
  }
  return Result;
}

void recordSent(MemberTable &Table, const std::vector<Member> &Updates) {
  const unsigned Limit = transmissionLimit(Table.Others.size() + 1);
  for (const Member &Update : Updates) {
    auto Found = Table.PendingUpdates.find(Update.Name);
    if (Found != Table.PendingUpdates.end() && ++Found->second >= Limit)
      Table.PendingUpdates.erase(Found);
  }
}

std::vector<Member> membersAfter(const MemberTable &Table,
                                 const EntryHostName &Reader,
                                 const EntryHostName &After,
                                 std::size_t Count) {
  std::vector<Member> Result;
  const auto Append = [&](auto From, auto To) {
    for (; From != To && Result.size() < Count; ++From)
      if (isReachable(From->second.Info) && From->first != Reader)
        Result.push_back(From->second.Info);
  };
  const auto &All = Table.Others;
  if (After >= Reader) {
    Append(All.upper_bound(After), All.end());
    Append(All.begin(), All.lower_bound(Reader));
  } else {
    Append(All.upper_bound(After), All.lower_bound(Reader));
  }
  return Result;
}

} // namespace buckthorndeck::membership
