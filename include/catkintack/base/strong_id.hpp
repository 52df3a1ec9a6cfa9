/// @file
/// A string identifier with a distinct type for each kind of identifier.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace catkintack::base {

/// @brief A string identifier. Identifiers with different tags cannot be mixed up.
/// @tparam Tag A type that names what is identified.
template <class Tag>
class strong_id {
 public:
  strong_id() = default;
  explicit strong_id(std::string value) : value_(std::move(value)) {}

  /// @brief Returns the identifier's text; empty for an identifier that was never set.
  const std::string& value() const { return value_; }
  /// @brief Returns whether the text is empty, as in an identifier that was never set.
  bool empty() const { return value_.empty(); }

  auto operator<=>(const strong_id&) const = default;

  /// @brief Serializes the identifier with cereal.
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
