/// @file
/// Load of an upstream as measured by a probe.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"

namespace catkintack::choice {

/// @brief An upstream's load at the time of the probe.
struct probe_result {
  std::uint32_t running = 0;  ///< Requests being executed, one per slot.
  std::uint32_t queued = 0;   ///< Requests waiting for a slot.
  std::uint32_t slots = 1;    ///< Requests the upstream can run concurrently.
  double slowdown = 1.0;      ///< Service time on its machine relative to normal.

  bool operator==(const probe_result&) const = default;
};

}  // namespace catkintack::choice
