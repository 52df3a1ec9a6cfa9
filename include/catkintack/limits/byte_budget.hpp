/// @file
/// Bytes that a host may send and receive over links that are paid by volume.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief A token bucket of bytes. Not thread-safe.
class byte_budget {
 public:
  /// @param per_second Bytes that flow in.
  /// @param burst Bytes that it can hold; it starts full.
  byte_budget(double per_second, double burst)
      : per_second_(per_second), burst_(burst), room_(burst) {}

  /// @brief Whether an exchange of a size fits now.
  bool fits(std::uint64_t bytes, base::instant now) {
    refill(now);
    return room_ >= static_cast<double>(bytes);
  }
  /// @brief Spends bytes, also beyond what is there; later exchanges wait for it.
  void spend(std::uint64_t bytes, base::instant now) {
    refill(now);
    room_ -= static_cast<double>(bytes);
  }

 private:
  void refill(base::instant now) {
    if (now > filled_) {
      room_ += per_second_ * base::to_seconds(now - filled_);
      room_ = room_ > burst_ ? burst_ : room_;
      filled_ = now;
    }
  }

  double per_second_;
  double burst_;
  double room_;
  base::instant filled_{};
};

}  // namespace catkintack::limits
