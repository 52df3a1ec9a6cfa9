/// @file
/// What an upstream says of its own load.
#pragma once

#include <cstdint>

namespace catkintack::routing {

/// @brief A report carried on an answer or a probe; old on arrival.
struct load_report {
  std::uint32_t running = 0;  ///< Requests in slots.
  std::uint32_t queued = 0;   ///< Requests waiting for a slot.
  bool leaving = false;       ///< The upstream drains.

  bool operator==(const load_report&) const = default;
};

}  // namespace catkintack::routing
