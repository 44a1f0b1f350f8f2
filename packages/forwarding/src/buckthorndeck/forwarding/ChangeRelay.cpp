#include "buckthorndeck/forwarding/ChangeRelay.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

void ChangeRelay::recordAttempt() {
  ++Attempts;
  Updated.notifyAll();
}

void ChangeRelay::stop() {
  Stopped = true;
  Updated.notifyAll();
}

bool ChangeRelay::hasHistorySince(StoreRevision After) const {
  return StorePosition{.Era = View.AsOf.Era, .Revision = After} >=
         std::max(View.HistoryStart, Source.servers().newestErased());
}

HttpResponse ChangeRelay::refuse(unsigned Status) const {
  return {.Status = Status,
          .Body = std::string(toText(encodeRefusal(View.AsOf.Era))),
          .ContentType = "application/cbor"};
}

Task<HttpResponse> ChangeRelay::answer(ChangeQuery Query) {
  if (!hasHistorySince(Query.After))
    co_return refuse(410);
  const std::uint64_t AttemptsBefore = Attempts;
  const BootClock::time_point VerifiedBefore = View.VerifiedAt;
  const TimePoint Deadline = Clock::now() + MaxAge;
  const auto HasNews = [&] {
    return (View.AsOf.Revision > Query.After ||
            View.VerifiedAt > VerifiedBefore) &&
           ageOf(View) <= MaxAge;
  };
  while (!Stopped && !HasNews() && Attempts == AttemptsBefore) {
    const bool Notified = co_await Updated.waitUntil(Deadline);
    if (!Notified)
      break;
  }
  if (Stopped || !HasNews() || View.AsOf.Revision < Query.After ||
      !hasHistorySince(Query.After))
    co_return refuse(503);
  const auto Age = std::chrono::ceil<Milliseconds>(ageOf(View));
  HttpResponse Answer;
  Answer.ContentType = "application/cbor";
  Answer.Body = std::string(toText(encodeChanges(
      Source.servers(), Source.routes(), Query, View.AsOf, Age, Clock::now())));
  co_return Answer;
}

} // namespace buckthorndeck::forwarding
