#ifndef BUCKTHORNDECK_ENTRYHOST_FLOWROUTER_H
#define BUCKTHORNDECK_ENTRYHOST_FLOWROUTER_H

#include "buckthorndeck/entryhost/HostContext.h"
#include "buckthorndeck/wire/Token.h"

namespace buckthorndeck::membership {
class Membership;
struct Member;
} // namespace buckthorndeck::membership

namespace buckthorndeck::entryhost {

class SubscriptionService;
class PeerLink;
class RequestService;

//! How a caller's datagram reached this host.
enum class ArrivalPath : std::uint8_t {
  Direct,   //!< From the fabric.
  Relayed,  //!< From a host that takes this one for the flow's owner.
  Takeover, //!< From an owner that is leaving and hands the flow over.
};

/**
 * Decides for each caller's datagram whether this host handles it, relays it
 * to the flow's owner, or takes the flow over.
 *
 * A relayed datagram is never relayed again. Otherwise two hosts that disagree
 * about the owner could relay it to each other endlessly.
 */
class FlowRouter {
public:
  FlowRouter(HostContext &Context, RequestService &Requests,
             SubscriptionService &Subscriptions,
             const membership::Membership &Members, PeerLink &Peers);

  void handle(ByteView Payload, const UdpEndpoint &Caller, ArrivalPath Path);

private:
  //! A datagram from a caller, and how it reached this host.
  struct CallerDatagram {
    ByteView Payload;
    UdpEndpoint Caller;
    ArrivalPath Path = ArrivalPath::Direct;
  };

  void route(const wire::Open &Message, const CallerDatagram &Received);
  void route(const wire::Request &Message, const CallerDatagram &Received);
  void route(const wire::Subscribe &Message, const CallerDatagram &Received);
  void route(const wire::Unsubscribe &Message, const CallerDatagram &Received);
  void route(const wire::Cancel &Message, const CallerDatagram &Received);
  //! Refuses messages that only entry hosts send.
  template <typename T>
  void route(const T &Message, const CallerDatagram &Received);

  std::optional<wire::Token> verifyToken(ByteView Sealed,
                                         const ServiceAddress &Service,
                                         FlowId Flow,
                                         const CallerDatagram &Received);
  //! Like verifyToken(), but asks a caller without a token to open the flow.
  template <typename T>
  std::optional<wire::Token> requireToken(const T &Message, Sequence Number,
                                          const CallerDatagram &Received);
  //! False if the owner is not a known member; the datagram is then dropped.
  bool relayToOwner(const wire::Token &Token, const CallerDatagram &Received);
  //! Relays the datagram to a live peer, which becomes the flow's owner. False
  //! if there is no live peer.
  bool handOver(FlowId Flow, const CallerDatagram &Received);
  //! Runs a request here instead of at its owner. Answers Unknown if it may not
  //! be repeated, and Reopen if it has several parts.
  void takeOver(const wire::Request &Message, const wire::Token &Token,
                bool Repeatable, const CallerDatagram &Received);

  HostContext &Context;
  RequestService &Requests;
  SubscriptionService &Subscriptions;
  const membership::Membership &Members;
  PeerLink &Peers;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_FLOWROUTER_H
