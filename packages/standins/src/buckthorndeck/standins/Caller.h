#ifndef BUCKTHORNDECK_STANDINS_CALLER_H
#define BUCKTHORNDECK_STANDINS_CALLER_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/wire/Datagram.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace buckthorndeck::standins {

struct CallerOptions {
  UdpEndpoint Entry; //!< Where datagrams go: the fabric or an entry host.
  //! Port 0 lets the kernel choose.
  UdpEndpoint Local{boost::asio::ip::address_v4::loopback(), 0};
  ServiceAddress Service;
  std::optional<FlowId> Flow; //!< Drawn from RandomSeed if not set.
  std::uint64_t RandomSeed = 1;
  //! Time without a welcome until `open` is sent again; doubles up to
  //! MaxRetry.
  Milliseconds OpenRetry{100};
  //! Time without an answer until the second attempt; doubles up to MaxRetry.
  Milliseconds FirstRetry{400};
  Milliseconds MaxRetry{2000};
  //! After a request's deadline its caller still asks for the outcome for
  //! this long, because the home then knows whether the request ran.
  Milliseconds AnswerGrace{1000};
  Milliseconds Keepalive{1000};
  //! Missing events are reported as a gap after this long.
  Milliseconds GapTimeout{3000};
  //! Part of a token's lifetime after which a new one is fetched while the
  //! old one is still used. From ExpireAt on calls wait for the new one.
  double RefreshAt = 0.7;
  double ExpireAt = 0.9;
};

struct CallRequest {
  std::string Operation;
  Bytes Body;
  bool Idempotent = false;
  Milliseconds Deadline{5000};
};

struct CallResult {
  wire::Outcome Result = wire::Outcome::Unknown;
  std::string Reason; //!< For results other than Ok.
  Bytes Body;
  bool Answered = false; //!< False if the caller itself settled the outcome.
  Sequence Number;       //!< Of the last request sent.
  std::uint32_t Attempts = 0;
  std::uint32_t Reopens = 0; //!< Times it was sent as a new request.
  Milliseconds Elapsed{0};
};

struct SubscribeRequest {
  std::string Operation;
  Sequence After; //!< Last event already known; 0 for none.
  //! Called with each event in order, without repeats; may be empty.
  std::function<void(Sequence, const Bytes &)> OnEvent;
  //! Called with the first missing event once it is overdue; may be empty.
  std::function<void(Sequence)> OnGap;
};

//! What a subscription has seen. Owned by the caller's flow.
struct SubscriptionStatus {
  Sequence Position; //!< Last event delivered.
  std::uint64_t Delivered = 0;
  std::uint64_t Duplicates = 0; //!< Dropped.
  std::uint64_t Gaps = 0;       //!< Reported.
  std::uint64_t OutOfOrder = 0; //!< Kept until the ones before arrived.
  std::uint64_t Confirmed = 0;  //!< `subscribed` datagrams received.
  std::uint32_t Attempt = 1;    //!< Of the next keepalive.
  TimePoint LastEvent;          //!< When one was delivered; zero if never.
  bool Open = false;
};

struct CallerStats {
  std::uint64_t Datagrams = 0;       //!< Received.
  std::uint64_t BadDatagrams = 0;    //!< Could not be decoded.
  std::uint64_t ForeignFlow = 0;     //!< Of another flow; ignored.
  std::uint64_t LateAnswers = 0;     //!< For no request in progress; ignored.
  std::uint64_t BadAnswers = 0;      //!< Length or digest was wrong; ignored.
  std::uint64_t IgnoredWelcomes = 0; //!< Duplicated or not asked for.
  std::uint64_t Tokens = 0;          //!< Different tokens taken.
};

/**
 * One caller with one flow to one service address.
 *
 * Calls may run at the same time as each other and as the flow's one
 * subscription.
 */
class Caller {
public:
  static Expected<Caller> start(const Executor &Where, CallerOptions Options);
  Caller(Caller &&) = default;
  Caller &operator=(Caller &&) = delete;
  //! Stops like stop().
  ~Caller();

  UdpEndpoint endpoint() const;
  FlowId flow() const;

  //! Sends a request and waits for its outcome.
  Task<CallResult> call(CallRequest Wanted);
  //! Tells the home that the answers of all calls in progress are no longer
  //! wanted. The calls go on until they learn their outcome.
  void cancelCalls();

  //! Opens the subscription and keeps it alive until unsubscribe().
  void subscribe(SubscribeRequest Wanted);
  void unsubscribe();
  const SubscriptionStatus &subscription() const;
  //! Waits until the subscription has delivered the event Number.
  Task<> waitForEvent(Sequence Number);
  //! Waits until the subscription has reported Count gaps.
  Task<> waitForGaps(std::uint64_t Count);

  const CallerStats &stats() const;
  //! Token that the next request would use; empty if there is none.
  Bytes token() const;
  //! Gives up the token, so that the next request opens a new one.
  void forgetToken();
  void stop();

private:
  struct State;
  explicit Caller(std::shared_ptr<State> Shared);

  std::shared_ptr<State> Shared;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_CALLER_H
