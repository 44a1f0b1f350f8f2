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

//! What the home may do with a request that has just arrived.
struct Admission {
  enum class Kind {
    New,            //!< Recorded now; the home runs it and calls finish().
    InProgress,     //!< A retransmission; its answer will be sent once.
    Finished,       //!< A retransmission; Result is its answer.
    IssuedTooEarly, //!< Never run and never will be: `not_run`.
    Expired,        //!< Nothing is known about it any more: `unknown`.
  };
  Kind State = Kind::Expired;
  //! For Ended. Valid until the next call that changes the ledger.
  const JobResult *Result = nullptr;
};

struct DeduplicationTableOptions {
  //! How long a token is accepted after it was minted, without the grace.
  Milliseconds TokenLifetime{15'000};
  //! Time for a request to arrive under a token that has just expired.
  Milliseconds TokenGrace{2'000};
  //! Shortest life of an entry after its request ended.
  Milliseconds KeepAfterEnd{10'000};
  std::size_t MaxRecords = 200'000;
  //! Bodies of ended requests kept for retransmissions.
  std::size_t MaxBodyBytes = 64 * 1024 * 1024;
};

/**
 * The home's record of the requests that it was asked to run.
 *
 * An entry is made before its request is forwarded and outlives the token of
 * the request. A request without an entry under a token that is still accepted
 * was therefore never run, which is what lets the home run it or say `not_run`.
 * An entry is never dropped early: a full ledger raises the mint floor instead
 * and refuses unrecorded requests under tokens minted before the floor. The
 * floor never falls, so that such a refusal stays true.
 */
class DeduplicationTable {
public:
  explicit DeduplicationTable(DeduplicationTableOptions Options)
      : Options(Options) {}

  //! Finds or makes the entry of a request under a token minted at IssuedAt.
  Admission admit(const RequestKey &Key, TimePoint IssuedAt, TimePoint Now);

  //! The entry of a request, as admit() would report it, without making one.
  std::optional<Admission> find(const RequestKey &Key, TimePoint IssuedAt,
                                TimePoint Now);

  //! Like admit(), but records Refusal (NotRun or Reopen) as the answer of a
  //! request that would have been New.
  Admission refuse(const RequestKey &Key, TimePoint IssuedAt, JobResult Refusal,
                   TimePoint Now);

  //! Records how a New request ended. Later results for it are ignored.
  void finish(const RequestKey &Key, JobResult Result, TimePoint Now);

  //! Drops entries whose life is over.
  void expire(TimePoint Now);

  std::size_t recordCount() const { return Entries.size(); }
  std::size_t inProgress() const { return Entries.size() - Lives.size(); }
  std::size_t bodyBytes() const { return BodyBytes; }
  //! Unrecorded requests under tokens minted before this are refused.
  TimePoint minIssueTime() const { return Floor; }

private:
  using LifeEnds = std::multimap<TimePoint, RequestKey>;

  struct Entry {
    TimePoint TokenEnd; //!< Its token is accepted up to and including this.
    std::optional<JobResult> Result; //!< None while in progress.
    LifeEnds::iterator Life;         //!< Valid once ended.
    std::optional<std::list<RequestKey>::iterator> KeptBody;
  };

  TimePoint latest(TimePoint Now);
  TimePoint tokenEnd(TimePoint IssuedAt) const;
  Admission meet(Entry &Found, TimePoint IssuedAt);
  void keepUntil(Entry &Finished, const RequestKey &Key, TimePoint End);
  void keepBody(Entry &Finished, const RequestKey &Key);
  void dropBody(Entry &Finished);
  void evictBodies();

  DeduplicationTableOptions Options;
  std::map<RequestKey, Entry> Entries;
  LifeEnds Lives;               //!< Of ended requests.
  std::list<RequestKey> Bodies; //!< Requests with a kept body, oldest first.
  std::size_t BodyBytes = 0;
  TimePoint Floor = TimePoint::min();
  TimePoint Latest = TimePoint::min();
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_DEDUPLICATIONTABLE_H
