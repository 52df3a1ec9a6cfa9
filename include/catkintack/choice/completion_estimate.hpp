/// @file
/// Estimated completion time of one more call at an upstream.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"
#include "catkintack/choice/candidate.hpp"

namespace catkintack::choice {

/// @brief Parameters of the estimate.
struct estimate_options {
  double warm_up_slowdown = 2.0;  ///< Service time factor during warm-up.
  base::duration domain_round_trip = std::chrono::milliseconds(2);   ///< Between failure domains.
  base::duration region_round_trip = std::chrono::milliseconds(25);  ///< Between regions.
};

/// @brief Service time of a route's calls.
struct service_time_profile {
  base::duration typical{};         ///< On a machine of normal speed with free slots.
  double saturated_slowdown = 1.5;  ///< Factor while all slots of the upstream are in use.
  /// Mean slowdown of the machines that run the service, as probes show it.
  double usual_slowdown = 1.0;
};

/// @brief Completion estimate for one candidate.
struct completion_estimate {
  base::duration total{};    ///< Time until the complete response arrives.
  bool would_queue = false;  ///< No slot is free, so the call would queue at the upstream.
  bool queue_full = false;   ///< The queue is long enough that the upstream may refuse.
  /// Free slots that raise the rate at which the service completes calls: none on a machine that is
  /// much slower than usual, and not the last one if a saturated upstream slows down by more than
  /// that slot adds.
  std::uint32_t spare_slots = 0;
};

/// @brief Estimates the completion time of one more call at a candidate.
/// @param target The candidate; without a probe result it is assumed to be idle with twice the
/// normal service time.
completion_estimate estimate_completion(const candidate& target,
                                        const service_time_profile& service_time,
                                        const estimate_options& options);

}  // namespace catkintack::choice
