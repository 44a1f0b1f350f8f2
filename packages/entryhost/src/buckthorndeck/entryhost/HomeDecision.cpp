#include "buckthorndeck/entryhost/HomeDecision.h"

#include "buckthorndeck/membership/Member.h"

namespace buckthorndeck::entryhost {

namespace {
//! Two attempts without an answer show that the home cannot be reached.
constexpr std::uint32_t ReplaceHomeAttempt = 3;
} // namespace

TokenStanding judgeToken(const wire::Token &Token, const HomeIdentity &Self,
                         const TokenLimits &Limits, Milliseconds Now) {
  if (Token.Home != Self.Name)
    return TokenStanding::Other;
  if (Token.HomeIncarnation != Self.Start)
    return TokenStanding::MineEarlierIncarnation;
  if (Now > Token.MintedAt + Limits.Lifetime + Limits.Grace)
    return TokenStanding::MineExpired;
  return TokenStanding::MineValid;
}

HomeReach judgeHome(const membership::Member *Home, const wire::Token &Token,
                    std::uint32_t Attempt, bool Repeatable) {
  if (Home && Home->Start > Token.HomeIncarnation)
    return HomeReach::Replace;
  if (Attempt < ReplaceHomeAttempt)
    return HomeReach::Relay;
  const bool Gone = !Home || Home->State == membership::MemberState::Dead ||
                    Home->State == membership::MemberState::Left;
  return Repeatable || Gone ? HomeReach::Replace : HomeReach::Relay;
}

} // namespace buckthorndeck::entryhost
