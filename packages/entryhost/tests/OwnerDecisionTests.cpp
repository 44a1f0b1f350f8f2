#include "buckthorndeck/entryhost/OwnerDecision.h"
#include "buckthorndeck/membership/Member.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace buckthorndeck;
using namespace buckthorndeck::entryhost;
using membership::Member;
using membership::MemberState;

namespace {

const OwnerIdentity Self{.Name = EntryHostName("here"),
                         .StartTime = Incarnation(50)};
const TokenLimits Limits{.Lifetime = Milliseconds(1'000),
                         .Grace = Milliseconds(100)};

wire::Token token(const char *Owner, std::uint64_t StartTime,
                  Milliseconds IssuedAt = Milliseconds(0)) {
  return {.Owner = EntryHostName(Owner),
          .OwnerIncarnation = Incarnation(StartTime),
          .IssuedAt = IssuedAt};
}

Member member(std::uint64_t StartTime, MemberState State) {
  return {.Name = EntryHostName("there"),
          .StartTime = Incarnation(StartTime),
          .State = State};
}

} // namespace

TEST_CASE("A token is valid only at the process that issued it and within its "
          "lifetime",
          "[token]") {
  // Guards against a restarted host that runs a request again which its earlier
  // process may have run, and against a token that outlives the request record.
  const Milliseconds End = Limits.Lifetime + Limits.Grace;
  CHECK(classifyToken(token("here", 50), Self, Limits, End) ==
        TokenStatus::Valid);
  CHECK(classifyToken(token("here", 50), Self, Limits, End + Milliseconds(1)) ==
        TokenStatus::Expired);
  CHECK(classifyToken(token("here", 49), Self, Limits, Milliseconds(0)) ==
        TokenStatus::EarlierIncarnation);
  CHECK(classifyToken(token("there", 50), Self, Limits, Milliseconds(0)) ==
        TokenStatus::OtherOwner);
}

TEST_CASE(
    "A request that may not be repeated stays with an owner that may be alive",
    "[owner]") {
  // Guards against a caller that is told "outcome unknown" while the owner
  // still has the outcome, and against an idempotent request that waits for an
  // owner that has stopped.
  struct TestCase {
    const char *Name;
    std::optional<Member> Owner;
    std::uint32_t Attempt;
    OwnerAction Repeatable;
    OwnerAction NotRepeatable;
  };
  const auto Relay = OwnerAction::Relay;
  const auto Replace = OwnerAction::Replace;
  const std::vector<TestCase> Cases{
      {"alive, first", member(7, MemberState::Alive), 1, Relay, Relay},
      {"alive, third", member(7, MemberState::Alive), 3, Replace, Relay},
      {"suspect, third", member(7, MemberState::Suspect), 3, Replace, Relay},
      {"leaving, third", member(7, MemberState::Leaving), 3, Replace, Relay},
      {"dead, second", member(7, MemberState::Dead), 2, Relay, Relay},
      {"dead, third", member(7, MemberState::Dead), 3, Replace, Replace},
      {"left, third", member(7, MemberState::Left), 3, Replace, Replace},
      {"unknown, second", std::nullopt, 2, Relay, Relay},
      {"unknown, third", std::nullopt, 3, Replace, Replace},
      {"restarted, first", member(8, MemberState::Alive), 1, Replace, Replace},
      {"view is behind", member(6, MemberState::Alive), 1, Relay, Relay},
  };
  for (const TestCase &Case : Cases) {
    INFO(Case.Name);
    const Member *Owner = Case.Owner ? &*Case.Owner : nullptr;
    const wire::Token Token = token("there", 7);
    CHECK(decideOwnerAction(Owner, Token, Case.Attempt, true) ==
          Case.Repeatable);
    CHECK(decideOwnerAction(Owner, Token, Case.Attempt, false) ==
          Case.NotRepeatable);
  }
}
