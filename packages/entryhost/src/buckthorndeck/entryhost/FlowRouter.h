#ifndef BUCKTHORNDECK_ENTRYHOST_FLOWROUTER_H
#define BUCKTHORNDECK_ENTRYHOST_FLOWROUTER_H

#include "buckthorndeck/entryhost/HostContext.h"
#include "buckthorndeck/wire/Token.h"

namespace buckthorndeck::membership {
class Membership;
struct Member;
} // namespace buckthorndeck::membership

namespace buckthorndeck::entryhost {

class FeedService;
class PeerLink;
class RequestService;

//! How a caller's datagram reached this host.
enum class Arrival : std::uint8_t {
  Direct,   //!< From the fabric.
  Relayed,  //!< From a host that takes this one for the flow's home.
  Takeover, //!< From a home that is leaving and hands the flow over.
};

/**
 * Decides for each caller's datagram whether this host handles it, relays it
 * to the flow's home, or takes the flow over.
 *
 * A relayed datagram is never relayed again, so hosts with different views
 * cannot pass one back and forth.
 */
class FlowRouter {
public:
  FlowRouter(HostContext &Context, RequestService &Requests, FeedService &Feeds,
             const membership::Membership &Members, PeerLink &Peers);

  void handle(ByteView Payload, const UdpEndpoint &Caller, Arrival How);

private:
  //! One datagram on its way through the router.
  struct Packet {
    ByteView Payload;
    UdpEndpoint Caller;
    Arrival How = Arrival::Direct;
  };

  void route(const wire::Open &Message, const Packet &From);
  void route(const wire::Request &Message, const Packet &From);
  void route(const wire::Subscribe &Message, const Packet &From);
  void route(const wire::Unsubscribe &Message, const Packet &From);
  void route(const wire::Cancel &Message, const Packet &From);
  //! Messages that only entry hosts send.
  template <typename T> void route(const T &Message, const Packet &From);

  std::optional<wire::Token> verifyToken(ByteView Sealed,
                                         const ServiceAddress &Service,
                                         FlowId Flow, const Packet &From);
  //! Like verifyToken(), but asks a caller without a token to open the flow.
  template <typename T>
  std::optional<wire::Token> requireToken(const T &Message, Sequence Number,
                                          const Packet &From);
  bool relayToHome(const wire::Token &Token, const Packet &From);
  bool handOver(FlowId Flow, const Packet &From);
  void takeOver(const wire::Request &Message, const wire::Token &Token,
                bool Repeatable, const Packet &From);

  HostContext &Context;
  RequestService &Requests;
  FeedService &Feeds;
  const membership::Membership &Members;
  PeerLink &Peers;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_FLOWROUTER_H
