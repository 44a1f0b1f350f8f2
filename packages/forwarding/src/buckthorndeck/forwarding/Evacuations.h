#ifndef BUCKTHORNDECK_FORWARDING_EVACUATIONS_H
#define BUCKTHORNDECK_FORWARDING_EVACUATIONS_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/forwarding/RegistryOrder.h"
#include "buckthorndeck/net/Task.h"

#include <map>
#include <vector>

namespace buckthorndeck::forwarding {

//! For how long a revocation is passed on, and known to be newer than what a
//! peer says that has missed it.
inline constexpr Milliseconds RevocationLifetime{60'000};

//! A statement about one failure domain.
struct EvacuationChange {
  FailureDomainName Domain;
  EvacuationState State;
};

//! Where statements come from.
enum class EvacuationSource : std::uint8_t {
  Write,    //!< Changes of the store, also through a relay.
  Read,     //!< Part of a complete read of the store.
  Snapshot, //!< Part of a peer's snapshot.
};

/**
 * The failure domains that are evacuated, and those whose evacuation was
 * revoked a short time ago.
 *
 * Follows the rule in RegistryOrder.h. Each beginning and end of an evacuation
 * is logged.
 */
class Evacuations {
public:
  //! Takes over a statement if it is newer than what is known. CompleteUntil:
  //! see replaces().
  void apply(const EvacuationChange &Change, EvacuationSource Source,
             StorePosition CompleteUntil, TimePoint Now);
  //! Revokes what is not in Present, the domains that a complete read as of
  //! Read found.
  void retain(std::vector<FailureDomainName> Present, StorePosition Read,
              TimePoint Now);
  //! Revokes evacuations that the store has listed in no era from Era on.
  void revokeUnconfirmed(StoreEra Era, TimePoint Now);
  //! Whether evacuations are in force that are known from an era before Era
  //! only.
  bool hasUnconfirmed(StoreEra Era) const;
  //! Forgets revocations that are older than RevocationLifetime.
  void eraseRevoked(TimePoint Now);

  bool empty() const { return Domains.empty(); }
  bool contains(const FailureDomainName &Domain) const;
  //! The evacuated domains, by name.
  std::vector<FailureDomainName> evacuated() const;
  //! The domains whose evacuation was revoked a short time ago.
  std::vector<FailureDomainName> revoked() const;
  //! Last position of the revocations that were erased.
  StorePosition newestErased() const { return NewestErased; }
  //! Logs the evacuated domains that IsKnown does not know, each once.
  template <typename Predicate> void reportUnknown(Predicate IsKnown) {
    for (auto &[Domain, Known] : Domains)
      if (Known.State.Evacuated && !Known.DomainReported && !IsKnown(Domain))
        reportUnknown(Domain, Known);
  }
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &[Domain, Known] : Domains)
      Visit(EvacuationChange{.Domain = Domain, .State = Known.State});
  }

private:
  struct KnownDomain {
    EvacuationState State;
    TimePoint RevokedAt;
    bool DomainReported = false; //!< It was logged as unknown.
  };

  static void reportUnknown(const FailureDomainName &Domain,
                            KnownDomain &Known);
  static void revoke(const FailureDomainName &Domain, KnownDomain &Known,
                     StorePosition Position, const char *Cause, TimePoint Now);

  //! Few: one for each failure domain of a deployment at most.
  std::map<FailureDomainName, KnownDomain> Domains;
  StorePosition NewestErased;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_EVACUATIONS_H
