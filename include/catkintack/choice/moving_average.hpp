/// @file
/// An exponentially smoothed mean.
#pragma once

namespace catkintack::choice {

/// @brief A smoothed mean that takes its first sample as it is.
class moving_average {
 public:
  explicit moving_average(double weight) : weight_(weight) {}

  /// @brief Adds a sample.
  void add(double sample) {
    mean_ = empty_ ? sample : mean_ + weight_ * (sample - mean_);
    empty_ = false;
  }
  /// @brief The mean.
  /// @param otherwise What counts before the first sample.
  double value_or(double otherwise) const { return empty_ ? otherwise : mean_; }

 private:
  double weight_;
  double mean_ = 0;
  bool empty_ = true;
};

}  // namespace catkintack::choice
