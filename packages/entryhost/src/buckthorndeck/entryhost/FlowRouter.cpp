#include "buckthorndeck/entryhost/FlowRouter.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/entryhost/Metrics.h"
#include "buckthorndeck/entryhost/PeerLink.h"
#include "buckthorndeck/entryhost/RequestService.h"
#include "buckthorndeck/entryhost/SubscriptionService.h"
#include "buckthorndeck/membership/Membership.h"

namespace buckthorndeck::entryhost {

namespace {

std::optional<routing::Affinity> affinityOf(const wire::Token &Token) {
  if (Token.Server.value().empty())
    return std::nullopt;
  return routing::Affinity{.Server = Token.Server,
                           .ServerGeneration = Token.ServerGeneration};
}

//! When the token was issued, on this process's clock. For a token that another
//! process issued, or that has expired, the current time.
TimePoint issueTime(const HostContext &Context, const wire::Token &Token,
                    TokenStatus Status) {
  return Status == TokenStatus::Valid ? Context.StartedAt + Token.IssuedAt
                                      : Clock::now();
}

const char *typeName(const wire::Datagram &Message) {
  static constexpr std::array<const char *, 10> Names{
      "open",    "request", "subscribe", "unsubscribe", "cancel",
      "welcome", "answer",  "event",     "subscribed",  "accepted"};
  return Names[Message.index()];
}

} // namespace

FlowRouter::FlowRouter(HostContext &Context, RequestService &Requests,
                       SubscriptionService &Subscriptions,
                       const membership::Membership &Members, PeerLink &Peers)
    : Context(Context), Requests(Requests), Subscriptions(Subscriptions),
      Members(Members), Peers(Peers) {}

void FlowRouter::handle(ByteView Payload, const UdpEndpoint &Caller,
                        ArrivalPath Path) {
  const auto Message = wire::decode(Payload, toString(Caller));
  if (!Message) {
    Context.Meter.countRefused("malformed");
    log(LogLevel::Debug, "datagram_refused",
        {{"peer", Message.error().Peer}, {"reason", Message.error().Message}});
    return;
  }
  Context.Meter.countDatagram(typeName(*Message));
  const CallerDatagram Received{
      .Payload = Payload, .Caller = Caller, .Path = Path};
  std::visit([&](const auto &Decoded) { route(Decoded, Received); }, *Message);
}

template <typename T>
void FlowRouter::route(const T &, const CallerDatagram &) {
  Context.Meter.countRefused("not_a_caller_message");
}

std::optional<wire::Token>
FlowRouter::verifyToken(ByteView Sealed, const ServiceAddress &Service,
                        FlowId Flow, const CallerDatagram &Received) {
  const auto Token = wire::verifyToken(Context.TokenKey, Sealed, Service, Flow,
                                       toString(Received.Caller));
  if (Token)
    return *Token;
  // Sends no answer: the packet may be a damaged copy, and an intact copy's
  // request may already be running.
  Context.Meter.countRefused("bad_token");
  return std::nullopt;
}

template <typename T>
std::optional<wire::Token>
FlowRouter::requireToken(const T &Message, Sequence Number,
                         const CallerDatagram &Received) {
  if (!Message.Token.empty())
    return verifyToken(Message.Token, Message.Service, Message.Flow, Received);
  sendShortAnswer(Context, Received.Caller, Message.Flow, Number,
                  wire::Outcome::Reopen, "token_required");
  return std::nullopt;
}

bool FlowRouter::relayToOwner(const wire::Token &Token,
                              const CallerDatagram &Received) {
  const membership::Member *Owner = Members.find(Token.Owner);
  if (!Owner) {
    Context.Meter.countRefused("home_not_known");
    return false;
  }
  Context.Meter.countRelay("sent");
  Peers.relay(Owner->PeerAddress, Received.Caller, Received.Payload,
              /*Takeover=*/false);
  return true;
}

bool FlowRouter::handOver(FlowId Flow, const CallerDatagram &Received) {
  const membership::Member *Best = nullptr;
  std::uint64_t BestScore = 0;
  const std::string Key = std::to_string(Flow.value());
  const std::vector<membership::Member> Reachable = Members.reachable();
  for (const membership::Member &Candidate : Reachable) {
    if (Candidate.State != membership::MemberState::Alive ||
        Candidate.Name == Context.Self.Name)
      continue;
    const std::uint64_t Score = rendezvousScore(Key, Candidate.Name.value());
    if (Best && Score <= BestScore)
      continue;
    Best = &Candidate;
    BestScore = Score;
  }
  if (!Best)
    return false;
  Context.Meter.countRelay("handed_over");
  Peers.relay(Best->PeerAddress, Received.Caller, Received.Payload,
              /*Takeover=*/true);
  return true;
}

void FlowRouter::route(const wire::Open &Message,
                       const CallerDatagram &Received) {
  if (Context.Version == ConfigVersion(0)) {
    Context.Meter.countRefused("no_configuration");
    return;
  }
  if (Context.Leaving) {
    if (Received.Path != ArrivalPath::Direct ||
        !handOver(Message.Flow, Received))
      Context.Meter.countRefused("leaving");
    return;
  }
  const ServiceEntry *Entry = findService(Context.Services, Message.Service);
  const std::optional<routing::Affinity> Server =
      Entry ? Context.Servers.suggestServer(Entry->Service) : std::nullopt;
  sendToCaller(Context, Received.Caller,
               wire::Welcome{.Flow = Message.Flow,
                             .Token = issueToken(Context, Message.Flow,
                                                 Message.Service, Server),
                             .Lifetime = Context.Limits.Lifetime});
}

void FlowRouter::route(const wire::Request &Message,
                       const CallerDatagram &Received) {
  const auto Token = requireToken(Message, Message.Number, Received);
  if (!Token)
    return;
  const bool Repeatable =
      mayRepeat(findService(Context.Services, Message.Service),
                Message.Operation, Message.Idempotent);
  const TokenStatus Status = classifyToken(*Token, Context.Self, Context.Limits,
                                           monotonicNow(Context));
  if (Status != TokenStatus::OtherOwner) {
    Requests.handlePart(Message,
                        {.Caller = Received.Caller,
                         .Status = Status,
                         .IssuedAt = issueTime(Context, *Token, Status),
                         .Preferred = affinityOf(*Token),
                         .Repeatable = Repeatable});
    return;
  }
  const OwnerAction Action = decideOwnerAction(
      Members.find(Token->Owner), *Token, Message.Attempt, Repeatable);
  if (Received.Path == ArrivalPath::Direct && Action == OwnerAction::Relay) {
    relayToOwner(*Token, Received);
    return;
  }
  takeOver(Message, *Token, Repeatable, Received);
}

void FlowRouter::takeOver(const wire::Request &Message,
                          const wire::Token &Token, bool Repeatable,
                          const CallerDatagram &Received) {
  if (!Repeatable) {
    // Only the owner knows whether it sent the request to a server.
    sendShortAnswer(Context, Received.Caller, Message.Flow, Message.Number,
                    wire::Outcome::Unknown, "home_lost");
    return;
  }
  Context.Meter.countTakeover("request");
  if (Message.Part.Parts > 1) {
    sendShortAnswer(Context, Received.Caller, Message.Flow, Message.Number,
                    wire::Outcome::Reopen, "home_lost");
    return;
  }
  Requests.handlePart(Message, {.Caller = Received.Caller,
                                .Status = TokenStatus::OtherOwner,
                                .IssuedAt = Clock::now(),
                                .Preferred = affinityOf(Token),
                                .Repeatable = true});
}

void FlowRouter::route(const wire::Subscribe &Message,
                       const CallerDatagram &Received) {
  const auto Token = requireToken(Message, Sequence(0), Received);
  if (!Token)
    return;
  const bool OwnedHere = Token->Owner == Context.Self.Name;
  if (Context.Leaving) {
    // Without a live peer the subscription stays here until this host exits.
    if (Received.Path == ArrivalPath::Direct &&
        handOver(Message.Flow, Received))
      return;
  } else if (!OwnedHere && Received.Path == ArrivalPath::Direct) {
    const membership::Member *Owner = Members.find(Token->Owner);
    const bool OwnerLeaving =
        Owner && Owner->State == membership::MemberState::Leaving;
    const OwnerAction Action =
        decideOwnerAction(Owner, *Token, Message.Attempt, /*Repeatable=*/true);
    if (!OwnerLeaving && Action == OwnerAction::Relay) {
      relayToOwner(*Token, Received);
      return;
    }
  }
  if (!OwnedHere)
    Context.Meter.countTakeover("feed");
  Subscriptions.handleSubscribe(Message, Received.Caller, affinityOf(*Token));
}

void FlowRouter::route(const wire::Unsubscribe &Message,
                       const CallerDatagram &Received) {
  const auto Token =
      verifyToken(Message.Token, Message.Service, Message.Flow, Received);
  if (!Token)
    return;
  if (Token->Owner != Context.Self.Name && Received.Path == ArrivalPath::Direct)
    relayToOwner(*Token, Received);
  else
    Subscriptions.handleUnsubscribe(Message);
}

void FlowRouter::route(const wire::Cancel &Message,
                       const CallerDatagram &Received) {
  const auto Token =
      verifyToken(Message.Token, Message.Service, Message.Flow, Received);
  if (!Token)
    return;
  const TokenStatus Status = classifyToken(*Token, Context.Self, Context.Limits,
                                           monotonicNow(Context));
  if (Status == TokenStatus::OtherOwner) {
    if (Received.Path == ArrivalPath::Direct)
      relayToOwner(*Token, Received);
    return;
  }
  Requests.handleCancel(Message,
                        {.Caller = Received.Caller,
                         .Status = Status,
                         .IssuedAt = issueTime(Context, *Token, Status)});
}

} // namespace buckthorndeck::entryhost
