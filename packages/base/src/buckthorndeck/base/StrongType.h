#ifndef BUCKTHORNDECK_BASE_STRONGTYPE_H
#define BUCKTHORNDECK_BASE_STRONGTYPE_H

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace buckthorndeck {

/**
 * A value of type Rep that cannot be confused with one of another Tag.
 *
 * Ids of hosts, servers and flows share representations; distinct types stop
 * one from being passed where another is expected.
 */
template <typename Tag, typename Rep> class StrongType {
public:
  StrongType() = default;
  explicit StrongType(Rep Value) : Value(std::move(Value)) {}

  const Rep &value() const { return Value; }

  friend bool operator==(const StrongType &, const StrongType &) = default;
  // Written out because clang-tidy 16 reports the name of a variable inside
  // the defaulted operator.
  friend auto operator<=>(const StrongType &First, const StrongType &Second) {
    return First.Value <=> Second.Value;
  }

private:
  Rep Value{};
};

} // namespace buckthorndeck

template <typename Tag, typename Rep>
struct std::hash<buckthorndeck::StrongType<Tag, Rep>> {
  std::size_t
  operator()(const buckthorndeck::StrongType<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>{}(Id.value());
  }
};

#endif // BUCKTHORNDECK_BASE_STRONGTYPE_H
