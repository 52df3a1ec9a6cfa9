/// @file
/// Rate limit for traffic over links that are billed by volume.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief Token bucket that counts bytes sent and received. Not thread-safe.
class byte_budget {
 public:
  /// @param bytes_per_second Refill rate in bytes per second.
  /// @param burst Capacity in bytes; the bucket starts full.
  byte_budget(double bytes_per_second, double burst)
      : bytes_per_second_(bytes_per_second), burst_(burst), tokens_(burst) {}

  /// @brief Returns whether the bucket covers an exchange of the given size.
  bool can_spend(std::uint64_t bytes, base::instant now) {
    refill(now);
    return tokens_ >= static_cast<double>(bytes);
  }
  /// @brief Deducts bytes. The balance may become negative; can_spend() is then false until it is
  /// refilled.
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
