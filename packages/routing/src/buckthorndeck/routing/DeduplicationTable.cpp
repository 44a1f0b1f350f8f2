#include "buckthorndeck/routing/DeduplicationTable.h"

#include <algorithm>

namespace buckthorndeck::routing {

namespace {

//! Tokens hold their issue time in ms, so the minimum issue time rises by at
//! least 1 ms.
constexpr Milliseconds IssueTimeStep{1};

JobResult evictedResult(const JobResult &Original) {
  return JobResult{.Result = wire::Outcome::Unknown,
                   .Reason = "answer_evicted",
                   .Server = Original.Server};
}

} // namespace

//! The latest time passed in so far. Callers may read the clock before another
//! caller does and call later; with the earlier time a record that was already
//! removed would count as never created, and its request would run again.
TimePoint DeduplicationTable::monotonicTime(TimePoint Now) {
  LatestTime = std::max(LatestTime, Now);
  return LatestTime;
}

TimePoint DeduplicationTable::tokenExpiry(TimePoint IssuedAt) const {
  return IssuedAt + Options.TokenLifetime + Options.TokenGrace;
}

std::optional<Admission> DeduplicationTable::find(const RequestKey &Key,
                                                  TimePoint IssuedAt,
                                                  TimePoint Now) {
  monotonicTime(Now);
  const auto Found = Records.find(Key);
  if (Found == Records.end())
    return std::nullopt;
  return admitRetransmission(Found->second, IssuedAt);
}

Admission DeduplicationTable::admit(const RequestKey &Key, TimePoint IssuedAt,
                                    TimePoint Now) {
  if (const auto Existing = find(Key, IssuedAt, Now))
    return *Existing;
  Now = monotonicTime(Now);
  if (Now > tokenExpiry(IssuedAt) || IssuedAt > Now)
    return Admission{.State = Admission::Kind::Expired};
  if (Records.size() >= Options.MaxRecords)
    expire(Now);
  if (Records.size() >= Options.MaxRecords)
    MinIssueTime = std::max(MinIssueTime, IssuedAt + IssueTimeStep);
  if (IssuedAt < MinIssueTime)
    return Admission{.State = Admission::Kind::IssuedTooEarly};
  Records.emplace(Key, RequestRecord{.TokenExpiry = tokenExpiry(IssuedAt)});
  return Admission{.State = Admission::Kind::New};
}

//! A retransmission under a newer token extends the record's retention, so that
//! the record is stored as long as any token of the request is accepted.
Admission DeduplicationTable::admitRetransmission(RequestRecord &Found,
                                                  TimePoint IssuedAt) {
  Found.TokenExpiry = std::max(Found.TokenExpiry, tokenExpiry(IssuedAt));
  if (!Found.Result)
    return Admission{.State = Admission::Kind::InProgress};
  if (Found.TokenExpiry > Found.Expiry->first)
    extendExpiry(Found, Found.Expiry->second, Found.TokenExpiry);
  return Admission{.State = Admission::Kind::Finished,
                   .Result = &*Found.Result};
}

Admission DeduplicationTable::refuse(const RequestKey &Key, TimePoint IssuedAt,
                                     JobResult Refusal, TimePoint Now) {
  const Admission Admitted = admit(Key, IssuedAt, Now);
  if (Admitted.State != Admission::Kind::New)
    return Admitted;
  finish(Key, std::move(Refusal), Now);
  return Admission{.State = Admission::Kind::Finished,
                   .Result = &*Records.at(Key).Result};
}

void DeduplicationTable::finish(const RequestKey &Key, JobResult Result,
                                TimePoint Now) {
  Now = monotonicTime(Now);
  const auto Found = Records.find(Key);
  if (Found == Records.end() || Found->second.Result)
    return;
  RequestRecord &Record = Found->second;
  Record.Result = std::move(Result);
  Record.Expiry = Expiries.emplace(
      std::max(Record.TokenExpiry, Now + Options.MinRetentionAfterEnd), Key);
  storeBody(Record, Key);
}

void DeduplicationTable::extendExpiry(RequestRecord &Record,
                                      const RequestKey &Key, TimePoint End) {
  const RequestKey Copy = Key;
  Expiries.erase(Record.Expiry);
  Record.Expiry = Expiries.emplace(End, Copy);
}

void DeduplicationTable::storeBody(RequestRecord &Record,
                                   const RequestKey &Key) {
  if (Record.Result->Body.empty())
    return;
  BodyBytes += Record.Result->Body.size();
  Record.BodyPosition = BodiesByAge.insert(BodiesByAge.end(), Key);
  evictBodies();
}

void DeduplicationTable::releaseBody(RequestRecord &Record) {
  if (!Record.BodyPosition)
    return;
  BodyBytes -= Record.Result->Body.size();
  BodiesByAge.erase(*Record.BodyPosition);
  Record.BodyPosition.reset();
}

void DeduplicationTable::evictBodies() {
  while (BodyBytes > Options.MaxBodyBytes) {
    RequestRecord &Oldest = Records.at(BodiesByAge.front());
    releaseBody(Oldest);
    Oldest.Result = evictedResult(*Oldest.Result);
  }
}

void DeduplicationTable::expire(TimePoint Now) {
  Now = monotonicTime(Now);
  while (!Expiries.empty() && Expiries.begin()->first < Now) {
    const auto Found = Records.find(Expiries.begin()->second);
    releaseBody(Found->second);
    Records.erase(Found);
    Expiries.erase(Expiries.begin());
  }
}

} // namespace buckthorndeck::routing
