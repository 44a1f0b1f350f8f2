#include "buckthorndeck/entryhost/OwnerDecision.h"
#include "buckthorndeck/membership/Member.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace buckthorndeck;
using namespace buckthorndeck::entryhost;
using membership::Member;
using membership::MemberState;

namespace {

const HomeIdentity Self{.Name = EntryHostName("here"),
                        .StartTime = Incarnation(50)};
const TokenLimits Limits{.Lifetime = Milliseconds(1'000),
                         .Grace = Milliseconds(100)};

wire::Token token(const char *Owner, std::uint64_t Start,
                  Milliseconds IssuedAt = Milliseconds(0)) {
  return {.Owner = EntryHostName(Owner),
          .OwnerIncarnation = Incarnation(Start),
          .IssuedAt = IssuedAt};
}

Member member(std::uint64_t Start, MemberState State) {
  return {.Name = EntryHostName("there"),
          .StartTime = Incarnation(Start),
          .State = State};
}

} // namespace

TEST_CASE("A token is this home's only for its process and its lifetime",
          "[token]") {
  // Guards against a restarted host that runs what its predecessor may have
  // run, and against a token that outlives its ledger entry.
  const Milliseconds End = Limits.Lifetime + Limits.Grace;
  CHECK(judgeToken(token("here", 50), Self, Limits, End) ==
        TokenStanding::MineValid);
  CHECK(judgeToken(token("here", 50), Self, Limits, End + Milliseconds(1)) ==
        TokenStanding::MineExpired);
  CHECK(judgeToken(token("here", 49), Self, Limits, Milliseconds(0)) ==
        TokenStanding::MineEarlierIncarnation);
  CHECK(judgeToken(token("there", 50), Self, Limits, Milliseconds(0)) ==
        TokenStanding::Other);
}

TEST_CASE("Work that may not be repeated stays with a home that may live",
          "[home]") {
  // Guards against an outcome that is given up while the home still has it,
  // and against an idempotent request that waits for a home that is gone.
  struct Row {
    const char *Name;
    std::optional<Member> Owner;
    std::uint32_t Attempt;
    HomeReach Repeatable;
    HomeReach NotRepeatable;
  };
  const auto Relay = HomeReach::Relay;
  const auto Replace = HomeReach::Replace;
  const std::vector<Row> Table{
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
  for (const Row &Case : Table) {
    INFO(Case.Name);
    const Member *Owner = Case.Owner ? &*Case.Owner : nullptr;
    const wire::Token Token = token("there", 7);
    CHECK(judgeHome(Owner, Token, Case.Attempt, true) == Case.Repeatable);
    CHECK(judgeHome(Owner, Token, Case.Attempt, false) == Case.NotRepeatable);
  }
}
