/// @file
/// An integer whose type keeps it from being mixed up with others.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace catkintack::base {

/// @brief An unsigned 64-bit integer distinguished by its tag type.
/// @tparam Tag An empty type naming what is counted.
template <class Tag>
class strong_number {
 public:
  constexpr strong_number() = default;
  constexpr explicit strong_number(std::uint64_t value) : value_(value) {}

  /// @brief The plain number.
  /// @return The number; 0 by default.
  constexpr std::uint64_t value() const { return value_; }
  /// @brief The number that follows this one.
  /// @return This number plus one.
  constexpr strong_number next() const { return strong_number(value_ + 1); }

  auto operator<=>(const strong_number&) const = default;

  /// @brief Serializes the number with cereal.
  /// @param archive The cereal archive.
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
