#include "buckthorndeck/entryhost/HostContext.h"

#include "buckthorndeck/entryhost/Metrics.h"
#include "buckthorndeck/net/UdpSocket.h"
#include "buckthorndeck/wire/Body.h"
#include "buckthorndeck/wire/Token.h"

namespace buckthorndeck::entryhost {

Milliseconds monotonicNow(const HostContext &Context) {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() -
                                                  Context.StartedAt);
}

Bytes issueToken(const HostContext &Context, FlowId Flow,
                 const ServiceAddress &Service,
                 const std::optional<routing::Affinity> &Server) {
  if (Context.Leaving)
    return {};
  const routing::Affinity Affinity = Server.value_or(routing::Affinity{});
  const wire::Token Contents{.Owner = Context.Self.Name,
                             .OwnerIncarnation = Context.Self.StartTime,
                             .Flow = Flow,
                             .Server = Affinity.Server,
                             .ServerGeneration = Affinity.ServerGeneration,
                             .IssuedAt = monotonicNow(Context)};
  return wire::issueToken(Context.TokenKey, Contents, Service);
}

void sendToCaller(const HostContext &Context, const UdpEndpoint &Caller,
                  const wire::Datagram &Message) {
  if (!Context.CallerSocket.send(wire::encode(Message), Caller))
    Context.Meter.countRefused("send_buffer_full");
}

void sendShortAnswer(const HostContext &Context, const UdpEndpoint &Caller,
                     FlowId Flow, Sequence Number, wire::Outcome Result,
                     const std::string &Reason) {
  const wire::Answer Message{.Flow = Flow,
                             .Number = Number,
                             .Result = Result,
                             .Reason = Reason,
                             .Part = wire::splitBody({}).front()};
  sendToCaller(Context, Caller, Message);
}

} // namespace buckthorndeck::entryhost
