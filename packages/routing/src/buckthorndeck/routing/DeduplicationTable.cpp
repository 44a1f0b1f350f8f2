#include "buckthorndeck/routing/DeduplicationTable.h"

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
TimePoint DeduplicationTable::latest(TimePoint Now) {
  Latest = std::max(Latest, Now);
  return Latest;
}

TimePoint DeduplicationTable::tokenEnd(TimePoint IssuedAt) const {
  return IssuedAt + Options.TokenLifetime + Options.TokenGrace;
}

std::optional<Admission> DeduplicationTable::find(const RequestKey &Key,
                                                  TimePoint IssuedAt,
                                                  TimePoint Now) {
  latest(Now);
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return std::nullopt;
  return meet(Found->second, IssuedAt);
}

Admission DeduplicationTable::admit(const RequestKey &Key, TimePoint IssuedAt,
                                    TimePoint Now) {
  if (const auto Known = find(Key, IssuedAt, Now))
    return *Known;
  Now = latest(Now);
  if (Now > tokenEnd(IssuedAt) || IssuedAt > Now)
    return Admission{.State = Admission::Kind::Expired};
  if (Entries.size() >= Options.MaxRecords)
    expire(Now);
  if (Entries.size() >= Options.MaxRecords)
    Floor = std::max(Floor, IssuedAt + MintStep);
  if (IssuedAt < Floor)
    return Admission{.State = Admission::Kind::IssuedTooEarly};
  Entries.emplace(Key, Entry{.TokenEnd = tokenEnd(IssuedAt)});
  return Admission{.State = Admission::Kind::New};
}

//! A retransmission under a newer token than the first one makes the entry
//! live on, so that it outlives every token under which the request came.
Admission DeduplicationTable::meet(Entry &Found, TimePoint IssuedAt) {
  Found.TokenEnd = std::max(Found.TokenEnd, tokenEnd(IssuedAt));
  if (!Found.Result)
    return Admission{.State = Admission::Kind::InProgress};
  if (Found.TokenEnd > Found.Life->first)
    keepUntil(Found, Found.Life->second, Found.TokenEnd);
  return Admission{.State = Admission::Kind::Finished,
                   .Result = &*Found.Result};
}

Admission DeduplicationTable::refuse(const RequestKey &Key, TimePoint IssuedAt,
                                     JobResult Refusal, TimePoint Now) {
  const Admission First = admit(Key, IssuedAt, Now);
  if (First.State != Admission::Kind::New)
    return First;
  finish(Key, std::move(Refusal), Now);
  return Admission{.State = Admission::Kind::Finished,
                   .Result = &*Entries.at(Key).Result};
}

void DeduplicationTable::finish(const RequestKey &Key, JobResult Result,
                                TimePoint Now) {
  Now = latest(Now);
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() || Found->second.Result)
    return;
  Entry &Finished = Found->second;
  Finished.Result = std::move(Result);
  Finished.Life = Lives.emplace(
      std::max(Finished.TokenEnd, Now + Options.KeepAfterEnd), Key);
  keepBody(Finished, Key);
}

void DeduplicationTable::keepUntil(Entry &Finished, const RequestKey &Key,
                                   TimePoint End) {
  const RequestKey Copy = Key;
  Lives.erase(Finished.Life);
  Finished.Life = Lives.emplace(End, Copy);
}

void DeduplicationTable::keepBody(Entry &Finished, const RequestKey &Key) {
  if (Finished.Result->Body.empty())
    return;
  BodyBytes += Finished.Result->Body.size();
  Finished.KeptBody = Bodies.insert(Bodies.end(), Key);
  evictBodies();
}

void DeduplicationTable::dropBody(Entry &Finished) {
  if (!Finished.KeptBody)
    return;
  BodyBytes -= Finished.Result->Body.size();
  Bodies.erase(*Finished.KeptBody);
  Finished.KeptBody.reset();
}

void DeduplicationTable::evictBodies() {
  while (BodyBytes > Options.MaxBodyBytes) {
    Entry &Oldest = Entries.at(Bodies.front());
    dropBody(Oldest);
    Oldest.Result = evictedResult(*Oldest.Result);
  }
}

void DeduplicationTable::expire(TimePoint Now) {
  Now = latest(Now);
  while (!Lives.empty() && Lives.begin()->first < Now) {
    const auto Found = Entries.find(Lives.begin()->second);
    dropBody(Found->second);
    Entries.erase(Found);
    Lives.erase(Lives.begin());
  }
}

} // namespace buckthorndeck::routing
