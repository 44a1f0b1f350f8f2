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

bool ChangeRelay::hasHistorySince(StoreRevision After) {
  return After >= std::max(View.HistoryStart, Source.servers().newestErased());
}

Task<HttpResponse> ChangeRelay::answer(ChangeQuery Query) {
  HttpResponse Answer;
  if (!hasHistorySince(Query.After)) {
    Answer.Status = 410;
    co_return Answer;
  }
  const std::uint64_t AttemptsBefore = Attempts;
  const BootClock::time_point VerifiedBefore = View.VerifiedAt;
  const TimePoint Deadline = Clock::now() + MaxAge;
  const auto HasNews = [&] {
    return (View.AsOf > Query.After || View.VerifiedAt > VerifiedBefore) &&
           ageOf(View) <= MaxAge;
  };
  while (!Stopped && !HasNews() && Attempts == AttemptsBefore) {
    const bool Notified = co_await Updated.waitUntil(Deadline);
    if (!Notified)
      break;
  }
  if (Stopped || !HasNews() || View.AsOf < Query.After ||
      !hasHistorySince(Query.After)) {
    Answer.Status = 503;
    co_return Answer;
  }
  const auto Age = std::chrono::ceil<Milliseconds>(ageOf(View));
  Answer.ContentType = "application/cbor";
  Answer.Body = std::string(toText(encodeChanges(
      Source.servers(), Source.routes(), Query, View.AsOf, Age, Clock::now())));
  co_return Answer;
}

} // namespace buckthorndeck::forwarding
