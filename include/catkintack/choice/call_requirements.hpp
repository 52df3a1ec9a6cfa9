/// @file
/// The properties of a call that upstream selection depends on.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"
#include "catkintack/choice/completion_estimate.hpp"

namespace catkintack::choice {

/// @brief A call that has not been sent to an upstream yet.
struct call_requirements {
  service_time_profile service_time;  ///< Expected service time on its route.
  base::duration
      objective_left{};  ///< Time until the latency objective; negative once it is missed.
  base::duration deadline_left{};  ///< Time until the caller stops waiting.
  base::duration held_for{};       ///< Time for which this host has held the call so far.
  /// Longest time for which this host may hold the call while no upstream answers.
  base::duration max_hold{};
  /// The call may wait for a free slot for as long as its deadline allows.
  bool may_wait_for_slot = true;
  bool is_retry = false;  ///< The caller was refused before and has retried.
  /// The cross-region byte budget covers the call, and no other region was searched for it yet.
  bool may_leave_region = true;
  std::uint64_t remote_bytes = 0;  ///< Expected cross-region bytes if it leaves the region.
};

}  // namespace catkintack::choice
