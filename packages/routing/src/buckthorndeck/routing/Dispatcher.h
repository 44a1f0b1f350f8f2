#ifndef BUCKTHORNDECK_ROUTING_DISPATCHER_H
#define BUCKTHORNDECK_ROUTING_DISPATCHER_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/routing/DispatcherCounters.h"
#include "buckthorndeck/wire/Datagram.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::config {
struct ObjectSet;
} // namespace buckthorndeck::config

namespace buckthorndeck::routing {

//! The server that a flow used last.
struct Affinity {
  ObjectName Server;
  Generation ServerGeneration;
};

//! One request to run on some backend server of its service.
struct Job {
  ObjectName Service;
  std::string Operation;
  bool Idempotent = false;
  TimePoint Deadline;
  Bytes Body;
  std::optional<Affinity> Preferred;
};

//! How a job ended. NotRun is reported only if no server started it.
struct JobResult {
  wire::Outcome Result = wire::Outcome::Unknown;
  std::string Reason; //!< For results other than Ok.
  Bytes Body;
  std::optional<Affinity> Server; //!< Server that ran it.
};

//! Lets the owner of a job give it up. Shared between owner and job.
class CancelSignal;
std::shared_ptr<CancelSignal> makeCancelSignal(const Executor &Where);
//! Asks the job to end. A job that a server may have started ends Unknown.
void cancel(CancelSignal &Signal);

//! Keeps one upstream subscription going over server drains and failures
//! until it is destroyed.
class Subscription {
public:
  virtual ~Subscription() = default;
  //! Last event passed on.
  virtual Sequence lastDelivered() const = 0;
  //! Server that serves it now; none while it is moving.
  virtual std::optional<Affinity> server() const = 0;
};

struct SubscriptionRequest {
  ObjectName Service;
  std::string Operation;
  Sequence After;
  std::optional<Affinity> Preferred;
  //! Called with each event in order, without gaps or repeats.
  std::function<void(Sequence, const Bytes &)> OnEvent;
};

//! One backend server as this host sees it.
struct ServerStatus {
  ObjectName Server;
  ObjectName Service;
  std::string State; //!< "connected", "connecting", "draining" or "ejected".
  std::uint32_t InFlight = 0;
  std::uint32_t Subscriptions = 0;
  Milliseconds ServiceTime{0}; //!< Moving average; 0 before the first answer.
};

struct DispatcherOptions {
  std::uint64_t RandomSeed = 1;
  //! Servers of one service that this host connects to at most; chosen by
  //! rendezvous hashing of host and server if a service has more.
  std::uint32_t MaxServersPerService = 64;
  EntryHostName Host;
};

/**
 * Chooses backend servers for requests and subscriptions, and owns the
 * connections to them. One per entry host process.
 */
class Dispatcher {
public:
  Dispatcher(const Executor &Where, DispatcherOptions Options);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  //! Takes over a new configuration. Requests in progress are not disturbed.
  void apply(const config::ObjectSet &Objects);

  //! Runs a job to its end; always returns by the deadline.
  Task<JobResult> run(Job Work, std::shared_ptr<CancelSignal> Signal);

  //! Opens a subscription that lasts until the result is destroyed.
  std::unique_ptr<Subscription> subscribe(SubscriptionRequest Wanted);

  //! A server for a flow that has none yet; none if no server is connected.
  std::optional<Affinity> suggestServer(const ObjectName &Service);

  std::vector<ServerStatus> status() const;
  const DispatcherCounters &counters() const;

  //! Waits until no job is in progress.
  Task<> waitUntilIdle();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_DISPATCHER_H
