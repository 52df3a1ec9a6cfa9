/// @file
/// How long an upstream would take for one more call.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"
#include "catkintack/choice/candidate.hpp"

namespace catkintack::choice {

/// @brief Weights of the estimate.
struct estimate_options {
  double warm_up_slowdown = 2.0;  ///< Factor on work while an upstream warms up.
  base::duration domain_round_trip = std::chrono::milliseconds(2);  ///< Round trip between domains.
  base::duration region_round_trip =
      std::chrono::milliseconds(25);  ///< Round trip between regions.
};

/// @brief How long a route's work takes.
struct service_time_profile {
  base::duration typical{};         ///< On a machine of usual speed with slots to spare.
  double saturated_slowdown = 1.5;  ///< Factor on it while all slots of the upstream are taken.
};

/// @brief An estimate for one candidate.
struct completion_estimate {
  base::duration total{};    ///< Until the whole answer is back.
  bool would_queue = false;  ///< No slot is free: the call would queue at the upstream.
  bool queue_full = false;   ///< The queue is so long that the upstream may refuse the call.
};

/// @brief Estimates one more call at a candidate.
/// @param target The candidate; without a reading it counts as idle at twice the usual time.
/// @param work How long the work takes.
/// @param options Weights.
/// @return The estimate.
completion_estimate estimate_completion(const candidate& target,
                                        const service_time_profile& service_time,
                                        const estimate_options& options);

}  // namespace catkintack::choice
