/// @file
/// Exponentially weighted moving average.
#pragma once

namespace catkintack::choice {

/// @brief An exponentially weighted moving average that starts at its first sample.
class moving_average {
 public:
  explicit moving_average(double weight) : weight_(weight) {}

  void add(double sample) {
    mean_ = empty_ ? sample : mean_ + weight_ * (sample - mean_);
    empty_ = false;
  }
  /// @brief Returns the average, or the fallback before the first sample.
  double value_or(double fallback) const { return empty_ ? fallback : mean_; }

 private:
  double weight_;
  double mean_ = 0;
  bool empty_ = true;
};

}  // namespace catkintack::choice
