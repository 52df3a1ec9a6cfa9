/// @file
/// An upstream that a call may be sent to.
#pragma once

#include <cstdint>
#include <optional>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/choice/probe_reading.hpp"

namespace catkintack::choice {

/// @brief How far an upstream is from this host.
enum class distance : std::uint8_t { same_failure_domain, same_region, other_region };

/// @brief What is known of one upstream when a call is decided.
struct candidate {
  base::upstream_id id;
  distance where = distance::same_region;
  bool cold = false;                       ///< Slow after its start.
  bool suspect = false;                    ///< Failed calls lately, whatever its probes say.
  std::uint32_t unseen_sends = 0;          ///< Calls sent by this host since the reading.
  std::optional<probe_reading> reading{};  ///< Nothing if it was not probed or gave no answer.
};

}  // namespace catkintack::choice
