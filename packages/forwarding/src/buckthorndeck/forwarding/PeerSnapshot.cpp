#include "buckthorndeck/forwarding/PeerSnapshot.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/forwarding/Snapshot.h"
#include "buckthorndeck/net/HttpClient.h"

namespace buckthorndeck::forwarding {

namespace {

//! Peers in the own failure domain begin to answer within milliseconds.
constexpr CallTimeouts PeerTimeouts{.Response = Milliseconds(500),
                                    .Pause = Milliseconds(500)};

void logFailed(const Peer &Provider, const std::string &Failure) {
  log(LogLevel::Warn, "snapshot_failed",
      {{"peer", Provider.Name.value()}, {"error", Failure}});
}

} // namespace

Task<std::optional<RegistryChanges>> readSnapshot(Peer Provider) {
  HttpRequest Request;
  Request.Target = SnapshotPath;
  const Expected<HttpResponse> Answer =
      co_await callHttp(Provider.Snapshot, std::move(Request), PeerTimeouts);
  if (!Answer) {
    logFailed(Provider, Answer.error().Message);
    co_return std::nullopt;
  }
  if (Answer->Status != 200) {
    logFailed(Provider, "HTTP status " + std::to_string(Answer->Status));
    co_return std::nullopt;
  }
  Expected<RegistryChanges> Snapshot =
      decodeSnapshot(toBytes(Answer->Body), Provider.Name.value());
  if (!Snapshot) {
    logFailed(Provider, describe(Snapshot.error()));
    co_return std::nullopt;
  }
  co_return std::move(*Snapshot);
}

} // namespace buckthorndeck::forwarding
