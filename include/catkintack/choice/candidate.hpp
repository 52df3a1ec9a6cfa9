/// @file
/// An upstream that a call may be sent to.
#pragma once

#include <cstdint>
#include <optional>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/choice/probe_result.hpp"

namespace catkintack::choice {

/// @brief How far an upstream is from this host.
enum class upstream_distance : std::uint8_t { same_failure_domain, same_region, other_region };

/// @brief What is known of one upstream when a call is decided.
struct candidate {
  base::upstream_id id;
  upstream_distance distance = upstream_distance::same_region;
  bool warming_up = false;              ///< Slow after its start.
  bool outlier = false;                 ///< Failed calls lately, whatever its probes say.
  std::uint32_t sent_since_probe = 0;   ///< Calls sent by this host since the reading.
  std::optional<probe_result> probe{};  ///< Nothing if it was not probed or gave no answer.
};

}  // namespace catkintack::choice
