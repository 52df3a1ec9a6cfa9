/// @file
/// Load reported by an upstream.
#pragma once

#include <cstdint>

namespace catkintack::routing {

/// @brief A load report attached to a response or a probe. It is already out of date on arrival.
struct load_report {
  std::uint32_t running = 0;  ///< Requests being executed, one per slot.
  std::uint32_t queued = 0;   ///< Requests waiting for a slot.
  bool leaving = false;       ///< The upstream is draining.

  bool operator==(const load_report&) const = default;
};

}  // namespace catkintack::routing
