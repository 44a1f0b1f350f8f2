#ifndef BUCKTHORNDECK_FAULTS_TRAFFIC_H
#define BUCKTHORNDECK_FAULTS_TRAFFIC_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/standins/Caller.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace buckthorndeck::faults {

class Site;

//! One call as its caller saw it. Bodies are unique, so that a run in a
//! server's log can be told to belong to this call.
struct CallRecord {
  std::string Service;
  std::string Operation;
  bool Idempotent = false;
  Digest BodyDigest;
  wire::Outcome Result = wire::Outcome::Unknown;
  std::string Reason;
  bool WholeAnswer = false; //!< Ok, and byte for byte what was expected.
};

//! What the feeds of all callers have seen.
struct FeedTotals {
  std::uint64_t Delivered = 0;
  std::uint64_t Gaps = 0;
  std::uint64_t WrongBodies = 0;
};

struct TrafficOptions {
  std::uint64_t Seed = 1;
  unsigned Fitters = 3;    //!< Feed and bids on one flow.
  unsigned Families = 2;   //!< Feed, records and amendments on one flow.
  unsigned Showrooms = 1;  //!< Swatch sheets of many parts.
  unsigned Households = 1; //!< Certificates.
  Milliseconds Deadline{8'000};
};

/**
 * Callers of every kind that go on until they are stopped, one call at a time
 * each, with their records.
 */
class Traffic {
public:
  Traffic(Site &Target, TrafficOptions Options);
  ~Traffic();

  void start();
  //! Waits until every caller has ended Count more calls and every feed has
  //! delivered Count more events.
  Task<> progress(unsigned Count);
  //! Ends all calls and feeds.
  Task<> stop();

  const std::deque<CallRecord> &records() const { return Records; }
  FeedTotals feeds() const;
  //! Callers and feeds that have not made the last progress() asked for.
  std::string waiting() const;

private:
  struct Client;

  static Task<> run(Traffic &Self, Client &Who);

  Site &Target;
  TrafficOptions Options;
  std::vector<std::unique_ptr<Client>> Clients;
  std::deque<CallRecord> Records;
  Notifier Changed;
  unsigned Wanted = 0; //!< Count of the last progress().
  bool Stopping = false;
};

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_TRAFFIC_H
