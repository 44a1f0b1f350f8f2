#include "buckthorndeck/forwarding/RelayFollower.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/forwarding/PeerSnapshot.h"
#include "buckthorndeck/net/HttpClient.h"

#include <algorithm>
#include <utility>

namespace buckthorndeck::forwarding {

namespace {

//! Longest call to a relay, as part of FreshnessLimit.
constexpr int TimeoutDivisor = 2;

void logFailed(const Peer &Followed, const std::string &Failure,
               BootClock::duration ViewAge) {
  log(LogLevel::Info, "relay_failed",
      {{"peer", Followed.Name.value()},
       {"error", Failure},
       {"view_age_ms",
        std::chrono::duration_cast<Milliseconds>(ViewAge).count()}});
}

void logRelayed(const Peer &Followed, const RelayedChanges &Received) {
  log(LogLevel::Info, "changes_relayed",
      {{"peer", Followed.Name.value()},
       {"events", Received.Changes.Events},
       {"era", Received.Changes.AsOf.Era.value()},
       {"revision", Received.Changes.AsOf.Revision.value()},
       {"age_ms", Received.Age.count()}});
}

std::string toText(const StorePosition &Position) {
  return "revision " + std::to_string(Position.Revision.value()) + " of era " +
         std::to_string(Position.Era.value());
}

//! Places changes of a host that doesn't know eras in Era.
void placeIn(StoreEra Era, RegistryChanges &Changes) {
  Changes.AsOf.Era = Era;
  for (ServerChange &Change : Changes.Servers)
    Change.Position.Era = Era;
}

} // namespace

//! Time that a call to a relay may take; zero if the store must be asked now.
Milliseconds RelayFollower::timeout(bool StoreFailed) const {
  const Milliseconds Longest = FreshnessLimit / TimeoutDivisor;
  const auto Left = std::chrono::duration_cast<Milliseconds>(
      FreshnessLimit - ageOf(Known.view()));
  if (Left.count() <= 0)
    return StoreFailed ? Longest : Milliseconds(0);
  return std::min(Left, Longest);
}

Task<std::optional<bool>> RelayFollower::follow(bool StoreFailed) {
  const std::optional<Peer> Followed = Relays.choose(Clock::now());
  const Milliseconds Timeout = timeout(StoreFailed);
  if (!Followed || Timeout.count() == 0)
    co_return std::nullopt;
  const bool Answered = co_await ask(*Followed, Timeout);
  co_return Answered;
}

//! Whether an answer leads on from this host's view.
RelayFollower::CheckedAnswer
RelayFollower::check(const Expected<HttpResponse> &Answer, const Peer &Followed,
                     BootClock::time_point Asked) const {
  const StorePosition Own = Known.view().AsOf;
  if (!Answer)
    return {.Reason = describe(Answer.error())};
  if (Answer->Status != 200) {
    const auto Era = decodeRefusal(toBytes(Answer->Body));
    return {.Purpose = Era && *Era > Own.Era ? Use::ReadSnapshot : Use::Refuse,
            .Reason = "HTTP status " + std::to_string(Answer->Status)};
  }
  Expected<RelayedChanges> Received =
      decodeChanges(toBytes(Answer->Body), Followed.Name.value());
  if (!Received)
    return {.Reason = describe(Received.error())};
  if (!Received->Changes.NamesEvacuations)
    return {.Reason = "the relay does not know evacuations"};
  if (!Received->NamesEra)
    placeIn(Own.Era, Received->Changes);
  const StorePosition Reached = Received->Changes.AsOf;
  if (Reached.Era > Own.Era)
    return {.Purpose = Use::ReadSnapshot};
  if (Reached < Own)
    return {.Reason = toText(Reached) + " is behind " + toText(Own)};
  if (BootClock::now() - Asked + Received->Age > FreshnessLimit)
    return {.Reason = "the answer is too old"};
  return {.Purpose = Use::Apply, .Received = std::move(*Received)};
}

//! Takes over what a relay of a later era knows.
Task<bool> RelayFollower::catchUp(Peer Followed) {
  std::optional<RegistryChanges> Snapshot = co_await readSnapshot(Followed);
  if (!Snapshot || Snapshot->AsOf.Era <= Known.view().AsOf.Era ||
      !Snapshot->NamesEvacuations)
    co_return false;
  Known.mergeSnapshot(*Snapshot);
  co_return true;
}

//! Asks a relay for changes. Returns whether it answered.
Task<bool> RelayFollower::ask(Peer Followed, Milliseconds Timeout) {
  ++Counters.Calls;
  HttpRequest Request;
  Request.Target = changesTarget({.After = Known.view().AsOf.Revision,
                                  .Config = Known.knowledge().Config});
  const BootClock::time_point Asked = BootClock::now();
  const Expected<HttpResponse> Answer =
      co_await callHttp(Followed.Snapshot, std::move(Request), Timeout);
  CheckedAnswer Checked = check(Answer, Followed, Asked);
  if (Checked.Purpose == Use::ReadSnapshot) {
    const bool CaughtUp = co_await catchUp(Followed);
    if (CaughtUp)
      co_return true;
    Checked = {.Reason = "the snapshot of its era can't be read"};
  }
  if (Checked.Purpose == Use::Refuse) {
    ++Counters.Failures;
    logFailed(Followed, Checked.Reason, ageOf(Known.view()));
    Relays.markFailed(Followed.Name, Clock::now());
    co_return false;
  }
  RelayedChanges &Received = Checked.Received;
  if (Received.Changes.Events > 0 || LastFollowed != Followed.Name.value())
    logRelayed(Followed, Received);
  LastFollowed = Followed.Name.value();
  // Without an era, the answer may come from a host that has not noticed a
  // restoration, so that it doesn't show that the view is complete.
  std::optional<AnswerTimes> Times;
  if (Received.NamesEra)
    Times = {.VerifiedAt = Asked - Received.Age,
             .CurrentAt = Asked - Received.Age};
  Known.applyChanges(Received.Changes, Times);
  co_return true;
}

} // namespace buckthorndeck::forwarding
