/// @file
/// Running mean and quantile of a service's latency.
#pragma once

#include <cstdint>
#include <optional>

#include "catkintack/base/units.hpp"

namespace catkintack::routing {

/// @brief Follows the latency of answers in constant memory.
class latency_tracker {
 public:
  /// @brief Takes in an answer.
  /// @param latency From sending to the answer.
  /// @param quantile The quantile that is followed, between 0 and 1.
  void add(base::duration latency, double quantile);

  /// @brief The running mean.
  /// @return Seconds; 0 before the first answer.
  double mean_seconds() const { return mean_; }
  /// @brief The running mean.
  /// @return The mean; 0 before the first answer.
  base::duration mean() const;
  /// @brief The followed quantile.
  /// @return Its estimate; none until enough answers came.
  std::optional<base::duration> quantile() const;

 private:
  double mean_ = 0;      ///< Seconds.
  double quantile_ = 0;  ///< Seconds.
  std::uint32_t samples_ = 0;
};

}  // namespace catkintack::routing
