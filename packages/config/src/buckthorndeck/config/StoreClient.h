#ifndef BUCKTHORNDECK_CONFIG_STORECLIENT_H
#define BUCKTHORNDECK_CONFIG_STORECLIENT_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/config/CallPolicy.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/HttpMessage.h"
#include "buckthorndeck/net/Task.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::config {

struct StoreClientOptions {
  TcpEndpoint Address;
  //! Per attempt; a working store answers within milliseconds.
  Milliseconds AttemptTimeout{1000};
  BackoffOptions Backoff;
  RetryBudgetOptions Retries;
  CircuitBreakerOptions Breaker;
  std::uint64_t RandomSeed = 1;
};

//! Value of a key. Each write of the key raises its revision.
struct StoredValue {
  std::string Value;
  std::uint64_t Revision = 0;
};

struct KeyRevision {
  std::string Key;
  std::uint64_t Revision = 0;
};

//! The store's answer to a compare-and-swap.
struct SwapResult {
  bool Written = false;
  std::uint64_t Revision = 0; //!< Of the key after the call; 0 if unknown.
};

//! An entry of the platform's host list.
struct PlatformHost {
  EntryHostName Name;
  RegionName Region;
  FailureDomainName FailureDomain;
  std::string PeerAddress;
  std::string SyncAddress;
  std::string CallerAddress;
  std::string State;
};

/**
 * Client of the platform's key-value service.
 *
 * Failed reads are retried until their deadline or the end of the retry budget.
 * A write is retried only if no earlier attempt can have taken effect;
 * otherwise it fails with Timeout, and the caller has to read the key to find
 * out. The client must outlive its calls.
 */
class StoreClient {
public:
  explicit StoreClient(const StoreClientOptions &Options);

  //! Value of Key; no value if the key does not exist.
  Task<Expected<std::optional<StoredValue>>> get(std::string Key,
                                                 TimePoint Deadline);

  //! Waits up to MaxWait (at most 60 s) for a revision of Key above
  //! AfterRevision; no value if there was none. Makes a single attempt.
  Task<Expected<std::optional<StoredValue>>>
  watch(std::string Key, std::uint64_t AfterRevision, Milliseconds MaxWait);

  //! Writes Key if its revision is ExpectedRevision (0: Key does not exist).
  Task<Expected<SwapResult>> compareAndSwap(std::string Key, std::string Value,
                                            std::uint64_t ExpectedRevision,
                                            TimePoint Deadline);

  //! Deletes Key if its revision is ExpectedRevision. Written is also true if
  //! the key does not exist.
  Task<Expected<SwapResult>>
  remove(std::string Key, std::uint64_t ExpectedRevision, TimePoint Deadline);

  //! All keys that start with Prefix.
  Task<Expected<std::vector<KeyRevision>>> list(std::string Prefix,
                                                TimePoint Deadline);

  //! The platform's list of entry hosts.
  Task<Expected<std::vector<PlatformHost>>> hosts(TimePoint Deadline);

  //! Waits for the back-off delay before a retry that the caller makes itself.
  //! False, without waiting, if the deadline or the retry budget allows none.
  Task<bool> waitBeforeRetry(unsigned Attempt, TimePoint Deadline);

  const StoreClientOptions &options() const { return Options; }

private:
  enum class RetryMode { Always, OnlyWithoutEffect };

  Task<Expected<HttpResponse>> call(HttpRequest Request, RetryMode Mode,
                                    TimePoint Deadline,
                                    Milliseconds AttemptTimeout);
  Task<Expected<HttpResponse>> attempt(HttpRequest Request,
                                       Milliseconds Timeout);
  Task<Expected<HttpResponse>> read(std::string Target, TimePoint Deadline);
  Task<Expected<SwapResult>> write(HttpRequest Request, TimePoint Deadline);
  Error failure(ErrorCode Code, const HttpRequest &Request,
                const std::string &Message) const;

  StoreClientOptions Options;
  RetryBudget Budget;
  CircuitBreaker Breaker;
  RandomEngine Engine;
};

} // namespace buckthorndeck::config

#endif // BUCKTHORNDECK_CONFIG_STORECLIENT_H
