/// @file
/// A string identifier whose type keeps it from being mixed up with others.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace catkintack::base {

/// @brief A string identifier distinguished by its tag type.
/// @tparam Tag An empty type naming what is identified.
template <class Tag>
class strong_id {
 public:
  strong_id() = default;
  explicit strong_id(std::string value) : value_(std::move(value)) {}

  /// @brief The identifier's text.
  /// @return The text; empty for an identifier that was never set.
  const std::string& value() const { return value_; }
  /// @brief Whether the identifier was never set.
  /// @return True for an empty text.
  bool empty() const { return value_.empty(); }

  auto operator<=>(const strong_id&) const = default;

  /// @brief Serializes the identifier with cereal.
  /// @param archive The cereal archive.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  std::string value_;
};

}  // namespace catkintack::base

template <class Tag>
struct std::hash<catkintack::base::strong_id<Tag>> {
  std::size_t operator()(const catkintack::base::strong_id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};
