/// @file
/// Progress of a graceful shutdown.
#pragma once

#include <cstdint>

namespace catkintack::serving {

/// @brief Stages of a graceful shutdown.
enum class stop_stage : std::uint8_t {
  running,
  draining,  ///< Reported as not ready; new calls are still served.
  refusing   ///< New calls are refused as not run; open calls are completed.
};

}  // namespace catkintack::serving
