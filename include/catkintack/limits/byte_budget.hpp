/// @file
/// Bytes that a host may send and receive over links that are paid by volume.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief A token bucket of bytes. Not thread-safe.
class byte_budget {
 public:
  /// @param bytes_per_second Bytes that flow in.
  /// @param burst Bytes that it can hold; it starts full.
  byte_budget(double bytes_per_second, double burst)
      : bytes_per_second_(bytes_per_second), burst_(burst), tokens_(burst) {}

  /// @brief Whether an exchange of a size fits now.
  bool can_spend(std::uint64_t bytes, base::instant now) {
    refill(now);
    return tokens_ >= static_cast<double>(bytes);
  }
  /// @brief Spends bytes, also beyond what is there; later exchanges wait for it.
  void spend(std::uint64_t bytes, base::instant now) {
    refill(now);
    tokens_ -= static_cast<double>(bytes);
  }

 private:
  void refill(base::instant now) {
    if (now > refilled_at_) {
      tokens_ += bytes_per_second_ * base::to_seconds(now - refilled_at_);
      tokens_ = tokens_ > burst_ ? burst_ : tokens_;
      refilled_at_ = now;
    }
  }

  double bytes_per_second_;
  double burst_;
  double tokens_;
  base::instant refilled_at_{};
};

}  // namespace catkintack::limits
