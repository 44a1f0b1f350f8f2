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

//! A token that this process did not mint, or that is too old, has no mint
//! time on this process's clock; its work is recorded as if minted now.
TimePoint mintTime(const HostContext &Context, const wire::Token &Token,
                   TokenStanding Standing) {
  return Standing == TokenStanding::MineValid
             ? Context.StartedAt + Token.IssuedAt
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
                       FeedService &Feeds,
                       const membership::Membership &Members, PeerLink &Peers)
    : Context(Context), Requests(Requests), Feeds(Feeds), Members(Members),
      Peers(Peers) {}

void FlowRouter::handle(ByteView Payload, const UdpEndpoint &Caller,
                        Arrival How) {
  const auto Message = wire::decode(Payload, toString(Caller));
  if (!Message) {
    Context.Meter.countRefused("malformed");
    log(LogLevel::Debug, "datagram_refused",
        {{"peer", Message.error().Peer}, {"reason", Message.error().Message}});
    return;
  }
  Context.Meter.countDatagram(typeName(*Message));
  const Packet From{.Payload = Payload, .Caller = Caller, .How = How};
  std::visit([&](const auto &Item) { route(Item, From); }, *Message);
}

template <typename T> void FlowRouter::route(const T &, const Packet &) {
  Context.Meter.countRefused("not_a_caller_message");
}

std::optional<wire::Token>
FlowRouter::verifyToken(ByteView Sealed, const ServiceAddress &Service,
                        FlowId Flow, const Packet &From) {
  const auto Token = wire::verifyToken(Context.TokenKey, Sealed, Service, Flow,
                                       toString(From.Caller));
  if (Token)
    return *Token;
  // No answer: another copy of the packet may be intact and already running.
  Context.Meter.countRefused("bad_token");
  return std::nullopt;
}

template <typename T>
std::optional<wire::Token> FlowRouter::requireToken(const T &Message,
                                                    Sequence Number,
                                                    const Packet &From) {
  if (!Message.Token.empty())
    return verifyToken(Message.Token, Message.Service, Message.Flow, From);
  sendShortAnswer(Context, From.Caller, Message.Flow, Number,
                  wire::Outcome::Reopen, "token_required");
  return std::nullopt;
}

bool FlowRouter::relayToHome(const wire::Token &Token, const Packet &From) {
  const membership::Member *Owner = Members.find(Token.Owner);
  if (!Owner) {
    Context.Meter.countRefused("home_not_known");
    return false;
  }
  Context.Meter.countRelay("sent");
  Peers.relay(Owner->PeerAddress, From.Caller, From.Payload,
              /*Takeover=*/false);
  return true;
}

bool FlowRouter::handOver(FlowId Flow, const Packet &From) {
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
  Peers.relay(Best->PeerAddress, From.Caller, From.Payload, /*Takeover=*/true);
  return true;
}

void FlowRouter::route(const wire::Open &Message, const Packet &From) {
  if (Context.Version == ConfigVersion(0)) {
    Context.Meter.countRefused("no_configuration");
    return;
  }
  if (Context.Leaving) {
    if (From.How != Arrival::Direct || !handOver(Message.Flow, From))
      Context.Meter.countRefused("leaving");
    return;
  }
  const ServiceEntry *Entry = findService(Context.Services, Message.Service);
  const std::optional<routing::Affinity> Server =
      Entry ? Context.Servers.suggestServer(Entry->Service) : std::nullopt;
  sendToCaller(Context, From.Caller,
               wire::Welcome{.Flow = Message.Flow,
                             .Token = issueToken(Context, Message.Flow,
                                                 Message.Service, Server),
                             .Lifetime = Context.Limits.Lifetime});
}

void FlowRouter::route(const wire::Request &Message, const Packet &From) {
  const auto Token = requireToken(Message, Message.Number, From);
  if (!Token)
    return;
  const bool Repeatable =
      mayRepeat(findService(Context.Services, Message.Service),
                Message.Operation, Message.Idempotent);
  const TokenStanding Standing =
      judgeToken(*Token, Context.Self, Context.Limits, monotonicNow(Context));
  if (Standing != TokenStanding::Other) {
    Requests.handlePart(Message,
                        {.Caller = From.Caller,
                         .Standing = Standing,
                         .IssuedAt = mintTime(Context, *Token, Standing),
                         .Preferred = affinityOf(*Token),
                         .Repeatable = Repeatable});
    return;
  }
  const HomeReach Reach = judgeHome(Members.find(Token->Owner), *Token,
                                    Message.Attempt, Repeatable);
  if (From.How == Arrival::Direct && Reach == HomeReach::Relay) {
    relayToHome(*Token, From);
    return;
  }
  takeOver(Message, *Token, Repeatable, From);
}

void FlowRouter::takeOver(const wire::Request &Message,
                          const wire::Token &Token, bool Repeatable,
                          const Packet &From) {
  if (!Repeatable) {
    // Only the home can know whether it forwarded the request.
    sendShortAnswer(Context, From.Caller, Message.Flow, Message.Number,
                    wire::Outcome::Unknown, "home_lost");
    return;
  }
  Context.Meter.countTakeover("request");
  if (Message.Part.Parts > 1) {
    sendShortAnswer(Context, From.Caller, Message.Flow, Message.Number,
                    wire::Outcome::Reopen, "home_lost");
    return;
  }
  Requests.handlePart(Message, {.Caller = From.Caller,
                                .Standing = TokenStanding::Other,
                                .IssuedAt = Clock::now(),
                                .Preferred = affinityOf(Token),
                                .Repeatable = true});
}

void FlowRouter::route(const wire::Subscribe &Message, const Packet &From) {
  const auto Token = requireToken(Message, Sequence(0), From);
  if (!Token)
    return;
  const bool Mine = Token->Owner == Context.Self.Name;
  if (Context.Leaving) {
    // Without a live peer the feed stays here until the host exits.
    if (From.How == Arrival::Direct && handOver(Message.Flow, From))
      return;
  } else if (!Mine && From.How == Arrival::Direct) {
    const membership::Member *Owner = Members.find(Token->Owner);
    const bool HomeLeaves =
        Owner && Owner->State == membership::MemberState::Leaving;
    const HomeReach Reach =
        judgeHome(Owner, *Token, Message.Attempt, /*Repeatable=*/true);
    if (!HomeLeaves && Reach == HomeReach::Relay) {
      relayToHome(*Token, From);
      return;
    }
  }
  if (!Mine)
    Context.Meter.countTakeover("feed");
  Feeds.handleSubscribe(Message, From.Caller, affinityOf(*Token));
}

void FlowRouter::route(const wire::Unsubscribe &Message, const Packet &From) {
  const auto Token =
      verifyToken(Message.Token, Message.Service, Message.Flow, From);
  if (!Token)
    return;
  if (Token->Owner != Context.Self.Name && From.How == Arrival::Direct)
    relayToHome(*Token, From);
  else
    Feeds.handleUnsubscribe(Message);
}

void FlowRouter::route(const wire::Cancel &Message, const Packet &From) {
  const auto Token =
      verifyToken(Message.Token, Message.Service, Message.Flow, From);
  if (!Token)
    return;
  const TokenStanding Standing =
      judgeToken(*Token, Context.Self, Context.Limits, monotonicNow(Context));
  if (Standing == TokenStanding::Other) {
    if (From.How == Arrival::Direct)
      relayToHome(*Token, From);
    return;
  }
  Requests.handleCancel(Message,
                        {.Caller = From.Caller,
                         .Standing = Standing,
                         .IssuedAt = mintTime(Context, *Token, Standing)});
}

} // namespace buckthorndeck::entryhost
