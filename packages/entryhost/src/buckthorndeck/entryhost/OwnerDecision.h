#ifndef BUCKTHORNDECK_ENTRYHOST_OWNERDECISION_H
#define BUCKTHORNDECK_ENTRYHOST_OWNERDECISION_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/wire/Token.h"

#include <cstdint>

namespace buckthorndeck::membership {
struct Member;
} // namespace buckthorndeck::membership

namespace buckthorndeck::entryhost {

//! The name and incarnation under which this process owns flows.
struct OwnerIdentity {
  EntryHostName Name;
  Incarnation StartTime;
};

//! How long a token is valid, on the owner's monotonic clock.
struct TokenLimits {
  Milliseconds Lifetime{15'000};
  //! Allows for the transit times from the owner to the caller and back: the
  //! caller counts the lifetime from the arrival of the token.
  Milliseconds Grace{2'000};
};

//! Whether this process owns the flow of a token, and the token is valid.
enum class TokenStatus : std::uint8_t {
  Valid,
  Expired,
  EarlierIncarnation, //!< Issued by an earlier process of this host.
  OtherOwner,         //!< Another host owns the flow.
};

TokenStatus classifyToken(const wire::Token &Token, const OwnerIdentity &Self,
                          const TokenLimits &Limits, Milliseconds Now);

//! What to do with a datagram whose token names another host as owner.
enum class OwnerAction : std::uint8_t {
  Relay,   //!< The owner may be reachable: relay the datagram to it.
  Replace, //!< The owner has stopped or does not answer.
};

/**
 * Decides from the owner's membership state and the number of the attempt.
 *
 * The membership state may be out of date. Before the third attempt the
 * datagram is relayed even to an owner that is listed as dead, since a false
 * suspicion must not end a request that the owner still answers. A request that
 * may not be repeated stays with its owner unless the owner is known to have
 * stopped. To replace its owner then means to tell the caller that the outcome
 * is unknown.
 *
 * @param Owner The owner as this host knows it; null if it is not a member.
 */
OwnerAction decideOwnerAction(const membership::Member *Owner,
                              const wire::Token &Token, std::uint32_t Attempt,
                              bool Repeatable);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_OWNERDECISION_H
