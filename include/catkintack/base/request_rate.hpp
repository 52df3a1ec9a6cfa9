/// @file
/// A rate of requests.
#pragma once

#include <compare>
#include <optional>
#include <string>

namespace catkintack::base {

/// @brief A number of requests per second, with a fraction.
class request_rate {
 public:
  constexpr request_rate() = default;
  constexpr explicit request_rate(double per_second) : per_second_(per_second) {}

  /// @brief Returns the requests per second; 0 by default.
  constexpr double per_second() const { return per_second_; }

  auto operator<=>(const request_rate&) const = default;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(per_second_);
  }

 private:
  double per_second_ = 0;
};

/// @brief Formats a rate for the log: the number, or "none".
std::string to_string(const std::optional<request_rate>& rate);

}  // namespace catkintack::base
