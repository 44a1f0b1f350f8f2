#include "buckthorndeck/routing/Ledger.h"

#include <algorithm>

namespace buckthorndeck::routing {

namespace {

//! Tokens carry their mint time in ms, so this is the least step of the floor.
constexpr Milliseconds MintStep{1};

JobResult evictedResult(const JobResult &Full) {
  return JobResult{.Result = wire::Outcome::Unknown,
                   .Reason = "answer_evicted",
                   .Server = Full.Server};
}

} // namespace

//! A caller may have taken its time before others did. An entry that was
//! dropped for a later time must not be missed under an earlier one.
TimePoint Ledger::latest(TimePoint Now) {
  Latest = std::max(Latest, Now);
  return Latest;
}

TimePoint Ledger::tokenEnd(TimePoint IssuedAt) const {
  return IssuedAt + Options.TokenLifetime + Options.TokenGrace;
}

std::optional<Admission> Ledger::find(const LedgerKey &Key, TimePoint IssuedAt,
                                      TimePoint Now) {
  latest(Now);
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return std::nullopt;
  return meet(Found->second, IssuedAt);
}

Admission Ledger::admit(const LedgerKey &Key, TimePoint IssuedAt,
                        TimePoint Now) {
  if (const auto Known = find(Key, IssuedAt, Now))
    return *Known;
  Now = latest(Now);
  if (Now > tokenEnd(IssuedAt) || IssuedAt > Now)
    return Admission{.State = Admission::Kind::Expired};
  if (Entries.size() >= Options.MaxEntries)
    expire(Now);
  if (Entries.size() >= Options.MaxEntries)
    Floor = std::max(Floor, IssuedAt + MintStep);
  if (IssuedAt < Floor)
    return Admission{.State = Admission::Kind::RefusedByFloor};
  Entries.emplace(Key, Entry{.TokenEnd = tokenEnd(IssuedAt)});
  return Admission{.State = Admission::Kind::New};
}

//! A retransmission under a newer token than the first one makes the entry
//! live on, so that it outlives every token under which the request came.
Admission Ledger::meet(Entry &Found, TimePoint IssuedAt) {
  Found.TokenEnd = std::max(Found.TokenEnd, tokenEnd(IssuedAt));
  if (!Found.Result)
    return Admission{.State = Admission::Kind::InProgress};
  if (Found.TokenEnd > Found.Life->first)
    keepUntil(Found, Found.Life->second, Found.TokenEnd);
  return Admission{.State = Admission::Kind::Ended, .Result = &*Found.Result};
}

Admission Ledger::refuse(const LedgerKey &Key, TimePoint IssuedAt,
                         JobResult Refusal, TimePoint Now) {
  const Admission First = admit(Key, IssuedAt, Now);
  if (First.State != Admission::Kind::New)
    return First;
  finish(Key, std::move(Refusal), Now);
  return Admission{.State = Admission::Kind::Ended,
                   .Result = &*Entries.at(Key).Result};
}

void Ledger::finish(const LedgerKey &Key, JobResult Result, TimePoint Now) {
  Now = latest(Now);
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() || Found->second.Result)
    return;
  Entry &Ended = Found->second;
  Ended.Result = std::move(Result);
  Ended.Life =
      Lives.emplace(std::max(Ended.TokenEnd, Now + Options.KeepAfterEnd), Key);
  keepBody(Ended, Key);
}

void Ledger::keepUntil(Entry &Ended, const LedgerKey &Key, TimePoint End) {
  const LedgerKey Copy = Key;
  Lives.erase(Ended.Life);
  Ended.Life = Lives.emplace(End, Copy);
}

void Ledger::keepBody(Entry &Ended, const LedgerKey &Key) {
  if (Ended.Result->Body.empty())
    return;
  BodyBytes += Ended.Result->Body.size();
  Ended.KeptBody = Bodies.insert(Bodies.end(), Key);
  evictBodies();
}

void Ledger::dropBody(Entry &Ended) {
  if (!Ended.KeptBody)
    return;
  BodyBytes -= Ended.Result->Body.size();
  Bodies.erase(*Ended.KeptBody);
  Ended.KeptBody.reset();
}

void Ledger::evictBodies() {
  while (BodyBytes > Options.MaxBodyBytes) {
    Entry &Oldest = Entries.at(Bodies.front());
    dropBody(Oldest);
    Oldest.Result = evictedResult(*Oldest.Result);
  }
}

void Ledger::expire(TimePoint Now) {
  Now = latest(Now);
  while (!Lives.empty() && Lives.begin()->first < Now) {
    const auto Found = Entries.find(Lives.begin()->second);
    dropBody(Found->second);
    Entries.erase(Found);
    Lives.erase(Lives.begin());
  }
}

} // namespace buckthorndeck::routing
