#include "buckthorndeck/operator/HostStatus.h"

#include "buckthorndeck/base/FieldReader.h"
#include "buckthorndeck/config/Limits.h"
#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/net/WebSocket.h"

#include <boost/asio/this_coro.hpp>

namespace buckthorndeck::operators {

namespace {

const char *const Step = "read status";
constexpr std::size_t MaxStateLength = 32;
constexpr std::size_t MaxDigestLength = 64;
constexpr std::uint64_t MaxServiceTimeMs = 86'400'000;

MemberStatus readMember(FieldReader &Fields) {
  return {.Name = EntryHostName(Fields.text("name", config::MaxNameLength)),
          .Region = RegionName(Fields.text("region", config::MaxNameLength)),
          .FailureDomain = FailureDomainName(
              Fields.text("failure_domain", config::MaxNameLength)),
          .SyncAddress = Fields.text("sync_address", config::MaxAddressLength),
          .State = Fields.text("state", MaxStateLength),
          .Version = ConfigVersion(Fields.number("version"))};
}

ServerStatus readServer(FieldReader &Fields) {
  return {.Name = ObjectName(Fields.text("name", config::MaxFullNameLength)),
          .Service =
              ObjectName(Fields.text("service", config::MaxFullNameLength)),
          .State = Fields.text("state", MaxStateLength),
          .InFlight = Fields.number("in_flight"),
          .Subscriptions = Fields.number("subscriptions"),
          .ServiceTime =
              Milliseconds(Fields.number("service_time_ms", MaxServiceTimeMs))};
}

std::vector<FailureDomainName> readDomains(FieldReader &Fields,
                                           const char *Name) {
  std::vector<FailureDomainName> Result;
  const Json *Items = Fields.array(Name, config::MaxObjectsPerKind);
  if (!Items)
    return Result;
  for (const Json &Value : *Items) {
    if (!Value.is_string()) {
      Fields.fail(Name, "names of failure domains");
      break;
    }
    Result.emplace_back(Value.get<std::string>());
  }
  return Result;
}

template <typename Item>
void readList(FieldReader &Fields, const char *Name, const std::string &Peer,
              Item (*Read)(FieldReader &), std::vector<Item> &Into) {
  const Json *Items = Fields.array(Name, config::MaxObjectsPerKind);
  if (!Items)
    return;
  for (const Json &Value : *Items) {
    FieldReader Inner(Value, Step, Peer);
    Into.push_back(Read(Inner));
    if (Inner.failed())
      return Fields.fail(Name, "valid items, found an invalid one: " +
                                   Inner.error().Message);
  }
}

//! Closes the connection after Delay. Without this, a host that answers pings
//! but not the request would block the command.
Task<> closeAfter(std::weak_ptr<WebSocket> Link, Milliseconds Delay) {
  co_await sleepFor(Delay);
  if (const auto Connection = Link.lock())
    Connection->close();
}

bool isOfType(const Json &Message, const std::string &Type) {
  return Message.is_object() && Message.value("type", Json()) == Json(Type);
}

} // namespace

Expected<HostStatus> parseStatus(const Json &Message, const std::string &Peer) {
  FieldReader Fields(Message, Step, Peer);
  HostStatus Result;
  Result.Name = EntryHostName(Fields.text("host", config::MaxNameLength, 1));
  Result.Region = RegionName(Fields.text("region", config::MaxNameLength));
  Result.FailureDomain =
      FailureDomainName(Fields.text("failure_domain", config::MaxNameLength));
  Result.Version = ConfigVersion(Fields.number("version"));
  if (Message.is_object() && Message.contains("digest")) {
    const auto Parsed =
        config::parseDigest(Fields.text("digest", MaxDigestLength));
    if (Parsed)
      Result.ObjectsDigest = *Parsed;
    else
      Fields.fail("digest", "the digest of a configuration");
  }
  Result.Draining = Fields.flag("draining");
  if (Message.is_object() && Message.contains("evacuated"))
    Result.Evacuated = readDomains(Fields, "evacuated");
  readList(Fields, "members", Peer, readMember, Result.Members);
  readList(Fields, "servers", Peer, readServer, Result.Servers);
  if (Fields.failed())
    return Unexpected(Fields.error());
  return Result;
}

Task<Expected<Json>> requestFromHost(TcpEndpoint Host, Json Request,
                                     std::string AnswerType,
                                     Milliseconds Timeout) {
  WebSocketOptions Options;
  Options.HandshakeTimeout = Timeout;
  Options.IdleTimeout = Timeout;
  const auto Link = co_await WebSocket::connect(Host, Options);
  if (!Link)
    co_return Unexpected(Link.error());
  const Executor Where = co_await boost::asio::this_coro::executor;
  spawn(Where, "status_timeout", closeAfter(*Link, Timeout));
  (*Link)->send(Request);
  while (true) {
    const auto Message = co_await (*Link)->receive();
    if (!Message)
      co_return Unexpected(Message.error());
    // An entry host may also announce versions on this channel; skip those.
    if (isOfType(*Message, AnswerType))
      co_return *Message;
  }
}

Task<Expected<HostStatus>> queryStatus(TcpEndpoint Host, Milliseconds Timeout) {
  Json Request = {{"type", "status_request"}};
  const auto Answer =
      co_await requestFromHost(Host, std::move(Request), "status", Timeout);
  if (!Answer)
    co_return Unexpected(Answer.error());
  co_return parseStatus(*Answer, toString(Host));
}

} // namespace buckthorndeck::operators
