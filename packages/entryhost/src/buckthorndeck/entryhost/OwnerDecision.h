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

//! This process as the home of flows.
struct HomeIdentity {
  EntryHostName Name;
  Incarnation Start;
};

//! How long tokens are good for, on the home's monotonic clock.
struct TokenLimits {
  Milliseconds Lifetime{15'000};
  //! Covers the way from home to caller and back, since the caller starts
  //! its own count when the token arrives.
  Milliseconds Grace{2'000};
};

//! How a token stands towards this process.
enum class TokenStanding : std::uint8_t {
  MineValid,
  MineExpired,
  MineEarlierIncarnation, //!< An earlier process at this host was the home.
  Other,                  //!< Another host is the home.
};

TokenStanding judgeToken(const wire::Token &Token, const HomeIdentity &Self,
                         const TokenLimits &Limits, Milliseconds Now);

//! What to do with a datagram whose token names another home.
enum class HomeReach : std::uint8_t {
  Relay,   //!< The home may be there; send the datagram on.
  Replace, //!< The home is gone or does not answer.
};

/**
 * Decides from this host's view of the home and from the caller's attempts.
 *
 * The view may be wrong in both directions. Before the third attempt even a
 * home that looks dead gets the datagram, since a false suspicion must not end
 * a request that the home still answers. Work that may not be repeated stays
 * with its home as long as that is not known to be gone; replacing the home
 * then means to tell the caller that the outcome is unknown.
 */
HomeReach judgeHome(const membership::Member *Owner, const wire::Token &Token,
                    std::uint32_t Attempt, bool Repeatable);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_OWNERDECISION_H
