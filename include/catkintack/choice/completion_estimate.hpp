/// @file
/// How long an upstream would take for one more call.
#pragma once

#include "catkintack/base/units.hpp"
#include "catkintack/choice/candidate.hpp"

namespace catkintack::choice {

/// @brief Weights of the estimate.
struct estimate_options {
  double cold_slowdown = 2.0;         ///< Factor on work while an upstream warms up.
  double nearly_full_share = 0.8;     ///< Share of busy slots above which work slows down.
  double nearly_full_slowdown = 1.5;  ///< Factor on work above that share.
  base::duration domain_delay = std::chrono::milliseconds(2);   ///< Round trip between domains.
  base::duration region_delay = std::chrono::milliseconds(25);  ///< Round trip between regions.
};

/// @brief An estimate for one candidate.
struct completion_estimate {
  base::duration total{};  ///< Until the whole answer is back.
  bool waits = false;      ///< No slot is free: the call would queue at the upstream.
  bool full = false;       ///< The queue is so long that the upstream may refuse the call.
};

/// @brief Estimates one more call at a candidate.
/// @param target The candidate; without a reading it counts as idle at twice the usual time.
/// @param usual_work Time that the work takes on an idle machine of usual speed.
/// @param options Weights.
/// @return The estimate.
completion_estimate estimate_completion(const candidate& target,
                                        base::duration usual_work,
                                        const estimate_options& options);

}  // namespace catkintack::choice
