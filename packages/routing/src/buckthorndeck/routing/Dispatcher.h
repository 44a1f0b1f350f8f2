#ifndef BUCKTHORNDECK_ROUTING_DISPATCHER_H
#define BUCKTHORNDECK_ROUTING_DISPATCHER_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/routing/DispatcherCounters.h"
#include "buckthorndeck/routing/Explanation.h"
#include "buckthorndeck/routing/ServiceServers.h"
#include "buckthorndeck/wire/Datagram.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::routing {

//! The server that a flow used last, or that was chosen for a new flow.
struct Affinity {
  ObjectName Server;
  Generation ServerGeneration;
};

//! One request to run on a backend server of its service. Preferred is the
//! flow's affinity.
struct Job {
  ObjectName Service;
  //! Address that the caller sent the request to. If it belongs to another
  //! service by the time that the job would be sent to a server, it is not.
  std::optional<ServiceAddress> Address;
  std::string Operation;
  bool Idempotent = false;
  TimePoint Deadline;
  Bytes Body;
  std::optional<Affinity> Preferred;
};

//! How a job ended. Result is NotRun only if no server started the job.
struct JobResult {
  wire::Outcome Result = wire::Outcome::Unknown;
  std::string Reason; //!< Set for results other than Ok.
  Bytes Body;
  std::optional<Affinity> Server; //!< Server that ran the job.
};

//! Lets the code that started a job cancel it. Shared with the job.
class CancelSignal;
std::shared_ptr<CancelSignal> makeCancelSignal(const Executor &Where);
//! Cancels the job. A job that a server may have started ends as Unknown.
void cancel(CancelSignal &Signal);

//! An upstream subscription. Moves to another server when its server drains, is
//! evacuated or fails, until it is destroyed.
class Subscription {
public:
  virtual ~Subscription() = default;
  //! Sequence number of the last event passed on.
  virtual Sequence lastDelivered() const = 0;
  //! Server that sends the events now; none while the subscription moves.
  virtual std::optional<Affinity> server() const = 0;
};

struct SubscriptionRequest {
  ObjectName Service;
  std::string Operation;
  Sequence After;
  std::optional<Affinity> Preferred;
  //! Called once with each event after After, in order of sequence numbers.
  std::function<void(Sequence, const Bytes &)> OnEvent;
};

//! State of one backend server as seen by this host.
struct ServerStatus {
  ObjectName Server;
  ObjectName Service;
  //! "connected", "connecting", "evacuated", "draining" or "ejected".
  std::string State;
  std::uint32_t InFlight = 0;
  std::uint32_t Subscriptions = 0;
  Milliseconds ServiceTime{0}; //!< Moving average; 0 before the first answer.
};

struct DispatcherOptions {
  std::uint64_t RandomSeed = 1;
  //! Maximum number of servers of one service that this host connects to. If a
  //! service has more, they are chosen by rendezvous hashing of host and
  //! server.
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

  //! Applies a new configuration. Requests in progress continue.
  void apply(const config::ObjectSet &Objects);

  //! Runs a job and returns its result, at the latest at the job's deadline.
  Task<JobResult> run(Job Request, std::shared_ptr<CancelSignal> Signal);

  //! Opens a subscription that lasts until the result is destroyed.
  std::unique_ptr<Subscription> subscribe(SubscriptionRequest Request);

  //! Chooses a server for a flow that has none yet; none if no server is
  //! connected.
  std::optional<Affinity> suggestServer(const ObjectName &Service);

  //! What a request of a new flow would meet now. Sends and changes nothing.
  Explanation explain(const ObjectName &Service) const;

  std::vector<ServerStatus> status() const;
  //! Failure domains that the configuration in force evacuates.
  const EvacuatedDomains &evacuated() const;
  const DispatcherCounters &counters() const;

  //! Waits until no job is in progress.
  Task<> waitUntilIdle();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_DISPATCHER_H
