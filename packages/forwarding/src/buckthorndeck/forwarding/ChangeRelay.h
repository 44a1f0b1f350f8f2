#ifndef BUCKTHORNDECK_FORWARDING_CHANGERELAY_H
#define BUCKTHORNDECK_FORWARDING_CHANGERELAY_H

#include "buckthorndeck/forwarding/Forwarder.h"
#include "buckthorndeck/forwarding/RegistryView.h"
#include "buckthorndeck/forwarding/RelayedChanges.h"
#include "buckthorndeck/net/HttpMessage.h"
#include "buckthorndeck/net/Notifier.h"

namespace buckthorndeck::forwarding {

/**
 * Passes this host's changes on to peers.
 *
 * A request is answered as soon as this host has a change that the peer lacks,
 * otherwise when the store has confirmed that there is none. It is refused when
 * this host cannot tell: the peer then asks elsewhere.
 */
class ChangeRelay {
public:
  //! View and Source must outlive this object. Changes confirmed longer than
  //! MaxAge ago are not passed on.
  ChangeRelay(const Executor &Where, const RegistryView &View,
              Forwarder &Source, Milliseconds MaxAge)
      : View(View), Source(Source), MaxAge(MaxAge), Updated(Where) {}

  //! Status 200 with encodeChanges(); with encodeRefusal(), 410 if the changes
  //! after Query are no longer known, 503 if the next attempt to update the
  //! view fails.
  Task<HttpResponse> answer(ChangeQuery Query);

  //! To be called after each attempt to update the view, also a failed one.
  void recordAttempt();
  //! Refuses waiting and later requests.
  void stop();

private:
  bool hasHistorySince(StoreRevision After) const;
  HttpResponse refuse(unsigned Status) const;

  const RegistryView &View;
  Forwarder &Source;
  Milliseconds MaxAge;
  Notifier Updated;
  std::uint64_t Attempts = 0;
  bool Stopped = false;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_CHANGERELAY_H
