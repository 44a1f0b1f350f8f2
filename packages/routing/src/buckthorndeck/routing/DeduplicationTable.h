#ifndef BUCKTHORNDECK_ROUTING_DEDUPLICATIONTABLE_H
#define BUCKTHORNDECK_ROUTING_DEDUPLICATIONTABLE_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/routing/Dispatcher.h"

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <tuple>

namespace buckthorndeck::routing {

//! Identity of a request.
struct RequestKey {
  FlowId Flow;
  Sequence Number;

  friend bool operator<(const RequestKey &Left, const RequestKey &Right) {
    return std::tie(Left.Flow, Left.Number) <
           std::tie(Right.Flow, Right.Number);
  }
};

//! What the flow's owner may do with a request that has just arrived.
struct Admission {
  enum class Kind {
    //! Recorded now; the owner runs it and calls finish().
    New,
    //! A retransmission of a request that runs; the owner sends the answer
    //! when it ends.
    InProgress,
    //! A retransmission of a request that has ended; Result is its answer.
    Finished,
    //! The token was issued before minIssueTime(). The request never ran and
    //! never will: answer `not_run`.
    IssuedTooEarly,
    //! The token is not accepted. The request may have run and its record may
    //! have been removed since: answer `unknown`.
    Expired,
  };
  Kind State = Kind::Expired;
  //! For Finished. Valid until the next call that changes the table.
  const JobResult *Result = nullptr;
};

struct DeduplicationTableOptions {
  //! How long a token is accepted after it was issued, without TokenGrace.
  Milliseconds TokenLifetime{15'000};
  //! Extra time in which a request may still arrive under an expired token.
  Milliseconds TokenGrace{2'000};
  //! A record is stored for at least this time after its request ended.
  Milliseconds MinRetentionAfterEnd{10'000};
  std::size_t MaxRecords = 200'000;
  //! Limit on the stored answer bodies of ended requests, which are sent again
  //! for retransmissions. Above it the oldest bodies are evicted; their records
  //! stay, and retransmissions of their requests are answered with `unknown`.
  std::size_t MaxBodyBytes = 64 * 1024 * 1024;
};

/**
 * The flow owner's table of requests, which keeps each request from running
 * twice.
 *
 * A record is created before its request is forwarded and is stored until the
 * request's token is no longer accepted. A request that has no record but an
 * accepted token has therefore never run, so the owner may run it or answer
 * `not_run`. No record is evicted early: a full table raises the minimum issue
 * time instead and refuses requests without a record whose token was issued
 * before it. The minimum issue time never falls, so a refused request stays
 * refused.
 */
class DeduplicationTable {
public:
  explicit DeduplicationTable(DeduplicationTableOptions Options)
      : Options(Options) {}

  //! Finds or creates the record of a request whose token was issued at
  //! IssuedAt.
  Admission admit(const RequestKey &Key, TimePoint IssuedAt, TimePoint Now);

  //! Like admit(), but creates no record: returns std::nullopt if the request
  //! has none.
  std::optional<Admission> find(const RequestKey &Key, TimePoint IssuedAt,
                                TimePoint Now);

  //! Like admit(), but records Refusal as the answer of a request that would
  //! have been New. Refusal is NotRun or Reopen (see wire::Outcome): with
  //! Reopen the caller gets a new token and sends a new request.
  Admission refuse(const RequestKey &Key, TimePoint IssuedAt, JobResult Refusal,
                   TimePoint Now);

  //! Records the result of a request that was admitted as New. Later results
  //! for it are ignored.
  void finish(const RequestKey &Key, JobResult Result, TimePoint Now);

  //! Removes the records whose retention time is over.
  void expire(TimePoint Now);

  std::size_t recordCount() const { return Records.size(); }
  std::size_t inProgress() const { return Records.size() - Expiries.size(); }
  std::size_t bodyBytes() const { return BodyBytes; }
  //! Requests without a record whose token was issued before this time are
  //! refused.
  TimePoint minIssueTime() const { return MinIssueTime; }

private:
  using ExpiryIndex = std::multimap<TimePoint, RequestKey>;

  struct RequestRecord {
    //! The newest token of the request is accepted up to and including this.
    TimePoint TokenExpiry;
    std::optional<JobResult> Result; //!< None while the request runs.
    ExpiryIndex::iterator Expiry;    //!< Valid once Result is set.
    std::optional<std::list<RequestKey>::iterator> BodyPosition;
  };

  TimePoint monotonicTime(TimePoint Now);
  TimePoint tokenExpiry(TimePoint IssuedAt) const;
  Admission admitRetransmission(RequestRecord &Record, TimePoint IssuedAt);
  void extendExpiry(RequestRecord &Record, const RequestKey &Key,
                    TimePoint End);
  void storeBody(RequestRecord &Record, const RequestKey &Key);
  void releaseBody(RequestRecord &Record);
  void evictBodies();

  DeduplicationTableOptions Options;
  std::map<RequestKey, RequestRecord> Records;
  ExpiryIndex Expiries; //!< Expiry times of the ended requests.
  //! Requests with a stored answer body, oldest first.
  std::list<RequestKey> BodiesByAge;
  std::size_t BodyBytes = 0;
  TimePoint MinIssueTime = TimePoint::min();
  TimePoint LatestTime = TimePoint::min();
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_DEDUPLICATIONTABLE_H
