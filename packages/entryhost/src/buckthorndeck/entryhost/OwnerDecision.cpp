#include "buckthorndeck/entryhost/OwnerDecision.h"

#include "buckthorndeck/membership/Member.h"

namespace buckthorndeck::entryhost {

namespace {
//! Two attempts without an answer show that the owner cannot be reached.
constexpr std::uint32_t ReplaceOwnerAttempt = 3;
} // namespace

TokenStatus classifyToken(const wire::Token &Token, const OwnerIdentity &Self,
                          const TokenLimits &Limits, Milliseconds Now) {
  if (Token.Owner != Self.Name)
    return TokenStatus::OtherOwner;
  if (Token.OwnerIncarnation != Self.StartTime)
    return TokenStatus::EarlierIncarnation;
  if (Now > Token.IssuedAt + Limits.Lifetime + Limits.Grace)
    return TokenStatus::Expired;
  return TokenStatus::Valid;
}

OwnerAction decideOwnerAction(const membership::Member *Owner,
                              const wire::Token &Token, std::uint32_t Attempt,
                              bool Repeatable) {
  if (Owner && Owner->StartTime > Token.OwnerIncarnation)
    return OwnerAction::Replace;
  if (Attempt < ReplaceOwnerAttempt)
    return OwnerAction::Relay;
  const bool OwnerStopped = !Owner ||
                            Owner->State == membership::MemberState::Dead ||
                            Owner->State == membership::MemberState::Left;
  return Repeatable || OwnerStopped ? OwnerAction::Replace : OwnerAction::Relay;
}

} // namespace buckthorndeck::entryhost
