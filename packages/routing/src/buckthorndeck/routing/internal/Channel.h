#ifndef BUCKTHORNDECK_ROUTING_INTERNAL_CHANNEL_H
#define BUCKTHORNDECK_ROUTING_INTERNAL_CHANNEL_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/WebSocket.h"
#include "buckthorndeck/routing/Dispatcher.h"
#include "buckthorndeck/routing/DispatcherCounters.h"
#include "buckthorndeck/routing/ServerHealth.h"
#include "buckthorndeck/routing/ServerLoad.h"
#include "buckthorndeck/routing/ServiceServers.h"
#include "buckthorndeck/wire/ServerMessage.h"

#include <map>
#include <memory>
#include <optional>

namespace buckthorndeck::routing {

//! How the attempt to run a request on one server ended.
struct AttemptResult {
  enum class Kind {
    //! The server ran the request.
    Done,
    //! The server answered that it did not start it, or it was not sent.
    NotStarted,
    //! It was cancelled or overran its deadline, and the server may have
    //! started it.
    Aborted,
    //! The connection ended without an answer.
    ConnectionLost,
  };
  Kind Ending = Kind::ConnectionLost;
  bool Ok = false; //!< For Done: the server reported no error.
  Bytes Body;
};

//! A request that was sent to a server.
struct RequestAttempt {
  std::uint64_t Id = 0;
  TimePoint SentAt;
  std::shared_ptr<CancelSignal> Signal; //!< Wakes the job when Result is set.
  std::optional<AttemptResult> Result;
  bool Abandoned = false; //!< `cancel` was sent.
};

//! Receives the messages of one upstream subscription.
class EventReceiver {
public:
  virtual ~EventReceiver() = default;
  virtual void onEvent(Sequence Number, const Bytes &Body) = 0;
  //! The server drains or is evacuated. It still sends events, but the
  //! subscription should move.
  virtual void onDraining() = 0;
  //! The server ended the subscription or the connection was closed.
  virtual void onEnded() = 0;
};

//! Interface of a channel to the service that its server belongs to.
class ChannelDelegate {
public:
  virtual ~ChannelDelegate() = default;
  //! The server may be able to take requests again.
  virtual void onServerChanged() = 0;
  //! Mean of usagePerSlot() over the service's servers, in ms; the start value
  //! of a newly connected server.
  virtual double usagePerSlot(TimePoint Now) const = 0;
};

/**
 * The connection to one backend server.
 *
 * One task connects, checks `hello`, receives messages until the connection
 * ends, and connects again. All other functions run on the same thread and only
 * queue messages.
 */
class Channel : public std::enable_shared_from_this<Channel> {
public:
  Channel(const Executor &Where, ServiceServer Server, std::uint64_t Seed,
          std::weak_ptr<ChannelDelegate> Delegate,
          std::shared_ptr<DispatcherCounters> Counters);

  //! Runs until retire() or close().
  static Task<> serve(std::shared_ptr<Channel> Self);

  //! Whether the channel belongs to this declaration. Slots and Draining may
  //! differ, since update() changes them.
  bool matches(const config::BackendServer &Declaration) const;
  //! UsagePerSlot is the mean of the service before the update.
  void update(const ServiceServer &Server, double UsagePerSlot);

  //! Sends a request. Returns null and sends nothing if there is no connection
  //! or its send queue is full.
  std::shared_ptr<RequestAttempt>
  sendRequest(const Job &Request, TimePoint Now,
              std::shared_ptr<CancelSignal> Signal);
  //! Cancels a request on the server, so that its slot becomes free.
  //! DeadlineOverrun tells that its deadline passed, which may count as a
  //! failure of the server.
  void abandon(const std::shared_ptr<RequestAttempt> &Attempt,
               bool DeadlineOverrun);

  //! Opens an upstream subscription and returns its id; 0 if it cannot be sent.
  std::uint64_t subscribe(const SubscriptionRequest &Request, Sequence After,
                          std::weak_ptr<EventReceiver> Receiver);
  void unsubscribe(std::uint64_t Id);

  //! Takes no new requests and closes when all requests and subscriptions have
  //! ended.
  void retire();
  //! Closes the connection and ends the task at once.
  void close();

  const config::BackendServer &declared() const { return Declared; }
  const FailureDomainName &failureDomain() const { return FailureDomain; }
  const ServerLoad &load() const { return Load; }
  const ServerHealth &health() const { return Health; }
  Affinity affinity() const;
  std::size_t subscriptions() const { return Receivers.size(); }
  //! Ejected comes from the service, which decides it for all its servers.
  ServerStatus status(bool Ejected) const;

private:
  Task<Expected<wire::ServerHello>> connect();
  Task<Expected<wire::ServerHello>> receiveHello();
  bool isExpected(const wire::ServerHello &Hello) const;
  void markConnected(const wire::ServerHello &Hello);
  Task<> receiveUntilClosed();
  Task<> backOff(bool Mismatch);
  void handleConnectionEnd();
  void closeIfIdle();
  bool isDraining() const;
  void startDrain();
  void moveSubscriptions();

  void handleMessage(const Json &Received, const std::string &Peer);
  void handle(const wire::ServerHello &Message);
  void handle(const wire::ServerDone &Message);
  void handle(const wire::ServerRefused &Message);
  void handle(const wire::ServerCancelled &Message);
  void handle(const wire::ServerEvent &Message);
  void handle(const wire::ServerEnded &Message);
  void handle(const wire::ServerDraining &Message);
  std::shared_ptr<RequestAttempt> takeAttempt(std::uint64_t Id);
  bool endSubscription(std::uint64_t Id);
  void finish(RequestAttempt &Attempt, AttemptResult Result);
  static Task<> releaseSlotAfterTimeout(std::shared_ptr<Channel> Self,
                                        std::uint64_t Id);
  void releaseSlot(std::uint64_t Id);
  void recordDeadlineOverrun(const RequestAttempt &Attempt);
  void recordServerFailure();
  void notifyDelegate();

  Executor Where;
  config::BackendServer Declared;
  FailureDomainName FailureDomain;
  RandomEngine Random;
  std::weak_ptr<ChannelDelegate> Delegate;
  std::shared_ptr<DispatcherCounters> Counters;
  Notifier Stopped;
  WebSocket::Pointer Link;
  ServerLoad Load;
  ServerHealth Health;
  std::map<std::uint64_t, std::shared_ptr<RequestAttempt>> Attempts;
  std::map<std::uint64_t, std::weak_ptr<EventReceiver>> Receivers;
  std::uint64_t LastId = 0;
  std::uint32_t AnnouncedSlots = 0; //!< Slots in the last `hello`.
  unsigned FailedConnections = 0;
  bool AnnouncedDraining = false;
  bool Retired = false;
  bool Closed = false;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_INTERNAL_CHANNEL_H
