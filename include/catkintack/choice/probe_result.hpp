/// @file
/// What a probe found.
#pragma once

#include <cstdint>

#include "catkintack/base/units.hpp"

namespace catkintack::choice {

/// @brief An upstream's load at one moment.
struct probe_result {
  std::uint32_t running = 0;  ///< Requests in slots.
  std::uint32_t queued = 0;   ///< Requests waiting for a slot.
  std::uint32_t slots = 1;    ///< Requests it runs at the same time.
  double slowdown = 1.0;      ///< Time that work takes on its machine, relative to the usual time.

  bool operator==(const probe_result&) const = default;
};

}  // namespace catkintack::choice
