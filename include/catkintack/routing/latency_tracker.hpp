/// @file
/// Running mean and quantile of a service's response latency.
#pragma once

#include <cstdint>
#include <optional>

#include "catkintack/base/units.hpp"

namespace catkintack::routing {

/// @brief Estimates the mean and one quantile of response latency in constant memory.
class latency_tracker {
 public:
  /// @brief Adds a response.
  /// @param latency Time from sending the request to the response.
  /// @param quantile The quantile to estimate, between 0 and 1.
  void add(base::duration latency, double quantile);

  /// @brief Returns the running mean in seconds; 0 before the first response.
  double mean_seconds() const { return mean_; }
  /// @brief Returns the running mean; 0 before the first response.
  base::duration mean() const;
  /// @brief Returns the quantile estimate; none until there are enough samples.
  std::optional<base::duration> quantile() const;

 private:
  double mean_ = 0;      ///< Seconds.
  double quantile_ = 0;  ///< Seconds.
  std::uint32_t samples_ = 0;
};

}  // namespace catkintack::routing
