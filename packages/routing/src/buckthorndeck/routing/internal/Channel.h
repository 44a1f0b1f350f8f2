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
#include "buckthorndeck/wire/ServerMessage.h"

#include <map>
#include <memory>
#include <optional>

namespace buckthorndeck::routing {

//! How one attempt at one server ended.
struct RunReply {
  enum class Kind {
    Done,       //!< The server ran the request.
    NotStarted, //!< The server's own answer proves that it did not run.
    GivenUp,    //!< The server started the request and gave it up.
    Lost,       //!< The connection ended without an answer.
  };
  Kind End = Kind::Lost;
  bool Ok = false; //!< For Done: the server reported no error.
  Bytes Body;
};

//! One request that was sent to a server.
struct ActiveRun {
  std::uint64_t Id = 0;
  TimePoint SentAt;
  std::shared_ptr<CancelSignal> Owner; //!< Woken by the reply.
  std::optional<RunReply> Reply;
  bool Abandoned = false; //!< `cancel` was sent.
};

//! Receives the messages of one upstream subscription.
class EventReceiver {
public:
  virtual ~EventReceiver() = default;
  virtual void onEvent(Sequence Number, const Bytes &Body) = 0;
  //! The server drains; the subscription goes on for now.
  virtual void onDraining() = 0;
  //! The server ended the subscription or is lost.
  virtual void onEnded() = 0;
};

//! The service that a channel belongs to.
class ChannelOwner {
public:
  virtual ~ChannelOwner() = default;
  //! The server may have become able to take work.
  virtual void onServerChanged() = 0;
  //! Mean usage of the service's servers, for newcomers.
  virtual double usagePerSlot(TimePoint Now) const = 0;
};

/**
 * The connection to one backend server.
 *
 * One task connects, checks `hello`, receives until the connection ends and
 * connects again. Everything else runs on the same thread and only queues
 * messages.
 */
class Channel : public std::enable_shared_from_this<Channel> {
public:
  Channel(const Executor &Where, config::BackendServer Declared,
          std::uint64_t Seed, std::weak_ptr<ChannelOwner> Owner,
          std::shared_ptr<DispatcherCounters> Counters);

  //! Runs until retire() or close().
  static Task<> serve(std::shared_ptr<Channel> Self);

  //! Whether the channel belongs to this declaration. Slots and drain may
  //! differ, they are changed by update().
  bool matches(const config::BackendServer &Declaration) const;
  void update(const config::BackendServer &Declaration);

  //! Sends a request; null, having sent nothing, if it cannot be queued.
  std::shared_ptr<ActiveRun> run(const Job &Work, TimePoint Now,
                                 std::shared_ptr<CancelSignal> Owner);
  //! Asks the server to give a request up, so that its slot becomes free.
  //! Overrun tells that its deadline passed, which counts against the server.
  void abandon(const std::shared_ptr<ActiveRun> &Run, bool Overrun);

  //! Opens an upstream subscription; 0 if it cannot be sent.
  std::uint64_t subscribe(const SubscriptionRequest &Wanted, Sequence After,
                          std::weak_ptr<EventReceiver> Receiver);
  void unsubscribe(std::uint64_t Id);

  //! Takes no new work and closes once everything in progress has ended.
  void retire();
  //! Ends the connection and the task now.
  void close();

  const config::BackendServer &declared() const { return Declared; }
  const ServerLoad &load() const { return Load; }
  const ServerHealth &health() const { return Health; }
  Affinity affinity() const;
  std::size_t subscriptions() const { return Receivers.size(); }
  //! Ejected is decided by the service.
  ServerStatus status(bool Ejected) const;

private:
  Task<Expected<wire::ServerHello>> connect();
  Task<Expected<wire::ServerHello>> receiveHello();
  bool isExpected(const wire::ServerHello &Hello) const;
  void admit(const wire::ServerHello &Hello);
  Task<> receiveAll();
  Task<> backOff(bool Mismatch);
  void dropAll();
  void closeIfIdle();
  bool isDraining() const;
  void startDrain();

  void handleMessage(const Json &Received, const std::string &Peer);
  void handle(const wire::ServerHello &Message);
  void handle(const wire::ServerDone &Message);
  void handle(const wire::ServerRefused &Message);
  void handle(const wire::ServerCancelled &Message);
  void handle(const wire::ServerEvent &Message);
  void handle(const wire::ServerEnded &Message);
  void handle(const wire::ServerDraining &Message);
  std::shared_ptr<ActiveRun> takeRun(std::uint64_t Id);
  bool endSubscription(std::uint64_t Id);
  void finish(ActiveRun &Run, RunReply Reply);
  static Task<> releaseSlotLater(std::shared_ptr<Channel> Self,
                                 std::uint64_t Id);
  void releaseSlot(std::uint64_t Id);
  void noteOverrun(const ActiveRun &Run);
  void noteFailure();
  void notifyOwner();

  Executor Where;
  config::BackendServer Declared;
  RandomEngine Random;
  std::weak_ptr<ChannelOwner> Owner;
  std::shared_ptr<DispatcherCounters> Counters;
  Notifier Stopped;
  WebSocket::Pointer Link;
  ServerLoad Load;
  ServerHealth Health;
  std::map<std::uint64_t, std::shared_ptr<ActiveRun>> Runs;
  std::map<std::uint64_t, std::weak_ptr<EventReceiver>> Receivers;
  std::uint64_t LastId = 0;
  std::uint32_t AnnouncedSlots = 0; //!< By the last `hello`.
  unsigned FailedConnects = 0;
  bool AnnouncedDraining = false;
  bool Retired = false;
  bool Closed = false;
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_INTERNAL_CHANNEL_H
