/// @file
/// An upstream that is eligible for a call.
#pragma once

#include <cstdint>
#include <optional>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/choice/probe_result.hpp"

namespace catkintack::choice {

/// @brief How far an upstream is from this host.
enum class upstream_distance : std::uint8_t { same_failure_domain, same_region, other_region };

/// @brief State of one upstream at the time of a placement decision.
struct candidate {
  base::upstream_id id;
  upstream_distance distance = upstream_distance::same_region;
  bool warming_up = false;  ///< Started recently and still slow.
  /// This host has a permit for a call to it, which is cold. Permits lapse, and other hosts have
  /// been refused this one, so it is preferred to faster candidates.
  bool permitted = false;
  bool outlier = false;                 ///< Failed calls recently, regardless of its probe results.
  std::uint32_t sent_since_probe = 0;   ///< Calls this host has sent since the probe.
  std::optional<probe_result> probe{};  ///< Empty if it was not probed or did not answer.
};

}  // namespace catkintack::choice
