#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/base/Ids.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <type_traits>
#include <unordered_set>

using namespace buckthorndeck;

// Ids with the same representation must not convert into each other.
static_assert(!std::is_convertible_v<std::uint64_t, FlowId>);
static_assert(!std::is_convertible_v<FlowId, std::uint64_t>);
static_assert(!std::is_constructible_v<FlowId, Sequence>);
static_assert(!std::is_assignable_v<ObjectName &, EntryHostName>);
static_assert(!std::is_invocable_v<std::equal_to<>, FlowId, Sequence>);

TEST_CASE("Ids compare and hash like their values", "[ids]") {
  CHECK(FlowId() == FlowId(0));
  CHECK(FlowId(1) < FlowId(2));
  CHECK(ObjectName("a/x") != ObjectName("a/y"));
  CHECK(std::set<Sequence>{Sequence(2), Sequence(1)}.begin()->value() == 1);
  const std::unordered_set<ObjectName> Names = {ObjectName("a"),
                                                ObjectName("a")};
  CHECK(Names.size() == 1);
}

TEST_CASE("The body digest is XXH3-64", "[hash]") {
  // Other implementations of the caller's protocol compute the same digest.
  CHECK(digestOf(std::string_view()) == Digest(0x2d06800538d394c2));
  CHECK(digestOf(ByteView()) == Digest(0x2d06800538d394c2));
  CHECK(digestOf(std::string_view("abc")) == digestOf(toBytes("abc")));
}

TEST_CASE("A node that leaves moves only its own keys", "[hash]") {
  const std::vector<std::string> Nodes = {"a", "b", "c", "d"};
  const auto Best = [&](const std::string &Key, std::ptrdiff_t Count) {
    return *std::max_element(Nodes.begin(), Nodes.begin() + Count,
                             [&](const auto &Left, const auto &Right) {
                               return rendezvousScore(Key, Left) <
                                      rendezvousScore(Key, Right);
                             });
  };
  std::set<std::string> Chosen;
  for (int Index = 0; Index < 200; ++Index) {
    const std::string Key = std::to_string(Index);
    Chosen.insert(Best(Key, 4));
    if (Best(Key, 4) != "d")
      CHECK(Best(Key, 3) == Best(Key, 4));
  }
  CHECK(Chosen.size() == 4);
}
