#include "buckthorndeck/entryhost/OwnerDecision.h"

#include "buckthorndeck/membership/Member.h"

namespace buckthorndeck::entryhost {

namespace {
//! Two attempts without an answer show that the home cannot be reached.
constexpr std::uint32_t ReplaceHomeAttempt = 3;
} // namespace

TokenStanding judgeToken(const wire::Token &Token, const HomeIdentity &Self,
                         const TokenLimits &Limits, Milliseconds Now) {
  if (Token.Owner != Self.Name)
    return TokenStanding::Other;
  if (Token.OwnerIncarnation != Self.StartTime)
    return TokenStanding::MineEarlierIncarnation;
  if (Now > Token.IssuedAt + Limits.Lifetime + Limits.Grace)
    return TokenStanding::MineExpired;
  return TokenStanding::MineValid;
}

HomeReach judgeHome(const membership::Member *Owner, const wire::Token &Token,
                    std::uint32_t Attempt, bool Repeatable) {
  if (Owner && Owner->StartTime > Token.OwnerIncarnation)
    return HomeReach::Replace;
  if (Attempt < ReplaceHomeAttempt)
    return HomeReach::Relay;
  const bool Gone = !Owner || Owner->State == membership::MemberState::Dead ||
                    Owner->State == membership::MemberState::Left;
  return Repeatable || Gone ? HomeReach::Replace : HomeReach::Relay;
}

} // namespace buckthorndeck::entryhost
