/// @file
/// By how much the caps of customers may be exceeded.
#pragma once

#include <algorithm>

#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief In each window, (rate x window + burst) x (1 + overshoot) + slack calls may run.
///
/// The excess is divided: `overshoot x rate x window` covers the time between grant and use of a
/// token, and the rest covers authorities that restart, whole tokens, and hosts that are cut off.
struct quota_bounds {
  base::duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  double slack = 20;

  /// @brief Longest time from the request of a token to its use. Half of what the bound permits;
  /// the other half is left for calls that reach their upstream some time after their admission.
  base::duration token_validity() const {
    constexpr base::duration longest = std::chrono::milliseconds(250);
    return std::min(longest, std::chrono::duration_cast<base::duration>(window * overshoot / 2));
  }
  /// @brief Calls above the burst, summed over all authorities and hosts.
  double excess(double burst) const { return overshoot * burst + slack; }
};

}  // namespace catkintack::limits
