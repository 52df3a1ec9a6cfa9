/// @file
/// What a plan may use of a service.
#pragma once

#include <cstdint>

#include "catkintack/base/ids.hpp"

namespace catkintack::config {

/// @brief An allowance of one plan for one service, over the whole fleet and per customer.
struct allowance {
  base::plan_id plan;
  base::service_id service;
  double rate_per_second = 0;        ///< Requests per second, 0 to 1,000,000.
  std::uint32_t burst = 0;           ///< Requests at once above the rate, 1 to 1,000,000.
  std::uint32_t max_concurrent = 0;  ///< Requests in progress, 1 to 1,000,000.

  bool operator==(const allowance&) const = default;
};

}  // namespace catkintack::config
