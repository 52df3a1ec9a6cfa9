/// @file
/// Result of a check of a customer's share.
#pragma once

#include <cstdint>
#include <string_view>

namespace catkintack::limits {

/// @brief The rule by which a call is refused.
enum class share_rule : std::uint8_t {
  none,             ///< The call is not refused.
  higher_priority,  ///< Calls of higher priority use the capacity.
  equal_share,      ///< The customer has used up its equal share at this host.
  fleet_share       ///< It has used up, at this host alone, its share of the whole service.
};

constexpr std::string_view to_text(share_rule rule) {
  switch (rule) {
    case share_rule::none:
      return "none";
    case share_rule::higher_priority:
      return "higher_priority";
    case share_rule::equal_share:
      return "equal_share";
    case share_rule::fleet_share:
      return "fleet_share";
  }
  return "none";
}

/// @brief Whether a call may start, and the figures behind the decision.
struct share_decision {
  bool admitted = true;
  /// The service is short of capacity and the customer is below its share, so the call may be
  /// queued at an upstream.
  bool may_queue = false;
  share_rule rule = share_rule::none;
  double share = 0;             ///< Calls per second that the customer may start at this host.
  std::uint32_t in_flight = 0;  ///< The customer's calls in flight at this host.
  double seconds_to_next = 0;   ///< Time until the share allows a call; 0 if unknown.
};

}  // namespace catkintack::limits
