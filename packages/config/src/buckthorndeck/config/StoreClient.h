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
  //! Limit on one attempt; the store answers in milliseconds when it is up.
  Milliseconds AttemptTimeout{1000};
  BackoffOptions Backoff;
  RetryBudgetOptions Retries;
  CircuitBreakerOptions Breaker;
  std::uint64_t RandomSeed = 1;
};

//! Value of a key. Every write of a key raises its revision.
struct StoredValue {
  std::string Value;
  std::uint64_t Revision = 0;
};

struct KeyRevision {
  std::string Key;
  std::uint64_t Revision = 0;
};

//! Answer to a compare-and-swap that arrived.
struct SwapResult {
  bool Written = false;
  std::uint64_t Revision = 0; //!< Of the key after the call.
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
 * Reads are repeated until their deadline. A write is repeated only while it
 * is certain that no earlier attempt reached the store; once that is not
 * certain it ends with Timeout, and the caller has to read the key to learn
 * what happened. Must outlive its calls.
 */
class StoreClient {
public:
  explicit StoreClient(const StoreClientOptions &Options);

  //! Value of Key; no value if the key does not exist.
  Task<Expected<std::optional<StoredValue>>> get(std::string Key,
                                                 TimePoint Deadline);

  //! Waits up to Wait for a revision of Key above After; no value if there
  //! is none by then.
  Task<Expected<std::optional<StoredValue>>>
  watch(std::string Key, std::uint64_t After, Milliseconds Wait);

  //! Writes Key if its revision is Expect (0: if it does not exist).
  Task<Expected<SwapResult>> compareAndSwap(std::string Key, std::string Value,
                                            std::uint64_t Expect,
                                            TimePoint Deadline);

  //! Deletes Key if its revision is Expect. Written is also true if the key
  //! does not exist.
  Task<Expected<SwapResult>> remove(std::string Key, std::uint64_t Expect,
                                    TimePoint Deadline);

  Task<Expected<std::vector<KeyRevision>>> list(std::string Prefix,
                                                TimePoint Deadline);

  Task<Expected<std::vector<PlatformHost>>> hosts(TimePoint Deadline);

  //! Waits before repeating a step that a caller of this class settles by
  //! itself. False if the retry budget or the deadline forbids it.
  Task<bool> pause(unsigned Attempt, TimePoint Deadline);

  const StoreClientOptions &options() const { return Options; }

private:
  enum class Repeat { Always, WhenWithoutEffect };

  Task<Expected<HttpResponse>> call(HttpRequest Request, Repeat Mode,
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
