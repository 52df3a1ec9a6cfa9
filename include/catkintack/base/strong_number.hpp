/// @file
/// An integer with a distinct type for each kind of number.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace catkintack::base {

/// @brief An unsigned 64-bit integer. Numbers with different tags cannot be mixed up.
/// @tparam Tag A type that names what is counted.
template <class Tag>
class strong_number {
 public:
  constexpr strong_number() = default;
  constexpr explicit strong_number(std::uint64_t value) : value_(value) {}

  /// @brief Returns the plain number; 0 by default.
  constexpr std::uint64_t value() const { return value_; }
  /// @brief Returns this number plus one.
  constexpr strong_number next() const { return strong_number(value_ + 1); }

  auto operator<=>(const strong_number&) const = default;

  /// @brief Serializes the number with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  std::uint64_t value_ = 0;
};

}  // namespace catkintack::base

template <class Tag>
struct std::hash<catkintack::base::strong_number<Tag>> {
  std::size_t operator()(const catkintack::base::strong_number<Tag>& number) const noexcept {
    return std::hash<std::uint64_t>{}(number.value());
  }
};
