/// @file
/// Limits of a plan's use of a service.
#pragma once

#include <cstdint>

#include "catkintack/base/ids.hpp"

namespace catkintack::config {

/// @brief Limits of each customer of a plan for one service, summed over all hosts.
struct allowance {
  base::plan_id plan;
  base::service_id service;
  double rate_per_second = 0;        ///< Sustained requests per second, 0 to 1,000,000.
  std::uint32_t burst = 0;           ///< Requests at once above the rate, 1 to 1,000,000.
  std::uint32_t max_concurrent = 0;  ///< Requests in progress, 1 to 1,000,000.

  bool operator==(const allowance&) const = default;
};

}  // namespace catkintack::config
