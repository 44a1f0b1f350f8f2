#ifndef BUCKTHORNDECK_ENTRYHOST_HOSTCONTEXT_H
#define BUCKTHORNDECK_ENTRYHOST_HOSTCONTEXT_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Mac.h"
#include "buckthorndeck/entryhost/OwnerDecision.h"
#include "buckthorndeck/entryhost/ServiceTable.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/routing/Dispatcher.h"
#include "buckthorndeck/wire/Datagram.h"

#include <optional>

namespace buckthorndeck {
class UdpSocket;
} // namespace buckthorndeck

namespace buckthorndeck::entryhost {

class Metrics;

//! State that the components serving callers' flows share.
struct HostContext {
  Executor Where;
  OwnerIdentity Self;
  TokenLimits Limits;
  MacKey TokenKey;
  TimePoint StartedAt;
  UdpSocket &CallerSocket;
  Metrics &Meter;
  routing::Dispatcher &Servers;
  ServiceTable Services;
  ConfigVersion Version;
  bool Leaving = false;
};

//! Time since the start of the process, the clock of IssuedAt in tokens.
Milliseconds monotonicNow(const HostContext &Context);

//! A token that names this host as the flow's owner. Empty once the host is
//! leaving, so that the caller gets its next token from another host.
Bytes issueToken(const HostContext &Context, FlowId Flow,
                 const ServiceAddress &Service,
                 const std::optional<routing::Affinity> &Server);

//! Sends one datagram to a caller. It is sent again only if the caller repeats
//! its own.
void sendToCaller(const HostContext &Context, const UdpEndpoint &Caller,
                  const wire::Datagram &Message);

//! Sends an answer whose body fits one part.
void sendShortAnswer(const HostContext &Context, const UdpEndpoint &Caller,
                     FlowId Flow, Sequence Number, wire::Outcome Result,
                     const std::string &Reason);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_HOSTCONTEXT_H
